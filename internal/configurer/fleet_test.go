package configurer_test

import (
	"math"
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
		{`"RemoteFactor": 1.5`, `"RemoteFactor": -0.5`, "Work.RemoteFactor"},
		{`"RemoteFactor": 1.5`, `"RemoteFactor": 1e999`, "Work.RemoteFactor"},
		{`"Found": true`, `"Found": true, "Typo": 1`, "Typo"},
	} {
		require.Contains(t, string(data), c.old)
		file := filepath.Join(t.TempDir(), "settings.json")
		require.NoError(t, os.WriteFile(file, []byte(strings.Replace(string(data), c.old, c.broken, 1)), 0o600))
		_, err := configurer.ReadFleetNode(file)
		require.ErrorContains(t, err, c.field)
	}
}

// Guards against a setting that is neither checked for what JSON can't hold, nor optional.
func TestRemoteFactor(t *testing.T) {
	s, err := configurer.ReadFleetNode(fleetExample)
	require.NoError(t, err)
	for _, f := range []float64{0, 0.5, 1, 3} {
		s.Work.RemoteFactor = f
		require.NoError(t, s.Validate())
	}
	for _, f := range []float64{-1, math.Inf(1), math.Inf(-1), math.NaN()} {
		s.Work.RemoteFactor = f
		require.ErrorContains(t, s.Validate(), "Work.RemoteFactor")
	}
}

// fleetWith writes the example with other seeds and returns its file.
func fleetWith(t *testing.T, seeds, found string) string {
	t.Helper()
	data, err := os.ReadFile(fleetExample)
	require.NoError(t, err)
	text := strings.Replace(string(data), `["10.1.0.9:8623", "10.2.0.23:8623", "10.3.0.41:8623"]`, seeds, 1)
	text = strings.Replace(text, `"Found": true`, `"Found": `+found, 1)
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestOddSeedCostsOnlyItself(t *testing.T) {
	for _, c := range []struct {
		seed string
		peer manager.Address
	}{
		{`"10.2.0.23:86230"`, "10.2.0.23:7060"},
		{`"10.2.0.23:-1"`, "10.2.0.23:7060"},
		{`"10.2.0.23:0"`, "10.2.0.23:7060"},
		{`"10.2.0.23"`, "10.2.0.23:7060"},
		{`"seed:8623"`, ""},
		{`"10.2.0.230000:8623"`, ""},
		{`""`, ""},
		{`"` + strings.Repeat("[", 100_000) + `"`, ""},
		{`"` + strings.Repeat("9", 100_000) + `:8623"`, ""},
	} {
		name := c.seed[:min(len(c.seed), 30)]
		want := []manager.Address{"10.1.0.9:7060"}
		if c.peer != "" {
			want = append(want, c.peer)
		}
		want = append(want, "10.3.0.41:7060")
		file := fleetWith(t, `["10.1.0.9:8623", `+c.seed+`, "10.3.0.41:8623"]`, "false")
		s, err := configurer.ReadFleetNode(file)
		require.NoError(t, err, name)
		require.Equal(t, want, s.SeedPeers(), name)
		unusable := s.UnusableSeeds()
		require.Equal(t, c.peer == "", len(unusable) == 1, name)
	}
}

// Replicas that found their group from different lists would form two groups.
func TestGroupIsNotFoundedWithoutAllSeeds(t *testing.T) {
	file := fleetWith(t, `["10.1.0.9:8623", "seed:8623", "10.3.0.41:8623"]`, "true")
	_, err := configurer.ReadFleetNode(file)
	require.ErrorContains(t, err, "Seeds[1]")
	s, err := configurer.ReloadFleetNode(file)
	require.NoError(t, err, "a process that runs has nothing to found")
	require.Equal(t, []manager.Address{"10.1.0.9:7060", "10.3.0.41:7060"}, s.SeedPeers())
	for _, found := range []string{"true", "false"} {
		_, err := configurer.ReadFleetNode(fleetWith(t, `["seed:8623"]`, found))
		require.ErrorContains(t, err, "Seeds")
	}
}
