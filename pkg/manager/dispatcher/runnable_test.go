package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// A job that no VM can run stays for ever and must not count as load.
func TestJobThatNoVMCanRunHoldsUpNoOther(t *testing.T) {
	for name, odd := range map[string]manager.GraphStep{
		"too large":     {Count: 4096, PerTask: manager.Resources{ProcessorMilliCores: manager.MaxResource}, EstimateMs: 900},
		"unknown label": {Count: 4096, PerTask: manager.Resources{ProcessorMilliCores: 1000}, EstimateMs: 9000, Requires: "x"},
	} {
		f := newFleet(t)
		f.worker("w1", pool, 4000)
		f.run(8 * manager.Second)
		f.sendListing(offVMs(1))
		f.platformOrders = nil
		f.submit("odd", odd)
		f.run(2 * manager.Second)
		call := f.submit("b", manager.GraphStep{Count: 1, PerTask: manager.Resources{ProcessorMilliCores: 1000}, EstimateMs: 900})
		f.run(200)
		require.NoError(t, f.answers[call].Err, name)
		f.run(4 * manager.Second)
		require.Equal(t, manager.GraphCompleted, f.jobState("b"), name)
		for _, order := range f.platformOrders {
			require.NotEqual(t, pool, order.Pool, "%s: a VM is switched on for a job that it can't run", name)
		}
	}
}

func TestJobWithAHugeEstimateHoldsUpNoOther(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", pool, 4000)
	f.run(8 * manager.Second)
	f.submit("odd", manager.GraphStep{Count: 1, PerTask: manager.Resources{ProcessorMilliCores: 1000}, EstimateMs: manager.MaxDuration})
	f.run(500)
	call := f.submit("b", manager.GraphStep{Count: 1, PerTask: manager.Resources{ProcessorMilliCores: 1000}, EstimateMs: 900})
	f.run(200)
	require.NoError(t, f.answers[call].Err)
}

func TestGangThatNoVMCanRunBlocksNoPool(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", pool, 4000)
	f.run(200)
	f.submit("odd", manager.GraphStep{Count: 2, Gang: true, PerTask: manager.Resources{ProcessorMilliCores: 1000}, EstimateMs: 900, Requires: "x"})
	f.run(1500)
	f.submit("b", manager.GraphStep{Count: 1, PerTask: manager.Resources{ProcessorMilliCores: 1000}, EstimateMs: 900})
	f.run(1800)
	require.Equal(t, manager.GraphCompleted, f.jobState("b"))
}
