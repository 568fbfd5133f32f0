package launcher

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start runs a shell script as a process.
func start(t *testing.T, script string) *Process {
	t.Helper()
	folder := t.TempDir()
	file := filepath.Join(folder, "script")
	require.NoError(t, os.WriteFile(file, []byte(script), fileMode))
	p := &Process{Binary: "/bin/sh", Folder: folder, Node: "node", Command: file}
	require.NoError(t, p.Start())
	t.Cleanup(func() { _ = p.Kill() })
	return p
}

func (p *Process) logged(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile(p.LogFile())
	require.NoError(t, err)
	return string(data)
}

func TestLogIsComplete(t *testing.T) {
	const lines = 20_000
	p := start(t, fmt.Sprintf("i=0; while [ $i -lt %d ]; do i=$((i+1)); echo line $i; done; echo end >&2", lines))
	require.NoError(t, p.Wait())
	var want strings.Builder
	for i := range lines {
		fmt.Fprintf(&want, "line %d\n", i+1)
	}
	require.Equal(t, want.String()+"end\n", p.logged(t))
}

func TestLogOfKilledProcessIsComplete(t *testing.T) {
	p := start(t, "i=0; while [ $i -lt 5000 ]; do i=$((i+1)); echo line $i; done; touch \"$0.done\"; while true; do sleep 0.01; done")
	written := func() bool {
		_, err := os.Stat(filepath.Join(p.Folder, "script.done"))
		return err == nil
	}
	require.Eventually(t, written, 30*time.Second, 10*time.Millisecond)
	require.NoError(t, p.Kill())
	require.True(t, strings.HasSuffix(p.logged(t), "line 5000\n"))
}

func TestRefusedWritesFailAndTheLogGoesOn(t *testing.T) {
	p := start(t, `trap "" XFSZ
while true; do if printf x 2>/dev/null >>"$0.data"; then echo written; else echo refused; fi; sleep 0.01; done`)
	count := func(line string) int { return strings.Count(p.logged(t), line+"\n") }
	grows := func(line string) {
		before := count(line)
		require.Eventually(t, func() bool { return count(line) > before+2 }, 30*time.Second, 10*time.Millisecond, line)
	}
	grows("written")
	require.NoError(t, p.RefuseWrites())
	grows("refused")
	require.NoError(t, p.AllowWrites())
	grows("written")
	require.NoError(t, p.Kill())
}
