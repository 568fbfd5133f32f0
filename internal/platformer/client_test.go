package platformer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
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

// serveLists returns a client of a platform that answers every call with a text.
func serveLists(t *testing.T, text string) *platformer.Client {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }))
	t.Cleanup(s.Close)
	return &platformer.Client{Address: manager.Address(s.Listener.Addr().String()), HTTP: &http.Client{}}
}

func TestOddEntryCostsNoOtherEntry(t *testing.T) {
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	for _, odd := range []string{
		nested, `{"VM":"vm-5","State":` + nested + `}`, `{"VM":"vm-5","State":"running","Epoch":18446744073709551616}`, `{"VM":"vm-5","State":"running","Epoch":-1}`,
		`{"VM":"vm-5","State":"asleep"}`, `{"VM":7,"State":"running"}`, `{"State":"running"}`, `null`, `"vm-5"`, `{"VM":"vm-5","State":running}`,
	} {
		c := serveLists(t, `[{"VM":"vm-1","State":"running","Epoch":3},`+odd+`,{"VM":"vm-2","State":"drained"}]`)
		list, err := c.Observe(t.Context())
		require.NoError(t, err, "%.60s", odd)
		require.Equal(t, []manager.VMObservation{{VM: "vm-1", State: manager.VMRunning, Epoch: 3}, {VM: "vm-2", State: manager.VMDrained}}, list, "%.60s", odd)
	}
	good := manager.UsageReport{Lease: 7, Job: "a", VM: "vm-1", At: 5, DoneMs: 9}
	for _, odd := range []string{
		nested, `{"Lease":8,"Used":{"ProcessorMilliCores":9223372036854775807}}`, `{"Lease":8,"Used":{"MemoryMegaBytes":-1}}`, `{"Lease":-8}`,
		`{"Lease":8,"DoneMs":9223372036854775807}`, `{"Lease":8,"DoneMs":-1}`, `{"Lease":8,"At":1e300}`, `{"Lease":8,"At":9223372036854775807}`, `null`,
	} {
		c := serveLists(t, `[`+odd+`,{"Lease":7,"Job":"a","VM":"vm-1","At":5,"DoneMs":9}]`)
		list, err := c.Usage(t.Context())
		require.NoError(t, err, "%.60s", odd)
		require.Equal(t, []manager.UsageReport{good}, list, "%.60s", odd)
	}
	for _, text := range []string{"", "null", "{}", `[{"VM":"vm-1"`, nested[:100]} {
		_, err := serveLists(t, text).Observe(t.Context())
		require.Error(t, err, "%q is no list", text)
	}
}
