package replicator_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// command is a compare-and-set on one register, like operators that change an object from the same version.
type command struct {
	Op       int
	Expected int
	Value    int
}

// register is the replicated state machine of the tests.
type register struct {
	Value int
	Hash  uint64
	Index manager.Index
}

func (m *register) apply(e manager.Entry) (bool, int) {
	m.Index = e.Index
	m.Hash = xxhash.Sum64String(fmt.Sprint(m.Hash, e.Index, e.Term, string(e.Data)))
	var c command
	if e.Kind != manager.EntryCommand || json.Unmarshal(e.Data, &c) != nil {
		return false, m.Value
	}
	if c.Expected != m.Value {
		return false, m.Value
	}
	m.Value = c.Value
	return true, m.Value
}

type simNode struct {
	id        manager.ReplicaID
	replica   *replicator.Replica
	disk      disk
	register  register
	up        bool
	diskHangs bool
	// home is the address of the node's machine; a machine that has lost its disk runs another node at the same one.
	home manager.Address
	// gone means that the machine was removed or its disk was lost, so that the node never starts again.
	gone bool
	// stopping means that the process is about to stop.
	stopping bool
	// pending is written to disk until syncedAt.
	pending  *replicator.Ready
	syncedAt manager.Time
	inbox    []manager.ReplicaMessage
	// offset and rate make the node's clock differ from the others.
	offset manager.Duration
	rate   float64
	// proposals and reads are the operations without an outcome.
	proposals map[manager.Index]*operation
	reads     map[replicator.ReadID]*operation
}

type envelope struct {
	at manager.Time
	m  manager.ReplicaMessage
}

// sim runs replicas in virtual time with a network and disks that fail.
type sim struct {
	rng       *rand.Rand
	now       manager.Time
	nodes     map[manager.ReplicaID]*simNode
	order     []manager.ReplicaID
	network   []envelope
	blocked   map[[2]manager.ReplicaID]bool
	loss      int
	duplicate int
	delay     int64
	failure   error

	leaders          map[manager.Term]manager.ReplicaID
	committed        map[manager.Index]manager.Entry
	highestCommitted manager.Index
	hashes           map[manager.Index]uint64
	// sequence orders the operators' requests and answers.
	sequence     int
	history      *history
	firstApplied map[int]firstApply
	nextRead     replicator.ReadID
	nextDisk     int
	// snapshotEvery is the number of applied entries between snapshots.
	snapshotEvery manager.Index
	crashes       int
	// sentMessages and sentBytes count all messages.
	sentMessages int
	sentBytes    int
	countBytes   bool
	installs     int
	// tune, if set, changes the options of each replica that starts.
	tune func(*replicator.Options)
}

const simStep = 10 * manager.Millisecond

func newSim(seed uint64, n int) *sim { return newTunedSim(seed, n, nil) }

func newTunedSim(seed uint64, n int, tune func(*replicator.Options)) *sim {
	return buildSim(seed, n, tune, false)
}

// buildSim returns a sim of n replicas; with founders, the group knows how many it has at its first start.
func buildSim(seed uint64, n int, tune func(*replicator.Options), founders bool) *sim {
	s := &sim{
		tune: tune,
		rng:  rand.New(rand.NewPCG(seed, 7)), nodes: map[manager.ReplicaID]*simNode{}, blocked: map[[2]manager.ReplicaID]bool{},
		leaders: map[manager.Term]manager.ReplicaID{}, committed: map[manager.Index]manager.Entry{},
		hashes: map[manager.Index]uint64{}, history: &history{}, firstApplied: map[int]firstApply{}, snapshotEvery: 40, delay: 20,
	}
	var members manager.Members
	for i := 1; i <= n; i++ {
		node := s.addNode(manager.ReplicaID(i))
		members.List = append(members.List, manager.ReplicaMember{Replica: node.id, Address: manager.Address(fmt.Sprint(i)), Disk: node.disk.id})
	}
	members.LastReplica = manager.ReplicaID(n)
	for _, m := range members.List {
		if founders {
			members.Founders = append(members.Founders, m.Address)
		}
	}
	bootstrap := replicator.BootstrapState(members)
	s.nodes[1].disk.hard, s.nodes[1].disk.entries = bootstrap.HardState, bootstrap.Entries
	for _, id := range s.order {
		s.start(s.nodes[id])
	}
	return s
}

func (s *sim) addNode(id manager.ReplicaID) *simNode {
	s.nextDisk++
	n := &simNode{id: id, home: manager.Address(fmt.Sprint(id)), disk: disk{id: manager.DiskID(fmt.Sprint("disk-", s.nextDisk))}, rate: 1}
	s.nodes[id] = n
	s.order = append(s.order, id)
	return n
}

func (s *sim) start(n *simNode) {
	n.replica = &replicator.Replica{
		Group: "group", ID: n.id, Disk: n.disk.id, Rand: rand.New(rand.NewPCG(s.rng.Uint64(), 1)),
		Options: replicator.Options{MaxBatchBytes: 400, PieceBytes: 16, MaxInFlight: 3},
	}
	if s.tune != nil {
		s.tune(&n.replica.Options)
	}
	n.register = register{}
	if n.disk.snapshot.Meta.Index > 0 {
		_ = json.Unmarshal(n.disk.snapshot.Data, &n.register)
	}
	n.pending, n.inbox = nil, nil
	n.proposals, n.reads = map[manager.Index]*operation{}, map[replicator.ReadID]*operation{}
	n.replica.Start(s.clock(n), replicator.PersistentState{
		HardState: n.disk.hard, Snapshot: n.disk.snapshot.Meta, Entries: slices.Clone(n.disk.entries),
	})
	n.up, n.stopping = true, false
}

// crash stops a node; writes that were not synced are lost, or a part of them survives.
func (s *sim) crash(n *simNode, keepUnsynced bool) {
	if !n.up {
		return
	}
	s.crashes++
	if n.pending != nil && keepUnsynced {
		part := *n.pending
		if k := len(part.Entries); k > 0 {
			part.Entries = part.Entries[:s.rng.IntN(k+1)]
		}
		n.disk.write(part)
	}
	s.abandonOperations(n)
	n.up = false
}

func (s *sim) abandonOperations(n *simNode) {
	for _, o := range n.reads {
		o.markFailed()
	}
	n.proposals, n.reads = map[manager.Index]*operation{}, map[replicator.ReadID]*operation{}
}

func (s *sim) clock(n *simNode) manager.Time {
	return manager.Time(float64(s.now)*n.rate) + manager.Time(n.offset)
}

func (s *sim) run(d manager.Duration) {
	for end := s.now.Add(d); s.now < end && s.failure == nil; s.now = s.now.Add(simStep) {
		s.deliver()
		for _, id := range s.order {
			if n := s.nodes[id]; n.up {
				s.runNode(n)
			}
		}
	}
}

func (s *sim) deliver() {
	var later []envelope
	for _, e := range s.network {
		if e.at > s.now {
			later = append(later, e)
			continue
		}
		if n, ok := s.nodes[e.m.To]; ok && n.up && !s.blocked[[2]manager.ReplicaID{e.m.From, e.m.To}] {
			n.inbox = append(n.inbox, e.m)
		}
	}
	s.network = later
}

// runNode lets a node finish its disk write, or handle its messages and begin the next write.
func (s *sim) runNode(n *simNode) {
	if n.pending != nil {
		if s.now < n.syncedAt || n.diskHangs {
			return
		}
		r := *n.pending
		n.pending = nil
		n.disk.write(r)
		s.completeReady(n, r)
	}
	n.replica.Tick(s.clock(n))
	inbox := n.inbox
	n.inbox = nil
	for _, m := range inbox {
		n.replica.Step(s.clock(n), m)
	}
	s.probeUnheard(n)
	r := n.replica.Ready(s.clock(n))
	s.checkLeader(n)
	s.send(n, r.BeforeSync)
	if !r.MustSync() {
		s.completeReady(n, r)
		return
	}
	n.pending = &r
	n.syncedAt = s.now.Add(manager.Duration(s.rng.IntN(30)))
}

func (s *sim) completeReady(n *simNode, r replicator.Ready) {
	s.send(n, r.AfterSync)
	if r.Snapshot != nil {
		s.installs++
		_ = json.Unmarshal(r.Snapshot.Data, &n.register)
		s.checkHash(n)
	}
	for _, e := range r.Committed {
		s.applyEntry(n, e)
	}
	for _, read := range r.Reads {
		o := n.reads[read.ID]
		delete(n.reads, read.ID)
		if o == nil {
			continue
		}
		if !read.Confirmed {
			o.markFailed()
			continue
		}
		if n.register.Index < read.Index {
			s.fail("replica %d: read at %d before it was applied", n.id, read.Index)
		}
		s.complete(o, n.register.Index, output{value: n.register.Value})
	}
	n.replica.Persisted(s.clock(n), r)
	if !n.replica.LeaderReady() && n.replica.Status().Role != replicator.RoleLeader {
		s.abandonOperations(n)
	}
	s.snapshotIfDue(n)
}

func (s *sim) applyEntry(n *simNode, e manager.Entry) {
	if e.Index != n.register.Index+1 {
		s.fail("replica %d: entry %d after %d", n.id, e.Index, n.register.Index)
	}
	if old, ok := s.committed[e.Index]; ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		s.fail("replica %d: committed entry %d reverted", n.id, e.Index)
	}
	s.committed[e.Index] = e
	s.highestCommitted = max(s.highestCommitted, e.Index)
	ok, value := n.register.apply(e)
	var c command
	if json.Unmarshal(e.Data, &c) == nil {
		if _, known := s.firstApplied[c.Op]; !known {
			s.sequence++
			s.firstApplied[c.Op] = firstApply{sequence: s.sequence, index: e.Index, output: output{ok: ok, value: value}}
		}
	}
	s.checkHash(n)
	if o := n.proposals[e.Index]; o != nil {
		delete(n.proposals, e.Index)
		if o.term != e.Term {
			o.markFailed()
		} else {
			s.complete(o, e.Index, output{ok: ok, value: value})
		}
	}
}

func (s *sim) checkHash(n *simNode) {
	if h, ok := s.hashes[n.register.Index]; ok && h != n.register.Hash {
		s.fail("replica %d: state at %d differs", n.id, n.register.Index)
	}
	s.hashes[n.register.Index] = n.register.Hash
}

// checkLeader checks election safety and leader completeness when a term gets its leader.
func (s *sim) checkLeader(n *simNode) {
	st := n.replica.Status()
	if st.Role != replicator.RoleLeader {
		return
	}
	if first, ok := s.leaders[st.Term]; ok {
		if first != n.id {
			s.fail("term %d has the leaders %d and %d", st.Term, first, n.id)
		}
		return
	}
	s.leaders[st.Term] = n.id
	if st.Last < s.highestCommitted {
		s.fail("leader %d of term %d lacks committed entries: %d < %d", n.id, st.Term, st.Last, s.highestCommitted)
	}
}

func (s *sim) snapshotIfDue(n *simNode) {
	if n.register.Index < n.disk.snapshot.Meta.Index+s.snapshotEvery || n.pending != nil {
		return
	}
	meta := n.replica.SnapshotMeta(n.register.Index)
	data, _ := json.Marshal(n.register)
	meta.Bytes = int64(len(data))
	n.disk.snapshot = replicator.Snapshot{Meta: meta, Data: data}
	const keep = 10
	n.disk.entries = slices.DeleteFunc(n.disk.entries, func(e manager.Entry) bool { return e.Index+keep < meta.Index })
	n.replica.Compact(meta, keep)
}

func (s *sim) send(n *simNode, list []manager.ReplicaMessage) {
	for _, m := range list {
		if m.Kind == manager.MessageSnapshot && !fillPiece(n, &m) {
			continue
		}
		s.sentMessages++
		if s.countBytes {
			data, _ := json.Marshal(m)
			s.sentBytes += len(data)
		}
		for range 1 + s.chance(s.duplicate) {
			if s.chance(s.loss) == 0 {
				at := s.now.Add(1 + manager.Duration(s.rng.Int64N(s.delay)))
				s.network = append(s.network, envelope{at: at, m: m})
			}
		}
	}
}

func (s *sim) chance(percent int) int {
	if s.rng.IntN(100) < percent {
		return 1
	}
	return 0
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == nil {
		s.failure = fmt.Errorf("at %d ms: %s", s.now, fmt.Sprintf(format, args...))
	}
}

// leader returns the node that leads in the highest term.
func (s *sim) leader() *simNode {
	var best *simNode
	for _, id := range s.order {
		n := s.nodes[id]
		if n.up && n.replica.LeaderReady() && (best == nil || n.replica.Status().Term > best.replica.Status().Term) {
			best = n
		}
	}
	return best
}
