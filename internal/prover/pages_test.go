package prover

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// shellBlock is a block of commands that a page says run as written.
var shellBlock = regexp.MustCompile("(?s)```sh\n(.*?)```")

// output collects what the demo prints.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

var (
	gatewayLine = regexp.MustCompile(`gateway: http://(\S+) \(operators' token: (\S+)\)`)
	holdingLine = "holding until interrupted"
)

func TestPagesRunAsWritten(t *testing.T) {
	t.Parallel()
	demo := exec.CommandContext(t.Context(), binary, "demo", "--hold")
	out := &output{}
	demo.Stdout, demo.Stderr = out, out
	require.NoError(t, demo.Start())
	require.Eventually(t, func() bool { return strings.Contains(out.String(), holdingLine) }, patience, poll)
	found := gatewayLine.FindStringSubmatch(out.String())
	require.NotNil(t, found, out.String())
	environment := append(os.Environ(),
		"G="+found[1], "T="+found[2], "MULBERRYHAVEN_GATEWAY="+found[1], "MULBERRYHAVEN_TOKEN="+found[2],
		"PATH="+filepath.Dir(binary)+":"+os.Getenv("PATH"))
	for _, page := range []string{"API.md", "OPERATIONS.md"} {
		runPage(t, page, environment)
	}
	require.NoError(t, demo.Process.Signal(syscall.SIGTERM))
	require.NoError(t, demo.Wait(), out.String())
}

func runPage(t *testing.T, page string, environment []string) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("../../docs", page))
	require.NoError(t, err)
	blocks := shellBlock.FindAllStringSubmatch(string(data), -1)
	require.NotEmpty(t, blocks)
	folder := t.TempDir()
	for _, block := range blocks {
		cmd := exec.CommandContext(context.Background(), "bash", "-c", "set -euo pipefail\n"+block[1])
		cmd.Dir, cmd.Env = folder, environment
		result, err := cmd.CombinedOutput()
		require.NoError(t, err, "%s:\n%s\n%s", page, block[1], result)
	}
}

// TestOperationsPageNamesEverything finds refusals and metrics that the operators' page leaves out.
func TestOperationsPageNamesEverything(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	sources := map[string]*regexp.Regexp{
		"../../pkg/manager/request.go": regexp.MustCompile(`RefusalCode\s*= "(\w+)"`),
		"../meter/meter.go":            regexp.MustCompile(`(mulberryhaven_\w+)`),
	}
	for file, pattern := range sources {
		source, err := os.ReadFile(file)
		require.NoError(t, err)
		names := pattern.FindAllStringSubmatch(string(source), -1)
		require.NotEmpty(t, names, file)
		for _, name := range names {
			require.Contains(t, string(page), "`"+name[1], "%s is not on the page", name[1])
		}
	}
}
