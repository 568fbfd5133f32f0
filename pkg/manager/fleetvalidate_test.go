package manager

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A body of 4 MiB can hold 1.3 million empty keys; a list of their errors takes 110 MB.
func TestValidateMakesOneErrorOnly(t *testing.T) {
	c := &FleetConfiguration{Version: 1, Customers: []CustomerSettings{{Customer: "a", Keys: make([]KeyDigest, 100_000)}}}
	n := 0
	for range c.Errors() {
		n++
	}
	require.Equal(t, 100_000, n)
	require.Equal(t, ErrInvalid{Field: "Customers[0].Keys[0]", Reason: "is empty"}, c.Validate())
	require.Less(t, testing.AllocsPerRun(10, func() { _ = c.Validate() }), 50.0)
}
