package soaker

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNodesFindLeaderAfterRestartWithSeedsWithoutDisk makes nodes without a disk the seeds and kills every process.
func TestNodesFindLeaderAfterRestartWithSeedsWithoutDisk(t *testing.T) {
	t.Parallel()
	const core, plain = 3, 5
	s := &soak{t: t, plain: plain}
	defer s.close()
	s.start(7, core)
	require.NoError(t, s.fleet.ExchangeSeeds(s.fleet.Nodes[core:core+maxSeeds]))
	s.serves("after the seeds were exchanged")
	s.restartAll()
	for _, n := range s.fleet.Nodes {
		ready := func() bool { return s.watch.caller.Ready(s.watch.ctx, n.At(portReady)) }
		require.True(t, s.watch.await(timeToRecover, ready), "%s finds no leader", n.Name)
	}
	s.settle("at the end")
}

// timeToRecover is the time in which every node has to serve once all are back.
const timeToRecover = 12 * time.Second

// restartAll kills every process and launches each at its own time.
func (s *soak) restartAll() {
	var kills, launches sync.WaitGroup
	for _, n := range s.fleet.Nodes {
		kills.Go(func() { s.must(s.fleet.Kill(n)) })
	}
	kills.Wait()
	for _, n := range s.fleet.Nodes {
		down := time.Duration(500+s.extra.IntN(500)) * time.Millisecond
		launches.Go(func() {
			time.Sleep(down)
			s.must(s.fleet.Launch(n, false))
		})
	}
	launches.Wait()
}

// exchangeSeeds draws other seeds at some moments of the faults; nodes without a disk may be among them.
func (s *soak) exchangeSeeds(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	s.work.Go(func() {
		for range 1 + rng.IntN(2) {
			time.Sleep(time.Duration(rng.IntN(int(*faultTime))))
			var seeds []*Node
			for _, i := range rng.Perm(len(s.fleet.Nodes))[:maxSeeds] {
				seeds = append(seeds, s.fleet.Nodes[i])
			}
			s.must(s.fleet.ExchangeSeeds(seeds))
		}
	})
}

// TestMachineWithLostDiskFindsLeaderWhileOtherSeedsAreDown empties the disk of the only seed that is left.
func TestMachineWithLostDiskFindsLeaderWhileOtherSeedsAreDown(t *testing.T) {
	t.Parallel()
	const core, plain = 3, 3
	s := &soak{t: t, plain: plain}
	defer s.close()
	s.start(7, core)
	lost := s.fleet.Nodes[0]
	down := s.fleet.Nodes[core : core+2]
	require.NoError(t, s.fleet.ExchangeSeeds([]*Node{lost, down[0], down[1]}))
	s.serves("after the seeds were exchanged")
	for _, n := range append([]*Node{lost}, down...) {
		require.NoError(t, s.fleet.Kill(n))
	}
	require.NoError(t, s.fleet.Wipe(lost))
	require.NoError(t, s.fleet.Launch(lost, false))
	ready := func() bool { return s.watch.caller.Ready(s.watch.ctx, lost.At(portReady)) }
	require.True(t, s.watch.await(timeToRecover, ready), "%s finds no leader", lost.Name)
	s.settle("at the end")
}
