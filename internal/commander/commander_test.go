package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExitCodes(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.json")
	require.NoError(t, os.WriteFile(broken, []byte(`{"Node": 7}`), 0o600))
	tests := []struct {
		name string
		args []string
		want int
		says string
	}{
		{"help", []string{"--help"}, ExitOK, ""},
		{"unknown command", []string{"fly"}, ExitUsage, "fly"},
		{"unknown flag", []string{"status", "--fast"}, ExitUsage, "--fast"},
		{"missing argument", []string{"wave", "status"}, ExitUsage, "accepts 1 arg"},
		{"missing flag", []string{"wave", "approve", "w1"}, ExitUsage, "plan-version"},
		{"missing settings", []string{"serve"}, ExitUsage, "config"},
		{"missing subject", []string{"explain"}, ExitUsage, "at least one of the flags"},
		{"wrong output", []string{"status", "--output", "xml"}, ExitUsage, "--output"},
		{"broken settings", []string{"config", "check", broken}, ExitUsage, "Node: expected string, found number"},
		{"good settings", []string{"config", "check", "../../configs/qirsh/gateway.json"}, ExitOK, ""},
		{"no gateway", []string{"status", "--gateway", "127.0.0.1:1"}, ExitFailure, "call gateway"},
		{"completion", []string{"completion", "bash"}, ExitOK, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			require.Equal(t, tt.want, Execute(tt.args, &out, &errOut), errOut.String())
			require.Contains(t, errOut.String(), tt.says)
		})
	}
}
