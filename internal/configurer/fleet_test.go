package configurer_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const fleetExample = "../../deploy/settings.example.json"

func TestFleetExampleIsValid(t *testing.T) {
	s, err := configurer.ReadFleetNode(fleetExample)
	require.NoError(t, err)
	require.Equal(t, manager.Address("10.1.0.9:7060"), s.Peer())
	require.Equal(t, []manager.Address{"10.1.0.9:7060", "10.2.0.23:7060", "10.3.0.41:7060"}, s.SeedPeers())
}

func TestWrongFleetSettingsNameTheField(t *testing.T) {
	data, err := os.ReadFile(fleetExample)
	require.NoError(t, err)
	for _, c := range []struct{ old, broken, field string }{
		{`"Node": "entry-1"`, `"Node": ""`, "Node"},
		{`"Address": "10.1.0.9"`, `"Address": "entry"`, "Address"},
		{`"PeerPort": 7060`, `"PeerPort": 0`, "PeerPort"},
		{`"Front": "10.1.0.9:8624"`, `"Front": "10.1.0.9"`, "Front"},
		{`"10.2.0.23:8623"`, `"seed"`, "Seeds[1]"},
		{`"StopMs": 900`, `"StopMs": 0`, "Work"},
		{`"Found": true`, `"Found": true, "Typo": 1`, "Typo"},
	} {
		require.Contains(t, string(data), c.old)
		file := filepath.Join(t.TempDir(), "settings.json")
		require.NoError(t, os.WriteFile(file, []byte(strings.Replace(string(data), c.old, c.broken, 1)), 0o600))
		_, err := configurer.ReadFleetNode(file)
		require.ErrorContains(t, err, c.field)
	}
}
