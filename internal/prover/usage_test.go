package prover

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/launcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// idleTime is how long a process is watched while upstreams announce themselves and nothing else happens.
const idleTime = 10 * time.Second

// BenchmarkProcess reports the memory and the share of a core of a gateway and of the leading
// controller of three, at sizes of the fleet.
func BenchmarkProcess(b *testing.B) {
	for _, size := range []int{60, 300, 1_500} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			for range b.N {
				watch(b, size)
			}
		})
	}
}

func watch(b *testing.B, size int) {
	b.Helper()
	c := &launcher.Cluster{
		Binary: binary, Folder: b.TempDir(), Controllers: 3, Gateways: 3, Zones: zones, Fleet: largeFleet(size),
	}
	require.NoError(b, c.Start())
	defer func() { require.NoError(b, c.Close()) }()
	require.Eventually(b, func() bool { return c.Leader(b.Context()) != "" }, patience, poll)
	announce(b, c, size, 1)
	gateway, leader := c.Processes[c.GatewayNames()[0]], c.Processes[c.Leader(b.Context())]
	before := []launcher.Usage{usage(b, gateway), usage(b, leader)}
	start := time.Now()
	for second := manager.Sequence(2); time.Since(start) < idleTime; second++ {
		next := time.Now().Add(time.Second)
		announce(b, c, size, second)
		time.Sleep(time.Until(next))
	}
	elapsed := time.Since(start)
	for i, p := range []*launcher.Process{gateway, leader} {
		after := usage(b, p)
		name := []string{"gateway", "leader"}[i]
		b.ReportMetric(float64(after.ResidentBytes)/(1<<20), name+"-MB")
		b.ReportMetric(100*float64(after.Processor-before[i].Processor)/float64(elapsed), name+"-%core")
	}
}

func usage(b *testing.B, p *launcher.Process) launcher.Usage {
	b.Helper()
	u, err := p.Usage()
	require.NoError(b, err)
	return u
}

func largeFleet(size int) manager.LoadFleet {
	f := fleet()
	f.VMs = nil
	for i := range size {
		f.VMs = append(f.VMs, manager.VM{
			VM: manager.VMID(fmt.Sprintf("vm-%d", i)), Pool: f.Pools[i%len(f.Pools)].Pool,
			AvailabilityZone: zones[i%len(zones)], Rack: manager.RackID(fmt.Sprintf("rack-%d", i/4)),
			Capacity: f.Profiles[0].Capacity,
		})
	}
	return f
}

// announce lets every upstream announce itself once, each to one of the gateways.
func announce(b *testing.B, c *launcher.Cluster, size int, n manager.Sequence) {
	b.Helper()
	gateways := c.GatewayAddresses()
	for i := range size {
		a := manager.Announcement{
			Upstream: manager.UpstreamID(fmt.Sprintf("upstream-%d", i)), Incarnation: 1, Sequence: n, Service: services[i%len(services)],
			VM: manager.VMID(fmt.Sprintf("vm-%d", i)), Address: manager.Address(fmt.Sprintf("127.0.0.1:%d", 10_000+i)),
			AvailabilityZone: zones[i%len(zones)], Slots: 8, Connections: 64, State: manager.UpstreamReady,
		}
		body, err := json.Marshal(a)
		require.NoError(b, err)
		response, err := http.Post("http://"+string(gateways[i%len(gateways)])+"/announce", "application/json", bytes.NewReader(body))
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(b, err)
		require.NoError(b, response.Body.Close())
		require.Equal(b, http.StatusOK, response.StatusCode)
	}
}
