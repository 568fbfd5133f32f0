package soaker

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/launcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// TestHangupDuringStartDoesNotEndProcess sends the signal to reload while the process waits for its settings.
func TestHangupDuringStartDoesNotEndProcess(t *testing.T) {
	t.Parallel()
	network, err := launcher.FreeNetwork()
	require.NoError(t, err)
	n := &Node{Address: network + ".11"}
	data, err := json.Marshal(configurer.FleetNode{
		Node: "node-1", AvailabilityZone: "z", Address: n.Address, PeerPort: portPeer, MetricsPort: portMetrics,
		Front: manager.Address(n.At(portFront)), Ready: manager.Address(n.At(portReady)), Control: manager.Address(n.At(portControl)),
		Seeds: []manager.Address{manager.Address(n.At(portControl))}, PlatformAddress: manager.Address(network + ".12:9086"),
		Stop: configurer.Stop{GraceMs: 2 * manager.Second},
		Work: configurer.FleetWork{MaxLeaseMs: 10 * manager.Second, StopMs: 900, DutyGapMs: manager.Second},
	})
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	p := exec.CommandContext(t.Context(), binary, "fleet", "--config", file)
	p.Stdout, p.Stderr = log, log
	require.NoError(t, p.Start())
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	const delivery = 100 * time.Millisecond
	time.Sleep(delivery)
	_, err = pipe.Write(data)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	isStarted := func() bool {
		lines, err := os.ReadFile(log.Name())
		return err == nil && strings.Contains(string(lines), manager.LogNodeStarted)
	}
	require.Eventually(t, isStarted, timeToRecover, delivery, "the process ended")
	require.NoError(t, p.Process.Signal(syscall.SIGKILL))
	_ = p.Wait()
	require.NoError(t, log.Close())
}
