package storer_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const wait, tick = 20 * time.Second, 10 * time.Millisecond

// fullDisk has no room in some folders.
type fullDisk struct {
	journaler.RealDisk
	mu   *sync.Mutex
	full map[string]bool
}

func (d fullDisk) FreeBytes(folder string) (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full[folder] {
		return 0, nil
	}
	return d.RealDisk.FreeBytes(folder)
}

func (d fullDisk) fill(folder string, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full[folder] = full
}

// A leader whose disk fills up refuses every change, while the other replicas have room.
func TestLeaderWithAFullDiskHandsOver(t *testing.T) {
	t.Parallel()
	disk := fullDisk{mu: &sync.Mutex{}, full: map[string]bool{}}
	g := newGroup(t, 3, func(g *group) { g.disk = disk })
	first, s := g.leader()
	_, err := s.Propose(t.Context(), change("before", 0))
	require.NoError(t, err)

	disk.fill(g.path(first), true)
	require.Eventually(t, func() bool {
		var at int
		at, s = g.leader()
		return at != first
	}, wait, tick)
	require.Eventually(t, func() bool {
		_, err := s.Propose(t.Context(), change("after", 1))
		return err == nil
	}, wait, tick)
	require.NoError(t, s.Read(t.Context(), func(manager.Applier) {}), "reads are served on")

	disk.fill(g.path(first), false)
	require.Eventually(t, func() bool {
		return g.store(first).Status().Commit >= s.Status().Commit
	}, wait, tick, "the replica catches up once its disk has room")
}
