package configurer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExamplesPass(t *testing.T) {
	files, err := filepath.Glob("../../configs/*/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		_, err := Read(file)
		require.NoError(t, err, file)
	}
}

func TestErrorsNameTheField(t *testing.T) {
	data, err := os.ReadFile("../../configs/cathode/controller-and-gateway.json")
	require.NoError(t, err)
	tests := []struct{ name, from, to, want string }{
		{"unknown field", `"Node"`, `"Nod"`, `unknown field "Nod"`},
		{"missing field", `"entry-1"`, `""`, "Node: is missing"},
		{"wrong type", `"entry-1"`, `7`, "Node: expected string, found number"},
		{"wrong service", `"gateway"`, `"gate"`, `Services[1]: is "gate": expected "gateway" or "controller"`},
		{"contradiction", `"Services": [` + "\n    \"controller\",", `"Services": [`, `Controller: is set but Services does not name "controller"`},
		{"equal tokens", `change-me-cathode-peer`, `change-me-cathode-operator`, "Tokens.Peer: equals Tokens.Operator"},
		{"bad address", `"Address": "10.10.0.1:8080"`, `"Address": "entry"`, "Gateway.Address"},
		{"fleet", `"Order": "rack"`, `"Order": "size"`, "Controller.Fleet.Profiles[0].Wave.Order"},
		{"exporter", `"Exporter": "none"`, `"Exporter": "udp"`, `Trace.Exporter: is "udp"`},
		{"two replicas", `"Replica": 1,`, `"Replica": 9,`, "Controller.Replica: is 9"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Contains(t, string(data), tt.from)
			_, err := Parse([]byte(strings.Replace(string(data), tt.from, tt.to, 1)))
			require.ErrorContains(t, err, tt.want)
		})
	}
	_, err = Parse(append(data, "{}"...))
	require.ErrorIs(t, err, errTrailing)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Node":"a"}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse(data)
	})
}
