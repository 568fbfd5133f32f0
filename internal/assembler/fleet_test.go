package assembler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A log whose size does not depend on the disk filled a small one, and takes long to read on a large one.
func TestLogTakesAShareOfTheDisk(t *testing.T) {
	t.Parallel()
	for disk, want := range map[int64]int64{0: 0, 64: 8 << 20, 128: 16 << 20, 256: 32 << 20, 100_000: 32 << 20} {
		require.Equal(t, want, snapshotBytes(disk), disk)
	}
}
