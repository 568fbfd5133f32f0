package commander

import (
	"os"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/assembler"
)

// A node whose replica had ended went on running, so that nothing restarted it while its group still counted on it.
func TestNodeEndsWhenAPartHasFailed(t *testing.T) {
	f := &assembler.FleetNode{Failed: make(chan error, 1)}
	failed := eris.New("the replica has ended")
	f.Failed <- failed
	removed, err := serveFleetNode("", f, make(chan os.Signal))
	require.ErrorIs(t, err, failed)
	require.False(t, removed)
}
