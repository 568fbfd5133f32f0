package prover

import (
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/operator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const replicas = 3

// changeProfile stores a new value in the profile and returns what was stored.
func (s *stand) changeProfile(gateway string, moves int) manager.Profile {
	s.t.Helper()
	var p, stored manager.Profile
	s.await("the profile can be read", func() bool { return s.get(gateway, "/api/profiles/desk", &p) == nil })
	p.Weights.Moves = moves
	s.post(gateway, "/api/profiles", operator.ProfileChange{Change: newChange(), Profile: p}, &stored)
	return stored
}

// requireProfile waits until a gateway can read the profile and requires that it is this one.
func (s *stand) requireProfile(gateway string, want manager.Profile) {
	s.t.Helper()
	var got manager.Profile
	s.await("the profile can be read", func() bool { return s.get(gateway, "/api/profiles/desk", &got) == nil })
	require.Equal(s.t, want, got)
}

func TestLeaderKilledMidWaveAndMidClaim(t *testing.T) {
	t.Parallel()
	s := startStand(t, replicas, 2)
	s.callers.Run()
	s.awaitAnswers(50)
	s.planAndApprove("kernel", "pricing")
	for i := range 2 {
		s.await("the wave advances", func() bool { return s.reboots("pricing") > i })
		leader := s.cluster.Processes[s.leader()]
		require.NoError(t, leader.Kill())
		s.changeProfile(s.cluster.GatewayNames()[0], i+1)
		require.NoError(t, leader.Start())
	}
	s.awaitWave("kernel", "pricing")
	s.finish()
}

func TestControllerCutOffAndReturned(t *testing.T) {
	t.Parallel()
	s := startStand(t, replicas, 2)
	gateway := s.cluster.GatewayNames()[0]
	s.callers.Run()
	s.changeProfile(gateway, 1)
	old := s.leader()
	s.cluster.Mesh.CutOff(old)
	stored := s.changeProfile(gateway, 2)
	require.EqualValues(t, 3, stored.Version)
	s.await("the controller that was cut off stops to lead", func() bool {
		node := s.cluster.Leader(t.Context())
		return node != "" && node != old
	})
	s.cluster.Mesh.Rejoin(old)
	s.requireProfile(gateway, stored)
	// The returned controller takes part again: with another one lost, changes still need it.
	others := slices.DeleteFunc(s.cluster.ControllerNames(), func(node string) bool { return node == old })
	require.NoError(t, s.cluster.Processes[others[0]].Kill())
	stored = s.changeProfile(gateway, 3)
	s.requireProfile(s.cluster.GatewayNames()[1], stored)
	s.finish()
}

func TestLeaderFrozenAndThawed(t *testing.T) {
	t.Parallel()
	s := startStand(t, replicas, 2)
	gateway := s.cluster.GatewayNames()[0]
	s.callers.Run()
	s.awaitAnswers(50)
	frozen := s.leader()
	require.NoError(t, s.cluster.Processes[frozen].Signal(syscall.SIGSTOP))
	stored := s.changeProfile(gateway, 5)
	require.NoError(t, s.cluster.Processes[frozen].Signal(syscall.SIGCONT))
	s.awaitAnswers(200)
	s.requireProfile(gateway, stored)
	s.finish()
}

func TestLostDiskDoesNotReturnUnderItsOldNumber(t *testing.T) {
	t.Parallel()
	s := startStand(t, replicas, 1)
	gateway := s.cluster.GatewayNames()[0]
	stored := s.changeProfile(gateway, 1)
	leader := s.leader()
	followers := slices.DeleteFunc(s.cluster.ControllerNames(), func(node string) bool { return node == leader })
	lost := s.cluster.Processes[followers[0]]
	require.NoError(t, lost.Kill())
	require.NoError(t, os.RemoveAll(s.cluster.DataFolder(followers[0])))
	require.NoError(t, lost.Start())
	// With the other follower lost too, the leader has only the empty one, which must not make a quorum.
	require.NoError(t, s.cluster.Processes[followers[1]].Kill())
	s.await("the leader steps down", func() bool { return s.cluster.Leader(t.Context()) == "" })
	change := operator.ProfileChange{Change: newChange(), Profile: stored}
	var p manager.Profile
	err := s.cluster.Operator(gateway).Post(t.Context(), "/api/profiles", change, &p)
	require.True(t, manager.IsErrUnavailable(err) || manager.IsErrOutcomeUnknown(err), "%v", err)
	require.NoError(t, s.cluster.Processes[followers[1]].Start())
	s.await("the profile can be read", func() bool { return s.get(gateway, "/api/profiles/desk", &p) == nil })
	require.GreaterOrEqual(t, p.Version, stored.Version)
}

func TestGatewayCutOffRefusesWithNotRun(t *testing.T) {
	t.Parallel()
	s := startStand(t, replicas, 2)
	node := s.cluster.GatewayNames()[1]
	address := s.cluster.GatewayAddresses()[1]
	s.cluster.Mesh.CutOff(node)
	cutAt := time.Now()
	var refusal manager.Refusal
	s.await("the gateway refuses", func() bool { return readRefusal(address, &refusal) })
	require.Equal(t, manager.RefusalStale, refusal.Code)
	require.Equal(t, manager.RunStateNotRun, refusal.RunState)
	t.Logf("refused %d ms after the cut", time.Since(cutAt).Milliseconds())
	s.cluster.Mesh.Rejoin(node)
	s.await("every gateway answers again", s.allAnswer)
}

func TestMajorityLostAndBack(t *testing.T) {
	t.Parallel()
	s := startStand(t, replicas, 1)
	gateway := s.cluster.GatewayNames()[0]
	stored := s.changeProfile(gateway, 4)
	for _, node := range s.cluster.ControllerNames() {
		require.NoError(t, s.cluster.Processes[node].Kill())
	}
	var refusal manager.Refusal
	s.await("the gateway refuses", func() bool { return readRefusal(s.cluster.GatewayAddresses()[0], &refusal) })
	require.Equal(t, manager.RunStateNotRun, refusal.RunState)
	for _, node := range s.cluster.ControllerNames() {
		require.NoError(t, s.cluster.Processes[node].Start())
	}
	s.requireProfile(gateway, stored)
	s.await("every gateway answers again", s.allAnswer)
}
