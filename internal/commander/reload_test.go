package commander

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/assembler"
	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/internal/launcher"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// A node that starts again after its replica was removed, or while its settings change, must ask the seeds of the file.
func TestNodeAsksSeedsThatChangedBeforeItStarted(t *testing.T) {
	const port = 9081
	network, err := launcher.FreeNetwork()
	require.NoError(t, err)
	at := func(host, port int) manager.Address {
		return manager.Address(fmt.Sprintf("%s.%d:%d", network, host, port))
	}
	var asked atomic.Bool
	l, err := net.Listen("tcp", string(at(13, port)))
	require.NoError(t, err)
	seed := &httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Store(true)
		_ = json.NewEncoder(w).Encode(finder.View{})
	})}}
	seed.Start()
	defer seed.Close()

	s := configurer.FleetNode{
		Node: "node-1", AvailabilityZone: "z", Address: network + ".11", PeerPort: port, MetricsPort: 9085,
		Front: at(11, 9082), Ready: at(11, 9083), Control: at(11, 9084), Seeds: []manager.Address{at(12, 9084)},
		PlatformAddress: at(14, 9086), Stop: configurer.Stop{GraceMs: 2 * manager.Second},
		Work: configurer.FleetWork{MaxLeaseMs: 10 * manager.Second, StopMs: 900, DutyGapMs: manager.Second},
	}
	require.NoError(t, s.Validate())
	changed := s
	changed.Seeds = []manager.Address{at(13, 9084)}
	data, err := json.Marshal(changed)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, data, 0o600))

	f := &assembler.FleetNode{Clock: timekeeper.NewBoot(), Seed: 1}
	require.NoError(t, f.Start(s))
	signals := make(chan os.Signal, 1)
	done := make(chan error, 1)
	go func() {
		_, err := serveFleetNode(file, f, signals)
		done <- err
	}()
	const patience = 4 * time.Second
	ok := waitFor(patience, asked.Load)
	signals <- syscall.SIGTERM
	require.NoError(t, <-done)
	require.NoError(t, f.Stop())
	require.True(t, ok, "the new seed was not asked")
}

func waitFor(patience time.Duration, ok func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
