package assembler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// A log whose size does not depend on the disk filled a small one, and takes long to read on a large one.
func TestLogTakesAShareOfTheDisk(t *testing.T) {
	t.Parallel()
	for disk, want := range map[int64]int64{0: 0, 64: 8 << 20, 128: 16 << 20, 256: 32 << 20, 100_000: 32 << 20} {
		require.Equal(t, want, snapshotBytes(disk), disk)
	}
}

// Guards against a replicated state that outgrows the memory or the disk of its VM.
func TestStateTakesAShareOfMemoryAndDisk(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ memory, disk, limit int64 }{
		{284, 128, 32 << 20}, {200, 128, 25 << 20}, {284, 64, 16 << 20}, {0, 0, dispatcher.DefaultStateBytes}, {64_000, 64_000, dispatcher.DefaultStateBytes},
	} {
		require.Equal(t, c.limit, stateBytes(c.memory, c.disk), "%d MB of memory, %d MB of disk", c.memory, c.disk)
	}
}
