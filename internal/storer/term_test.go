package storer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// armedDisk fails syncs once its folder was synced.
type armedDisk struct {
	journaler.RealDisk
	armed, fail *atomic.Bool
}

func (d armedDisk) SyncFolder(f string) error {
	if d.armed.Load() {
		d.fail.Store(true)
	}
	return d.RealDisk.SyncFolder(f)
}

func (d armedDisk) Sync(f *os.File) error {
	if d.fail.Load() {
		return &os.PathError{Op: "sync", Path: f.Name(), Err: syscall.EIO}
	}
	return d.RealDisk.Sync(f)
}

// A single voter leads at once; a term that its disk had not stored was used again with other entries after a crash.
func TestSingleVoterSendsNothingOfATermThatIsNotStored(t *testing.T) {
	t.Parallel()
	var highest atomic.Uint64
	e := echo.New()
	e.POST(storer.PathProbe, func(c echo.Context) error { return c.JSON(http.StatusOK, manager.BootstrapAnswer{Disk: "learner"}) })
	e.POST(storer.PathReplicate, func(c echo.Context) error {
		var x storer.Exchange
		if err := configurer.Decode(c.Request().Body, &x); err != nil {
			return err
		}
		for _, m := range x.Messages {
			highest.Store(max(highest.Load(), uint64(m.Term)))
		}
		return c.JSON(http.StatusOK, storer.Exchange{})
	})
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	disk := armedDisk{armed: &atomic.Bool{}, fail: &atomic.Bool{}}
	g := newGroup(t, 1, func(g *group) { g.disk = disk })
	_, leader := g.leader()
	require.Eventually(t, func() bool {
		return leader.AddReplica(context.Background(), manager.ReplicaMember{Replica: 2, Address: manager.Address(server.Listener.Addr().String())}) == nil
	}, wait, tick)
	g.stop(0)
	disk.armed.Store(true)
	g.start(0)
	const heartbeats = 10
	time.Sleep(heartbeats * 100 * time.Millisecond)
	require.True(t, disk.fail.Load())
	s := g.store(0)
	require.Less(t, highest.Load(), uint64(s.Status().Term), "messages of a term whose vote is not stored")
	disk.fail.Store(false)
	require.Eventually(t, func() bool { return highest.Load() == uint64(s.Status().Term) }, wait, tick)
}
