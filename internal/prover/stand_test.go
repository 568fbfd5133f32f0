package prover

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/checker"
	"github.com/mulberryhaven/mulberryhaven/internal/faker"
	"github.com/mulberryhaven/mulberryhaven/internal/launcher"
	"github.com/mulberryhaven/mulberryhaven/internal/listener"
	"github.com/mulberryhaven/mulberryhaven/internal/operator"
	"github.com/mulberryhaven/mulberryhaven/internal/relayer"
	"github.com/mulberryhaven/mulberryhaven/internal/responder"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// patience bounds every wait; it is far above what a loaded machine needs, so that only a system
	// that never gets there fails.
	patience = 90 * time.Second
	poll     = 50 * time.Millisecond
)

// binary is the program that the tests run.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "mulberryhaven-prover-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	if binary, err = launcher.Build(folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

var zones = []manager.AvailabilityZone{"tallinn-a", "tallinn-b", "tallinn-c"}

var services = []manager.ServiceID{"pricing", "ledger"}

// stand is a cluster with its stand-in platform, upstreams and callers.
type stand struct {
	t        testing.TB
	cluster  *launcher.Cluster
	platform *faker.Platform
	log      *responder.RunLog
	callers  *checker.Callers

	mu        sync.Mutex
	upstreams map[manager.VMID]*responder.Upstream
	relays    map[manager.VMID]*relayer.Relay
	leftAt    map[manager.VMID]time.Time
}

const vmsPerPool = 3

func fleet() manager.LoadFleet {
	f := manager.LoadFleet{Profiles: []manager.Profile{{
		Profile: "desk", Capacity: manager.Resources{ProcessorMilliCores: 16_000, MemoryMegaBytes: 32_768},
		Budget: manager.Budget{MaxUnavailable: 1},
		Wave:   manager.WaveRules{MaxAtOnce: 1, SettleMs: 100, DrainLimitMs: 60_000, Order: manager.WaveOrderName},
	}}}
	for _, s := range services {
		f.Pools = append(f.Pools, manager.Pool{Pool: manager.PoolID(s), Service: s, Profile: "desk"})
		for i := range vmsPerPool {
			f.VMs = append(f.VMs, manager.VM{
				VM: manager.VMID(fmt.Sprintf("%s-%d", s, i+1)), Pool: manager.PoolID(s),
				AvailabilityZone: zones[i], Rack: manager.RackID(fmt.Sprintf("rack-%d", i+1)),
				Capacity: f.Profiles[0].Capacity,
			})
		}
	}
	return f
}

func withTraces(c *launcher.Cluster) { c.Traces = true }

// startStand starts processes and upstreams and waits until every service answers at every gateway.
func startStand(tb testing.TB, controllers, gateways int, options ...func(*launcher.Cluster)) *stand {
	tb.Helper()
	s := &stand{
		t: tb, log: &responder.RunLog{}, upstreams: map[manager.VMID]*responder.Upstream{},
		relays: map[manager.VMID]*relayer.Relay{}, leftAt: map[manager.VMID]time.Time{},
	}
	clock := timekeeper.New()
	s.platform = &faker.Platform{Clock: clock, RebootTime: 200, Tenant: s}
	f := fleet()
	for _, v := range f.VMs {
		s.platform.Add(v)
	}
	s.cluster = &launcher.Cluster{
		Binary: binary, Folder: tb.TempDir(), Controllers: controllers, Gateways: gateways, Zones: zones, Fleet: f,
		Platform: s.servePlatform(clock),
	}
	for _, o := range options {
		o(s.cluster)
	}
	tb.Cleanup(s.close)
	require.NoError(tb, s.cluster.Start())
	for _, v := range f.VMs {
		s.startUpstream(v)
	}
	s.callers = &checker.Callers{
		Gateways: s.cluster.GatewayAddresses(), Services: services, Log: s.log, Pause: 10 * time.Millisecond, Deadline: 5_000,
	}
	s.await("every gateway answers for every service", s.allAnswer)
	return s
}

// servePlatform serves the fake platform over HTTP, as all controllers share it.
func (s *stand) servePlatform(clock manager.Clock) manager.Address {
	w := &faker.Worker{Clock: clock, RunTime: func(j manager.Job) manager.Duration { return j.DeclaredMs }}
	e := listener.NewEcho()
	faker.Routes(e, launcher.PlatformToken, s.platform, w)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { _ = server.Close() })
	return manager.Address(l.Addr().String())
}

// startUpstream starts the upstream of a VM behind a relay.
func (s *stand) startUpstream(v manager.VM) {
	relay := &relayer.Relay{}
	u := &responder.Upstream{
		Announcement: manager.Announcement{
			Upstream: manager.UpstreamID("upstream-" + v.VM), Incarnation: manager.Incarnation(time.Now().UnixNano()),
			Service: manager.ServiceID(v.Pool), Pool: v.Pool, VM: v.VM,
			AvailabilityZone: v.AvailabilityZone, Rack: v.Rack, Slots: 8, Connections: 64,
		},
		Gateways: s.cluster.GatewayAddresses(), Work: 5 * time.Millisecond, Period: 200, Log: s.log, Relay: relay,
	}
	require.NoError(s.t, u.Run())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams[v.VM] = u
	s.relays[v.VM] = relay
}

// Leave, Left and Return make the stand the tenant of the fake platform.
func (s *stand) Leave(v manager.VMID) {
	s.mu.Lock()
	s.leftAt[v] = time.Now()
	u := s.upstreams[v]
	s.mu.Unlock()
	u.Leave()
}

func (s *stand) Left(v manager.VMID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.leftAt[v]) > 3*time.Second && s.upstreams[v].InFlight() == 0
}

func (s *stand) Return(id manager.VMID, p manager.PoolID) {
	s.stopUpstream(id)
	for _, v := range fleet().VMs {
		if v.VM == id {
			v.Pool = p
			s.startUpstream(v)
		}
	}
}

func (s *stand) stopUpstream(v manager.VMID) {
	s.mu.Lock()
	u, r := s.upstreams[v], s.relays[v]
	s.mu.Unlock()
	u.Stop()
	r.Close()
}

func (s *stand) allAnswer() bool {
	for _, g := range s.cluster.GatewayAddresses() {
		for _, service := range services {
			if !answers(g, service) {
				return false
			}
		}
	}
	return true
}

var probe = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func answers(g manager.Address, service manager.ServiceID) bool {
	response, err := probe.Get(fmt.Sprintf("http://%s/services/%s/probe", g, service))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.Header.Get("Run-State") == string(manager.RunStateRan)
}

func (s *stand) await(what string, done func() bool) {
	s.t.Helper()
	require.Eventually(s.t, done, patience, poll, what)
}

// close stops everything and prints the logs of a failed test.
func (s *stand) close() {
	if s.callers != nil {
		s.callers.Stop()
	}
	if err := s.cluster.Close(); err != nil {
		s.t.Log(err)
	}
	s.mu.Lock()
	vms := make([]manager.VMID, 0, len(s.upstreams))
	for v := range s.upstreams {
		vms = append(vms, v)
	}
	s.mu.Unlock()
	for _, v := range vms {
		s.stopUpstream(v)
	}
	if s.t.Failed() {
		s.printLogs()
	}
}

func (s *stand) printLogs() {
	const tail = 20_000
	for node, p := range s.cluster.Processes {
		data, err := os.ReadFile(p.LogFile())
		if err != nil {
			continue
		}
		s.t.Logf("%s: …%s", node, data[max(0, len(data)-tail):])
	}
}

// finish ends the load and requires that nothing was violated and some requests ran.
func (s *stand) finish() checker.Summary {
	s.t.Helper()
	s.callers.Stop()
	seen := s.callers.Summary()
	require.Empty(s.t, seen.Violations)
	require.Positive(s.t, seen.States[manager.RunStateRan])
	s.t.Logf("answers %v, resends %d", seen.States, seen.Resends)
	return seen
}

func newChange() operator.Change {
	return operator.Change{CommandID: manager.CommandID(uuid.Must(uuid.NewV7()).String())}
}

// post sends an operator's change until it is answered; every resend carries the same id.
func (s *stand) post(gateway, path string, body, answer any) {
	s.t.Helper()
	var err error
	require.Eventually(s.t, func() bool {
		err = s.cluster.Operator(gateway).Post(s.t.Context(), path, body, answer)
		return err == nil || manager.IsErrConflict(err) || manager.IsErrInvalid(err)
	}, patience, poll)
	require.NoError(s.t, err)
}

func (s *stand) get(gateway, path string, answer any) error {
	return s.cluster.Operator(gateway).Get(s.t.Context(), path, answer)
}

// leader waits for a controller that leads.
func (s *stand) leader() string {
	s.t.Helper()
	var node string
	s.await("a controller leads", func() bool {
		node = s.cluster.Leader(s.t.Context())
		return node != ""
	})
	return node
}

// readRefusal sends a request and reads the refusal that it gets, if it gets one.
func readRefusal(g manager.Address, refusal *manager.Refusal) bool {
	response, err := probe.Get(fmt.Sprintf("http://%s/services/%s/probe", g, services[0]))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusServiceUnavailable && json.NewDecoder(response.Body).Decode(refusal) == nil
}
