package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func TestRepeatedFailureIsLoggedOnceInAPeriod(t *testing.T) {
	var f failureNotes
	lines, skipped := 0, 0
	for now := manager.Time(0); now < manager.Time(10*manager.Minute); now = now.Add(300) {
		if n, ok := f.failed(now); ok {
			lines, skipped = lines+1, skipped+n
		}
	}
	require.Equal(t, 10, lines)
	require.Equal(t, 2000-10-199, skipped)
	f.succeeded()
	_, ok := f.failed(manager.Time(10*manager.Minute) + 1)
	require.True(t, ok, "the first failure after a success")
}
