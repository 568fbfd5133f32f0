package storer_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// group is a replica group over loopback HTTP.
type group struct {
	t       testing.TB
	folder  string
	members []manager.ReplicaMember
	servers []*httptest.Server
	// disk is set on every replica; machine creates the state machine of each.
	disk    journaler.Disk
	machine func() storer.StateMachine
	// minFree and snapshotBytes are the limits in bytes of every replica.
	minFree       uint64
	snapshotBytes int64

	mu     sync.Mutex
	stores []*storer.Replicated
}

func (g *group) store(i int) *storer.Replicated {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stores[i]
}

func (g *group) serve(i int) http.Handler {
	e := echo.New()
	e.POST(storer.PathReplicate, func(c echo.Context) error {
		var x storer.Exchange
		if err := configurer.Decode(c.Request().Body, &x); err != nil {
			return err
		}
		s := g.store(i)
		if s == nil {
			return echo.ErrServiceUnavailable
		}
		answer, err := s.Exchange(c.Request().Context(), x)
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, answer)
	})
	e.POST(storer.PathProbe, func(c echo.Context) error {
		if s := g.store(i); s != nil {
			return c.JSON(http.StatusOK, s.Probe())
		}
		return echo.ErrServiceUnavailable
	})
	return e
}

func newGroup(tb testing.TB, n int, options ...func(*group)) *group {
	tb.Helper()
	t := tb
	g := &group{t: t, folder: t.TempDir(), stores: make([]*storer.Replicated, n)}
	for _, o := range options {
		o(g)
	}
	for i := range n {
		server := httptest.NewServer(g.serve(i))
		t.Cleanup(server.Close)
		g.servers = append(g.servers, server)
		g.members = append(g.members, manager.ReplicaMember{
			Replica: manager.ReplicaID(i + 1), Address: manager.Address(server.Listener.Addr().String()),
		})
	}
	for i := range n {
		g.start(i)
	}
	t.Cleanup(func() {
		for i := range n {
			g.stop(i)
		}
	})
	return g
}

func (g *group) path(i int) string { return filepath.Join(g.folder, fmt.Sprint(i)) }

func (g *group) start(i int) {
	s := &storer.Replicated{
		Clock: timekeeper.New(), Replica: g.members[i].Replica, Initial: g.members, Folder: g.path(i), Disk: g.disk,
		HTTP: &http.Client{Transport: &http.Transport{}}, Seed: uint64(i),
		Options: replicator.Options{HeartbeatPeriod: 100, ElectionTimeout: 600}, SnapshotEvery: 50,
		MinFreeBytes: g.minFree, SnapshotBytes: g.snapshotBytes,
	}
	if g.machine != nil {
		s.Machine, s.SnapshotEvery = g.machine(), 0
	}
	require.NoError(g.t, s.Open())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stores[i] = s
}

func (g *group) stop(i int) {
	g.mu.Lock()
	s := g.stores[i]
	g.stores[i] = nil
	g.mu.Unlock()
	if s != nil {
		require.NoError(g.t, s.Close())
	}
}

// leader waits until a replica is the leader and returns it.
func (g *group) leader() (int, *storer.Replicated) {
	at := -1
	require.Eventually(g.t, func() bool {
		for i := range g.members {
			if s := g.store(i); s != nil {
				if _, leads := s.Leader(); leads {
					at = i
					return true
				}
			}
		}
		return false
	}, 20*time.Second, 5*time.Millisecond)
	return at, g.store(at)
}

// propose commits a change at whichever replica leads.
func (g *group) propose(id string, v manager.Version) {
	require.Eventually(g.t, func() bool {
		for i := range g.members {
			s := g.store(i)
			if s == nil {
				continue
			}
			if _, leads := s.Leader(); !leads {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := s.Propose(ctx, change(id, v))
			cancel()
			return err == nil
		}
		return false
	}, wait, tick, id)
}

// slowDisk sleeps for pause nanoseconds before each sync.
type slowDisk struct {
	journaler.RealDisk
	pause *atomic.Int64
}

func (d slowDisk) Sync(f *os.File) error {
	time.Sleep(time.Duration(d.pause.Load()))
	return d.RealDisk.Sync(f)
}

// Syncs take longer than a peer waits for the answer to its messages; the votes must count all the same, or no
// leader is elected.
func TestVotesOnSlowDisksCount(t *testing.T) {
	t.Parallel()
	const slow = int64(350 * time.Millisecond)
	for _, s := range []struct {
		name         string
		bootstrapped bool
	}{{"while the group is bootstrapped", false}, {"after the leader is lost", true}} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			pause := &atomic.Int64{}
			if !s.bootstrapped {
				pause.Store(slow)
			}
			g := newGroup(t, 3, func(g *group) { g.disk = slowDisk{pause: pause} })
			first, _ := g.leader()
			if !s.bootstrapped {
				return
			}
			pause.Store(slow)
			g.stop(first)
			next, _ := g.leader()
			require.NotEqual(t, first, next)
		})
	}
}

func profile(v manager.Version) manager.Profile {
	return manager.Profile{
		Profile: "cathode", Version: v, Budget: manager.Budget{MaxUnavailable: 1},
		Wave: manager.WaveRules{MaxAtOnce: 1, DrainLimitMs: 1000, Order: manager.WaveOrderName},
	}
}

func change(id string, v manager.Version) manager.Command {
	return manager.Command{Command: manager.CommandID(id), ApplyProfile: &manager.ApplyProfile{Profile: profile(v)}}
}

func TestRacingOperatorsAndLeaderLoss(t *testing.T) {
	g := newGroup(t, 3)
	at, leader := g.leader()
	results := make([]manager.Result, 8)
	var work sync.WaitGroup
	for i := range results {
		work.Go(func() {
			r, err := leader.Propose(context.Background(), change(fmt.Sprint("race-", i), 0))
			if err == nil {
				results[i] = r
			}
		})
	}
	work.Wait()
	accepted := ""
	for i, r := range results {
		if r.Failure == nil && r.Profile != nil {
			require.Empty(t, accepted, "two equal versions were accepted")
			accepted = fmt.Sprint("race-", i)
		}
	}
	require.NotEmpty(t, accepted)
	g.stop(at)
	_, next := g.leader()
	retried, err := next.Propose(context.Background(), change(accepted, 0))
	require.NoError(t, err)
	require.Nil(t, retried.Failure, "a retry at the next leader returns the first result")
	require.Equal(t, manager.Version(1), retried.Profile.Version)
}

func TestLostDiskJoinsOnlyUnderNewID(t *testing.T) {
	g := newGroup(t, 3)
	at, leader := g.leader()
	lost := (at + 1) % 3
	g.stop(lost)
	require.NoError(t, os.RemoveAll(g.path(lost)))
	for i := range 120 {
		_, err := leader.Propose(context.Background(), change(fmt.Sprint("c", i), manager.Version(i)))
		require.NoError(t, err)
	}
	g.start(lost)
	require.Eventually(t, func() bool {
		err := g.store(lost).Ready()
		return err != nil && manager.IsErrUnavailable(err) && g.store(lost).Status().Term == 0 && !g.store(lost).Probe().Bootstrapped
	}, 10*time.Second, 10*time.Millisecond)
	g.stop(lost)
	require.NoError(t, os.RemoveAll(g.path(lost)))
	_, leader = g.leader()
	require.NoError(t, leader.RemoveReplica(context.Background(), g.members[lost].Replica))
	g.members[lost].Replica = 4
	g.start(lost)
	require.Eventually(t, func() bool {
		return leader.AddReplica(context.Background(), g.members[lost]) == nil
	}, 10*time.Second, 20*time.Millisecond)
	require.Eventually(t, func() bool {
		for _, m := range leader.Status().Members.List {
			if m.Replica == 4 && !m.Learner {
				return true
			}
		}
		return false
	}, 10*time.Second, 10*time.Millisecond)
	c, err := journaler.ReadFolder(g.path(lost))
	require.NoError(t, err)
	require.Positive(t, c.Stored.Snapshot.Index, "the new replica installed a snapshot")
}

func BenchmarkCommit(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			g := newGroup(b, n)
			_, leader := g.leader()
			benchmarkCommits(b, leader)
		})
	}
	b.Run("naive", func(b *testing.B) {
		s := &storer.Single{Journal: &journaler.Journal{Folder: b.TempDir()}}
		require.NoError(b, s.Open())
		defer s.Close()
		benchmarkCommits(b, s)
	})
}

// benchmarkCommits proposes commands from many goroutines (64 per processor) at once.
func benchmarkCommits(b *testing.B, s storer.Store) {
	b.Helper()
	b.SetParallelism(64)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c := manager.Command{MakeClaim: &manager.MakeClaim{Request: "r", Digest: "d", Gateway: "g", Attempt: "a"}}
			if _, err := s.Propose(context.Background(), c); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
}

// BenchmarkRecovery measures a restart until the replica is the leader with all entries applied.
func BenchmarkRecovery(b *testing.B) {
	for _, changes := range []int{1_000, 100_000} {
		for _, every := range []int{storer.DefaultSnapshotEvery, 1 << 30} {
			b.Run(fmt.Sprintf("changes=%d/snapshot-every=%d", changes, every), func(b *testing.B) {
				open := func(folder string) *storer.Replicated {
					s := &storer.Replicated{
						Clock: timekeeper.New(), Replica: 1, HTTP: http.DefaultClient, Folder: folder, SnapshotEvery: every,
						Initial: []manager.ReplicaMember{{Replica: 1, Address: "127.0.0.1:1"}},
					}
					require.NoError(b, s.Open())
					require.Eventually(b, func() bool { _, leads := s.Leader(); return leads }, time.Minute, time.Millisecond)
					return s
				}
				folder := b.TempDir()
				s := open(folder)
				fill(b, s, changes)
				require.NoError(b, s.Close())
				var bytes int64
				b.ResetTimer()
				for b.Loop() {
					require.NoError(b, open(folder).Close())
				}
				c, err := journaler.ReadFolder(folder)
				require.NoError(b, err)
				bytes = c.Bytes + c.Stored.Snapshot.Bytes
				b.ReportMetric(float64(bytes), "disk-bytes")
			})
		}
	}
}

func fill(b *testing.B, s storer.Store, changes int) {
	b.Helper()
	var work sync.WaitGroup
	const callers = 100
	for i := range callers {
		work.Go(func() {
			for k := range changes / callers {
				c := change(fmt.Sprintf("%d-%d", i, k), 0)
				c.ApplyProfile.Profile.Profile = manager.ProfileID(fmt.Sprint("p", i))
				c.ApplyProfile.Profile.Version = manager.Version(k)
				if _, err := s.Propose(context.Background(), c); err != nil {
					b.Error(err)
				}
			}
		})
	}
	work.Wait()
}
