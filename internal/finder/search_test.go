package finder_test

import (
	"bytes"
	"context"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// captureLog returns what the function logs.
func captureLog(t *testing.T, f func()) string {
	t.Helper()
	var out bytes.Buffer
	flags := flag.NewFlagSet("klog", flag.PanicOnError)
	klog.InitFlags(flags)
	require.NoError(t, flags.Set("logtostderr", "false"))
	klog.SetOutput(&out)
	defer func() {
		klog.SetOutput(os.Stderr)
		require.NoError(t, flags.Set("logtostderr", "true"))
	}()
	f()
	klog.Flush()
	return out.String()
}

// A search without a leader names whom it asked, once in five seconds.
func TestFailedSearchIsLoggedWithinBounds(t *testing.T) {
	clock := &manager.ManualClock{At: 100_000}
	other := newFinder(clock)
	other.Own = serveView(t, other)
	const unreached = "127.0.0.1:1"
	node := newFinder(clock, other.Own, unreached)
	node.Own = "127.0.0.1:2"
	lines := captureLog(t, func() {
		for range 12 {
			node.Update(context.Background())
			clock.Advance(700 * manager.Millisecond)
		}
	})
	require.Equal(t, 2, strings.Count(lines, manager.LogLeaderNotFound), lines)
	require.Contains(t, lines, `Unreached=["127.0.0.1:1"]`)
	require.Contains(t, lines, `Unaware=["`+string(other.Own)+`"]`)

	other.Local = func() (finder.View, bool) { return finder.View{Term: 1, Leader: other.Own}, true }
	require.NotContains(t, captureLog(t, func() { node.Update(context.Background()) }), manager.LogLeaderNotFound)
}

// A search that only brings this node's own name, as after a restart of the leader, has found none.
func TestSearchThatFindsOnlyThisNodeIsLogged(t *testing.T) {
	clock := &manager.ManualClock{At: 100_000}
	node := newFinder(clock)
	other := newFinder(clock)
	other.Own = serveView(t, other)
	other.Local = func() (finder.View, bool) { return finder.View{Term: 3, Leader: node.Own}, true }
	node.Seeds = func() []manager.Address { return []manager.Address{other.Own} }
	lines := captureLog(t, func() {
		for range 12 {
			node.Update(context.Background())
			clock.Advance(700 * manager.Millisecond)
		}
	})
	require.Empty(t, node.View().Leader)
	require.Contains(t, lines, manager.LogLeaderNotFound)
}
