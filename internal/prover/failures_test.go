package prover

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/operator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func TestGatewaysKilledUnderLoad(t *testing.T) {
	t.Parallel()
	s := startStand(t, 1, 3)
	s.callers.MayCut = true
	s.callers.Run()
	for _, g := range s.cluster.GatewayNames()[:2] {
		require.NoError(t, s.cluster.Processes[g].Kill())
		s.awaitAnswers(200)
		require.NoError(t, s.cluster.Processes[g].Start())
	}
	s.await("every gateway answers again", s.allAnswer)
	s.finish()
}

// awaitAnswers waits until callers got n more whole answers.
func (s *stand) awaitAnswers(n int) {
	s.t.Helper()
	before := s.callers.Summary().States[manager.RunStateRan]
	s.await("callers get answers", func() bool {
		return s.callers.Summary().States[manager.RunStateRan] >= before+n
	})
}

func TestRackLostAtOnce(t *testing.T) {
	t.Parallel()
	s := startStand(t, 1, 2)
	s.callers.Run()
	s.awaitAnswers(50)
	for _, service := range services {
		s.stopUpstream(manager.VMID(service + "-1"))
	}
	s.awaitAnswers(300)
	s.finish()
}

func TestConnectionsGoSilent(t *testing.T) {
	t.Parallel()
	s := startStand(t, 1, 2)
	s.callers.Run()
	s.awaitAnswers(50)
	for range 3 {
		for _, r := range s.relays {
			r.Silence()
		}
		for _, g := range s.cluster.GatewayNames() {
			s.cluster.Mesh.Silence(g)
		}
		s.awaitAnswers(100)
	}
	s.finish()
}

func TestPlannedStopsCutNothing(t *testing.T) {
	t.Parallel()
	s := startStand(t, 1, 3)
	s.callers.Balanced = true
	s.callers.Pause = time.Millisecond
	s.callers.Run()
	s.awaitAnswers(50)
	for _, g := range s.cluster.GatewayNames() {
		p := s.cluster.Processes[g]
		require.NoError(t, p.Signal(syscall.SIGTERM))
		require.NoError(t, p.Wait())
		s.awaitAnswers(200)
		require.NoError(t, p.Start())
		s.await("every gateway answers again", s.allAnswer)
	}
	s.Leave("pricing-1")
	s.await("the leaving upstream has no work", func() bool { return s.Left("pricing-1") })
	s.stopUpstream("pricing-1")
	s.awaitAnswers(100)
	s.finish()
}

func TestOperatorsRaceWithEqualVersions(t *testing.T) {
	t.Parallel()
	const operators = 8
	s := startStand(t, 1, 2)
	gateways := s.cluster.GatewayNames()
	var read manager.Profile
	require.NoError(t, s.get(gateways[0], "/api/profiles/desk", &read))
	results := make([]error, operators)
	var work sync.WaitGroup
	for i := range operators {
		work.Go(func() {
			p := read
			p.Weights.Moves = i + 1
			var stored manager.Profile
			results[i] = s.cluster.Operator(gateways[i%len(gateways)]).Post(t.Context(), "/api/profiles",
				operator.ProfileChange{Change: newChange(), Profile: p}, &stored)
		})
	}
	work.Wait()
	accepted := 0
	for _, err := range results {
		if err == nil {
			accepted++
			continue
		}
		require.True(t, manager.IsErrConflict(err), "%v", err)
	}
	require.Equal(t, 1, accepted)
}

func TestRestartAfterThousandChanges(t *testing.T) {
	t.Parallel()
	const changes = 1000
	s := startStand(t, 1, 1)
	gateway := s.cluster.GatewayNames()[0]
	var p manager.Profile
	require.NoError(t, s.get(gateway, "/api/profiles/desk", &p))
	for i := range changes {
		p.Weights.Moves = i
		s.post(gateway, "/api/profiles", operator.ProfileChange{Change: newChange(), Profile: p}, &p)
	}
	controller := s.cluster.Processes[s.cluster.ControllerNames()[0]]
	require.NoError(t, controller.Kill())
	require.NoError(t, controller.Start())
	var after manager.Profile
	s.await("the profile is back", func() bool { return s.get(gateway, "/api/profiles/desk", &after) == nil })
	require.Equal(t, p, after)
	s.await("the gateway answers again", s.allAnswer)
}

// planAndApprove starts a wave over a pool.
func (s *stand) planAndApprove(wave manager.WaveID, pool manager.PoolID) {
	s.t.Helper()
	gateway := s.cluster.GatewayNames()[0]
	var w manager.Wave
	s.post(gateway, "/api/waves", operator.WaveChange{Change: newChange(), Wave: wave, Pools: []manager.PoolID{pool}}, &w)
	s.post(gateway, fmt.Sprintf("/api/waves/%s/approve", wave), operator.WaveApproval{Change: newChange(), PlanVersion: w.PlanVersion}, &w)
}

// awaitWave waits until a wave is done and every VM of its pool was restarted once.
func (s *stand) awaitWave(wave manager.WaveID, pool manager.PoolID) {
	s.t.Helper()
	gateway := s.cluster.GatewayNames()[0]
	s.await("the wave is done", func() bool {
		var w manager.Wave
		return s.get(gateway, "/api/waves/"+string(wave), &w) == nil && w.State == manager.WaveDone
	})
	for _, v := range fleet().VMs {
		if v.Pool == pool {
			require.Equal(s.t, 1, s.platform.Reboots(v.VM), v.VM)
		}
	}
}

func TestControllerKilledMidWave(t *testing.T) {
	t.Parallel()
	s := startStand(t, 1, 2)
	s.callers.Run()
	s.planAndApprove("kernel", "pricing")
	for i := range 3 {
		s.await("the wave advances", func() bool { return s.reboots("pricing") > i })
		leader := s.cluster.Processes[s.leader()]
		require.NoError(t, leader.Kill())
		require.NoError(t, leader.Start())
	}
	s.awaitWave("kernel", "pricing")
	s.finish()
}

func (s *stand) reboots(pool manager.PoolID) int {
	n := 0
	for _, v := range fleet().VMs {
		if v.Pool == pool {
			n += s.platform.Reboots(v.VM)
		}
	}
	return n
}
