package retrier

import (
	"hash/fnv"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// minOutagePause is the least pause between two tries of a caller, as an election takes about as long.
	minOutagePause = 1 * manager.Second
	// minOutageShare and maxOutageShare limit the pause as a share of the outage so far. The callers that wait return
	// at different times, and the delay after the end of an outage stays below its length.
	minOutageShare = 0.25
	maxOutageShare = 0.75
	// budgetShare is the share of the caller's remaining time that a pause may take, so that another try fits.
	budgetShare = 0.5
)

// OutagePause returns how long a caller should wait that was refused while no leader answers. It is made for an outage
// of all replicas, whose length nobody knows: pauses grow with the outage, so that the tries of a caller last, and
// differ by caller, so that not all return at once. remaining is the time that the caller has left.
func OutagePause(outage, remaining manager.Duration, caller string) manager.Duration {
	share := minOutageShare + (maxOutageShare-minOutageShare)*fraction(caller)
	pause := min(share*float64(outage), budgetShare*float64(remaining))
	return max(minOutagePause, manager.Duration(pause))
}

// Spread returns a pause between two limits that differs by caller, so that callers refused together do not return together.
func Spread(least, most manager.Duration, caller string) manager.Duration {
	return least + manager.Duration(float64(most-least)*fraction(caller))
}

// fraction returns a number from 0 to 1 that differs by caller.
func fraction(caller string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(caller))
	// The high bits of the hash hardly depend on the last characters, which is where the names of callers differ.
	mixed := h.Sum64()
	mixed = (mixed ^ mixed>>33) * 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return float64(mixed) / float64(^uint64(0))
}
