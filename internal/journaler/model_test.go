package journaler_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// logModel holds every state that a folder may have: the acknowledged one, and each one that a call since then
// would have led to.
type logModel struct {
	t    *testing.T
	rand *rand.Rand
	disk *simulatedDisk
	log  *journaler.Log
	// serial makes the data of each entry unique.
	serial int

	logs []logState
	// snapshots begins with the acknowledged one.
	snapshots []replicator.Snapshot
}

type logState struct {
	hardState manager.HardState
	entries   []manager.Entry
}

// TestLogKeepsWhatItAcknowledged plays writes, refused operations, kills and losses of power.
func TestLogKeepsWhatItAcknowledged(t *testing.T) {
	t.Parallel()
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 0))
			m := &logModel{
				t: t, rand: r, disk: newSimulatedDisk(t.TempDir(), r),
				logs: make([]logState, 1), snapshots: make([]replicator.Snapshot, 1),
			}
			m.open()
			for range 60 {
				m.step()
			}
		})
	}
}

func (m *logModel) step() {
	if m.rand.IntN(6) == 0 {
		m.disk.faulty = m.rand.IntN(12)
	}
	if m.disk.stopsAfter == 0 {
		m.disk.stopsAfter = 1 + m.rand.IntN(40)
	}
	if m.disk.stopped {
		m.restart()
		return
	}
	switch m.rand.IntN(13) {
	case 0:
		m.restart()
	case 1:
		m.install()
	case 2, 3:
		m.saveSnapshot()
	case 4:
		_, snapshot := m.acknowledged()
		m.log.Trim(snapshot.Meta.Index)
	default:
		m.save()
	}
}

func (m *logModel) acknowledged() (logState, replicator.Snapshot) { return m.logs[0], m.snapshots[0] }

// covered returns the highest index of a snapshot that the folder may hold; no entry up to it is replaced.
func (m *logModel) covered() manager.Index { return m.snapshots[len(m.snapshots)-1].Meta.Index }

func (m *logModel) last() manager.Index {
	s, snapshot := m.acknowledged()
	if len(s.entries) == 0 {
		return snapshot.Meta.Index
	}
	return max(s.entries[len(s.entries)-1].Index, snapshot.Meta.Index)
}

// between returns a number from low to high.
func (m *logModel) between(low, high manager.Index) manager.Index {
	return low + manager.Index(m.rand.Uint64N(uint64(high-low)+1))
}

func (m *logModel) save() {
	next, _ := m.acknowledged()
	next.entries = slices.Clone(next.entries)
	var h *manager.HardState
	if m.rand.IntN(3) == 0 {
		next.hardState.Term += manager.Term(m.rand.IntN(2))
		next.hardState.Vote = manager.ReplicaID(m.rand.IntN(3))
		h = &next.hardState
	}
	first := m.last() + 1
	if m.rand.IntN(4) == 0 {
		first = m.between(m.covered()+1, first)
	}
	var add []manager.Entry
	for i := range m.rand.IntN(4) {
		m.serial++
		add = append(add, manager.Entry{
			Index: first + manager.Index(i), Term: next.hardState.Term, Kind: manager.EntryCommand,
			Data: json.RawMessage(fmt.Sprintf(`{"N":%d}`, m.serial)),
		})
	}
	if len(add) > 0 {
		next.entries = slices.DeleteFunc(next.entries, func(e manager.Entry) bool { return e.Index >= first })
		next.entries = append(next.entries, add...)
	}
	m.logs = append(m.logs, next)
	for {
		err := m.log.Save(h, add)
		if err == nil {
			m.logs = []logState{next}
			return
		}
		require.ErrorIs(m.t, err, journaler.ErrUnwritten)
		if m.rand.IntN(4) == 0 {
			return
		}
	}
}

func (m *logModel) snapshot(i manager.Index, term manager.Term) replicator.Snapshot {
	m.serial++
	data := fmt.Appendf(nil, "snapshot %d", m.serial)
	s := replicator.Snapshot{Meta: manager.SnapshotMeta{Index: i, Term: term, Bytes: int64(len(data))}, Data: data}
	m.snapshots = append(m.snapshots, s)
	return s
}

// term returns the term of the acknowledged entry at an index, or false if there is none.
func (m *logModel) term(i manager.Index) (manager.Term, bool) {
	s, _ := m.acknowledged()
	at := slices.IndexFunc(s.entries, func(e manager.Entry) bool { return e.Index == i })
	if at < 0 {
		return 0, false
	}
	return s.entries[at].Term, true
}

func (m *logModel) saveSnapshot() {
	if m.last() <= m.covered() {
		return
	}
	i := m.between(m.covered()+1, m.last())
	term, ok := m.term(i)
	require.True(m.t, ok)
	s := m.snapshot(i, term)
	keepAfter := i
	if m.rand.IntN(2) == 0 {
		keepAfter = m.between(0, i)
	}
	for {
		err := m.log.SaveSnapshot(s, keepAfter)
		if err == nil {
			m.snapshots = []replicator.Snapshot{s}
			return
		}
		require.ErrorIs(m.t, err, journaler.ErrUnwritten)
		if m.rand.IntN(4) == 0 {
			return
		}
	}
}

// install is repeated until it is stored or the process is restarted, as its caller does.
func (m *logModel) install() {
	i := m.between(m.covered()+1, max(m.last(), m.covered()+1)+4)
	term, ok := m.term(i)
	if !ok || m.rand.IntN(2) == 0 {
		term++
	}
	s := m.snapshot(i, term)
	next, _ := m.acknowledged()
	next.entries = nil
	m.logs = append(m.logs, next)
	for {
		err := m.log.Install(s)
		if err == nil {
			m.logs, m.snapshots = []logState{next}, []replicator.Snapshot{s}
			return
		}
		require.ErrorIs(m.t, err, journaler.ErrUnwritten)
		if m.rand.IntN(4) == 0 {
			m.restart()
			return
		}
	}
}

func (m *logModel) restart() {
	require.NoError(m.t, m.log.Close())
	m.disk.stopped, m.disk.stopsAfter = false, 0
	if m.rand.IntN(2) == 0 {
		m.disk.losePower(m.t)
	}
	if m.rand.IntN(3) == 0 {
		m.disk.faulty = 6
		l := &journaler.Log{Folder: m.disk.folder, Disk: m.disk, SegmentBytes: 300}
		_, _, err := l.Open()
		require.NotErrorIs(m.t, err, journaler.ErrDamaged)
		require.NoError(m.t, l.Close())
		if m.rand.IntN(2) == 0 {
			m.disk.losePower(m.t)
		}
	}
	m.open()
}

func (m *logModel) open() {
	m.disk.faulty, m.disk.stopped, m.disk.stopsAfter = 0, false, 0
	m.log = &journaler.Log{Folder: m.disk.folder, Disk: m.disk, SegmentBytes: 300}
	stored, data, err := m.log.Open()
	require.NoError(m.t, err)
	for _, s := range m.snapshots {
		if !reflect.DeepEqual(s.Meta, stored.Snapshot) || string(s.Data) != string(data) {
			continue
		}
		for _, l := range m.logs {
			if l.entries = withoutReplaced(l.entries, s.Meta); matches(l, stored) {
				m.logs, m.snapshots = []logState{l}, []replicator.Snapshot{s}
				return
			}
		}
	}
	require.Failf(m.t, "the stored state was never acknowledged or attempted", "stored %+v %q\nlogs %+v\nsnapshots %+v",
		stored, data, m.logs, m.snapshots)
}

// withoutReplaced returns no entries if a snapshot has replaced the log.
func withoutReplaced(list []manager.Entry, s manager.SnapshotMeta) []manager.Entry {
	if len(list) == 0 || list[len(list)-1].Index < s.Index {
		return nil
	}
	for _, e := range list {
		if e.Index == s.Index && e.Term != s.Term {
			return nil
		}
	}
	return list
}

// matches reports whether the stored entries end the log and only entries that the snapshot covers are missing.
func matches(l logState, stored replicator.PersistentState) bool {
	missing := len(l.entries) - len(stored.Entries)
	return stored.HardState == l.hardState && missing >= 0 &&
		(missing == 0 || l.entries[missing-1].Index <= stored.Snapshot.Index) &&
		(len(stored.Entries) == 0 || reflect.DeepEqual(l.entries[missing:], stored.Entries))
}
