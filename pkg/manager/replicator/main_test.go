package replicator_test

import (
	"flag"
	"testing"
)

// TestMain fixes rapid's seed, so that every run checks the same cases unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	m.Run()
}
