package sharer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/sharer"
)

const customer = manager.CustomerID("c")

// A customer that sends ten times its weight gets its weight and the burst of one second, however it spreads its jobs.
func TestFloodGetsItsWeight(t *testing.T) {
	b := sharer.NewBuckets()
	taken := 0
	for ms := manager.Time(0); ms < 10_000; ms += 10 {
		if b.Take(ms, customer, 10) {
			taken++
		}
	}
	require.InDelta(t, 110, taken, 1)
}

func TestCustomersDontShareABucket(t *testing.T) {
	b := sharer.NewBuckets()
	for range 100 {
		b.Take(0, "flood", 5)
	}
	require.False(t, b.Take(0, "flood", 5))
	require.True(t, b.Take(0, customer, 5))
}

// A weight below one job per second must still let a job pass now and then.
func TestSmallWeightGetsAJobNowAndThen(t *testing.T) {
	b := sharer.NewBuckets()
	taken := 0
	for ms := manager.Time(0); ms < 20_000; ms += 100 {
		if b.Take(ms, customer, 0.25) {
			taken++
		}
	}
	require.InDelta(t, 6, taken, 1)
	require.False(t, b.Take(0, "none", 0))
}

func TestWeightThatChangesCountsAtOnce(t *testing.T) {
	b := sharer.NewBuckets()
	require.True(t, b.Take(0, customer, 100))
	require.True(t, b.Take(1, customer, 1))
	require.False(t, b.Take(2, customer, 1), "the saved burst of the former weight is still there")
}

// Callers that were refused at the same moment would all return at the same moment, and be refused again.
func TestRefusedCallersReturnOneByOne(t *testing.T) {
	b := sharer.NewBuckets()
	last := manager.Duration(0)
	for range 50 {
		pause := b.ReturnAfter(1000, customer, 20)
		require.Equal(t, last+50, pause)
		last = pause
	}
}
