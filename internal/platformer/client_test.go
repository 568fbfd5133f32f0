package platformer_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/faker"
	"github.com/mulberryhaven/mulberryhaven/internal/listener"
	"github.com/mulberryhaven/mulberryhaven/internal/platformer"
	"github.com/mulberryhaven/mulberryhaven/internal/translator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const token = "platform"

func newClient(t *testing.T, clock manager.Clock) *platformer.Client {
	t.Helper()
	p := &faker.Platform{Clock: clock, RebootTime: manager.Second}
	p.Add(manager.VM{VM: "vm-1", Pool: "pricing"})
	w := &faker.Worker{Clock: clock, RunTime: func(j manager.Job) manager.Duration { return j.DeclaredMs }}
	e := listener.NewEcho()
	faker.Routes(e, token, p, w)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return &platformer.Client{Address: manager.Address(server.Listener.Addr().String()), Token: token, HTTP: &http.Client{}}
}

func state(t *testing.T, c *platformer.Client) manager.VMState {
	t.Helper()
	list, err := c.Observe(t.Context())
	require.NoError(t, err)
	require.Len(t, list, 1)
	return list[0].State
}

func TestMaintainsVM(t *testing.T) {
	clock := &manager.ManualClock{}
	c := newClient(t, clock)
	require.NoError(t, c.Drain(t.Context(), "vm-1", 2))
	require.Equal(t, manager.VMDrained, state(t, c))
	require.NoError(t, c.Reboot(t.Context(), "vm-1", 2))
	require.Equal(t, manager.VMRebooting, state(t, c))
	clock.Advance(manager.Second)
	require.Equal(t, manager.VMRunning, state(t, c))
	require.True(t, manager.IsErrConflict(c.Drain(t.Context(), "vm-1", 1)), "an old epoch's order is refused")
	require.True(t, manager.IsErrNotExist(c.Drain(t.Context(), "vm-9", 1)))
}

func TestRunsTaskOnce(t *testing.T) {
	clock := &manager.ManualClock{}
	c := newClient(t, clock)
	j := manager.Job{Job: "count", DeclaredMs: manager.Second}
	l := manager.Lease{Lease: 7, Job: j.Job, VM: "vm-1", Until: manager.Time(manager.Minute)}
	require.NoError(t, c.Start(t.Context(), l, j))
	require.NoError(t, c.Start(t.Context(), l, j))
	require.NoError(t, c.Renew(t.Context(), l))
	clock.Advance(manager.Second)
	reports, err := c.Usage(t.Context())
	require.NoError(t, err)
	require.Len(t, reports, 1)
	require.Equal(t, manager.TaskSucceeded, reports[0].Result)
	require.NoError(t, c.Order(t.Context(), l, manager.TaskStop))
}

func TestRefusesWrongToken(t *testing.T) {
	c := newClient(t, &manager.ManualClock{})
	c.Token = "guess"
	require.ErrorIs(t, c.Drain(t.Context(), "vm-1", 1), translator.ErrUnauthorized)
}
