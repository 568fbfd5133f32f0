package replicator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// seed is an initial replica before there is a group.
type seed struct {
	id   manager.ReplicaID
	disk manager.DiskID
	b    *replicator.Bootstrapper
	up   bool
	// group is the seed whose group this one belongs to, and formed are the members of the group that it has bootstrapped.
	group  *seed
	formed *manager.Members
	probed manager.Time
}

// seeds are the initial replicas of a first start, in virtual time.
type seeds struct {
	now  manager.Time
	list []*seed
	cut  map[[2]manager.ReplicaID]bool
}

const seedProbePeriod = 500 * manager.Millisecond

func newSeeds(n int, partial bool) *seeds {
	s := &seeds{now: 1000, cut: map[[2]manager.ReplicaID]bool{}}
	var initial []manager.ReplicaMember
	for i := range n {
		initial = append(initial, manager.ReplicaMember{Replica: manager.ReplicaID(i + 1), Address: manager.Address(fmt.Sprint(i + 1))})
	}
	for _, m := range initial {
		disk := manager.DiskID(fmt.Sprint("disk-", m.Replica))
		s.list = append(s.list, &seed{id: m.Replica, disk: disk, b: &replicator.Bootstrapper{ID: m.Replica, Disk: disk, Initial: initial, Partial: partial, StartedAt: s.now}})
	}
	return s
}

// run lets the seeds that are up probe each other and bootstrap the group.
func (s *seeds) run(d manager.Duration, rng *rand.Rand) {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(50) {
		for _, n := range s.list {
			if n.up && n.formed != nil {
				s.invite(n)
			}
			if !n.up || n.group != nil {
				continue
			}
			if m, ok := n.b.InitialMembers(s.now); ok {
				n.formed, n.group = &m, n
				continue
			}
			if s.now.Sub(n.probed) < seedProbePeriod {
				continue
			}
			n.probed = s.now
			for _, o := range s.list {
				if o != n && o.up && !s.cut[[2]manager.ReplicaID{n.id, o.id}] && (rng == nil || rng.IntN(4) > 0) {
					a := manager.BootstrapAnswer{Replica: o.id, Disk: o.disk, Bootstrapped: o.group != nil}
					a.Consent = o.group == nil && n.b.Forming(s.now) && o.b.Consent(s.now, n.id)
					n.b.AddAnswer(s.now, a)
				}
			}
		}
	}
}

// invite binds the members of a seed's group that it reaches and that belong to none.
func (s *seeds) invite(n *seed) {
	for _, m := range n.formed.List {
		o := s.list[m.Replica-1]
		if o.up && o.group == nil && !s.cut[[2]manager.ReplicaID{n.id, o.id}] {
			o.group = n
		}
	}
}

// quorums counts the groups to which more than half of their members belong.
func (s *seeds) quorums() int {
	count := 0
	for _, n := range s.list {
		if n.formed == nil {
			continue
		}
		members := 0
		for _, m := range n.formed.List {
			if s.list[m.Replica-1].group == n {
				members++
			}
		}
		if members*2 > len(n.formed.List) {
			count++
		}
	}
	return count
}

func (s *seeds) groups() []manager.Members {
	var list []manager.Members
	for _, n := range s.list {
		if n.formed != nil {
			list = append(list, *n.formed)
		}
	}
	return list
}

// restart makes a seed one whose settings don't let it found the group any more.
func (s *seeds) restart(n *seed) {
	n.b = &replicator.Bootstrapper{ID: n.id, Disk: n.disk, StartedAt: s.now}
}

func TestGroupIsBootstrappedAsSoonAsAllSeedsAnswer(t *testing.T) {
	for _, partial := range []bool{false, true} {
		s := newSeeds(3, partial)
		for _, n := range s.list {
			n.up = true
		}
		s.run(700, nil)
		require.Len(t, s.groups(), 1)
		require.Len(t, s.groups()[0].List, 3)
		require.Equal(t, []manager.Address{"1", "2", "3"}, s.groups()[0].Founders)
	}
}

// Guards against a group that never forms, as a seed is removed, or restarted with other settings, before it has.
func TestGroupIsBootstrappedWithoutASeed(t *testing.T) {
	for lost := range 3 {
		for _, restarts := range []bool{false, true} {
			s := newSeeds(3, true)
			for i, n := range s.list {
				n.up = i != lost
			}
			s.run(250, nil)
			if restarts {
				s.restart(s.list[lost])
				s.list[lost].up = true
			}
			s.run(8*manager.Second, nil)
			require.Len(t, s.groups(), 1, "lost %d", lost)
			require.GreaterOrEqual(t, len(s.groups()[0].List), 2)
			require.EqualValues(t, 3, s.groups()[0].LastReplica)
		}
	}
	s := newSeeds(3, false)
	s.list[0].up, s.list[1].up = true, true
	s.run(manager.Minute, nil)
	require.Empty(t, s.groups(), "a group of controllers forms without one of them")
}

// Guards against a group of the smaller part of the seeds, and against two groups that can both have a quorum.
func TestSeedsFormOneGroupWithAQuorum(t *testing.T) {
	alone := newSeeds(3, true)
	alone.list[1].up = true
	alone.run(manager.Minute, nil)
	require.Empty(t, alone.groups())
	several := 0
	for k := range uint64(2000) {
		rng := rand.New(rand.NewPCG(k, 3))
		s := newSeeds(3, true)
		for range 12 {
			n := s.list[rng.IntN(3)]
			switch rng.IntN(4) {
			case 0:
				n.up = !n.up
			case 1:
				s.cut[[2]manager.ReplicaID{n.id, manager.ReplicaID(1 + rng.IntN(3))}] = rng.IntN(2) == 0
			case 2:
				if n.group == nil {
					s.restart(n)
				}
			case 3:
				n.up = true
			}
			s.run(manager.Duration(rng.IntN(2500)), rng)
		}
		for _, m := range s.groups() {
			require.GreaterOrEqual(t, len(m.List), 2, "seed %d", k)
		}
		require.LessOrEqual(t, s.quorums(), 1, "seed %d", k)
		clear(s.cut)
		for _, n := range s.list {
			n.up = true
		}
		s.run(10*manager.Second, nil)
		if len(s.groups()) > 0 {
			require.Equal(t, 1, s.quorums(), "seed %d", k)
		}
		if len(s.groups()) > 1 {
			several++
		}
	}
	t.Logf("%d of 2000 draws have a group without a quorum beside another one", several)
}
