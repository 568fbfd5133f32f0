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

// Reports of a pool with a backlog are answered at once, so that its workers report more often.
func TestJobThatNoVMCanRunIsNoBacklog(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 4000)
	f.run(2 * manager.Second)
	before := w.report.Sequence
	f.run(6 * manager.Second)
	idle := w.report.Sequence - before
	f.submit("odd", manager.GraphStep{Count: 2, PerTask: manager.Resources{ProcessorMilliCores: 8000}, EstimateMs: 900})
	f.submit("lasting", manager.GraphStep{Count: 2, LongRunning: true, PerTask: manager.Resources{ProcessorMilliCores: 1000}, Requires: "x"})
	f.run(500)
	before = w.report.Sequence
	f.run(6 * manager.Second)
	require.InDelta(t, float64(idle), float64(w.report.Sequence-before), 1)
}

func TestJobIsRunnableOnceAVMIsLargeEnough(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", pool, 4000)
	f.run(500)
	f.submit("large", manager.GraphStep{Count: 1, PerTask: manager.Resources{ProcessorMilliCores: 8000}, EstimateMs: 900})
	f.submit("labelled", manager.GraphStep{Count: 1, PerTask: manager.Resources{ProcessorMilliCores: 1000}, EstimateMs: 900, Requires: "x"})
	f.run(2 * manager.Second)
	w := f.worker("w2", pool, 8000)
	f.run(3 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("large"))
	w.report.Labels = []manager.Label{"x"}
	f.run(3 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("labelled"))
}
