package replicator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// newVoter returns a replica of three with some entries, as a follower of term 4.
func newVoter() *replicator.Replica {
	members := manager.Members{LastReplica: 3}
	for id := manager.ReplicaID(1); id <= 3; id++ {
		members.List = append(members.List, manager.ReplicaMember{Replica: id, Disk: "d", Address: "a"})
	}
	stored := replicator.BootstrapState(members)
	stored.HardState.Term = 4
	for i := manager.Index(2); i < 12; i++ {
		stored.Entries = append(stored.Entries, manager.Entry{Index: i, Term: 2, Kind: manager.EntryCommand, Data: []byte(`1`)})
	}
	r := &replicator.Replica{Group: "g", ID: 1, Disk: "d", Rand: rand.New(rand.NewPCG(1, 1))}
	r.Start(0, stored)
	return r
}

func stepFrom2(r *replicator.Replica, m manager.ReplicaMessage) replicator.Ready {
	m.Group, m.From, m.To, m.Disk, m.FromDisk = "g", 2, 1, "d", "d"
	r.Step(10_000, m)
	ready := r.Ready(10_000)
	r.Persisted(10_000, ready)
	return ready
}

func TestReplicaOutlivesOddMessages(t *testing.T) {
	kinds := []manager.MessageKind{
		manager.MessagePreVote, manager.MessagePreVoteAnswer, manager.MessageVote, manager.MessageVoteAnswer, manager.MessageAppend,
		manager.MessageSnapshot, manager.MessageAppendAnswer, manager.MessageSnapshotAnswer, manager.MessageTransfer, "other",
	}
	for seed := range uint64(500) {
		rnd := rand.New(rand.NewPCG(seed, 35))
		number := func() uint64 {
			list := []uint64{0, 1, 2, 4, 5, 11, 12, 13, math.MaxInt64, math.MaxUint64 - 1, math.MaxUint64}
			return list[rnd.IntN(len(list))]
		}
		r := newVoter()
		for range 40 {
			m := manager.ReplicaMessage{
				Kind: kinds[rnd.IntN(len(kinds))], Term: manager.Term(number()), Index: manager.Index(number()), LogTerm: manager.Term(number()),
				Commit: manager.Index(number()), Round: number(), Hint: manager.Index(number()), Refused: rnd.IntN(2) == 0, Transfer: rnd.IntN(2) == 0,
			}
			for range rnd.IntN(3) {
				m.Entries = append(m.Entries, manager.Entry{Index: manager.Index(number()), Term: manager.Term(number()), Kind: manager.EntryCommand, Data: []byte("1")})
			}
			if rnd.IntN(2) == 0 {
				m.Snapshot = &manager.SnapshotPiece{
					Meta: manager.SnapshotMeta{Index: manager.Index(number()), Term: manager.Term(number()), Bytes: int64(number())}, Offset: int64(number()),
				}
			}
			require.NotPanics(t, func() {
				ready := stepFrom2(r, m)
				require.Nil(t, ready.Snapshot, "a snapshot without data is installed")
				for i, e := range ready.Entries {
					require.Equal(t, ready.Entries[0].Index+manager.Index(i), e.Index, "entries with gaps are stored")
				}
				r.Tick(10_000)
			}, "seed %d: %+v", seed, m)
		}
		require.Less(t, r.Status().Term, manager.Term(math.MaxInt64), "seed %d: no later term can follow", seed)
	}
}

func TestMessageOfAFarTermIsIgnored(t *testing.T) {
	for _, term := range []manager.Term{math.MaxUint64, math.MaxUint64 - 1, math.MaxInt64} {
		r := newVoter()
		stepFrom2(r, manager.ReplicaMessage{Kind: manager.MessageAppend, Term: term, Index: 11, LogTerm: 2})
		require.Equal(t, manager.Term(4), r.Status().Term, fmt.Sprint(term))
	}
	r := newVoter()
	ready := stepFrom2(r, manager.ReplicaMessage{Kind: manager.MessageAppend, Term: 1000, Index: 11, LogTerm: 2, Entries: []manager.Entry{{Index: 12, Term: 999}}})
	require.Equal(t, manager.Term(1000), r.Status().Term)
	require.Len(t, ready.Entries, 1)
}
