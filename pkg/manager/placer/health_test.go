package placer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// history feeds the failures of a job on three VMs on which n other jobs failed before, and then
// succeeded elsewhere if confirmed is set, and returns the verdict on the job.
func history(n int, confirmed bool) string {
	h := newHealth()
	failed := map[manager.JobID]*manager.Job{}
	j := &manager.Job{Job: "suspect", Failures: 3, Reason: "exit status 1"}
	for v := range 3 {
		vm := manager.VMID(fmt.Sprintf("vm-%d", v))
		h.succeeded(1_000, &manager.Job{Job: "early"}, vm)
		for i := range n {
			victim := manager.JobID(fmt.Sprintf("victim-%d-%d", v, i))
			h.failed(2_000, victim, vm, false)
			if confirmed {
				h.succeeded(3_000, &manager.Job{Job: victim, FailedOn: []manager.VMID{vm}}, "vm-good")
			}
		}
		h.failed(4_000, j.Job, vm, false)
		j.FailedOn = append(j.FailedOn, vm)
	}
	failed[j.Job] = j
	return h.poison(5_000, j, failed)
}

func TestBadWorkersDoNotCondemnJob(t *testing.T) {
	require.Contains(t, history(0, false), "failed on 3 workers")
	require.Empty(t, history(2, false), "three suspect workers say nothing of the job")
	require.Empty(t, history(2, true), "three bad workers say nothing of the job")
}

func TestRunningTaskWarnsItsFamily(t *testing.T) {
	l := newLearner()
	j := manager.Job{Job: "report-1", Profile: "cathode", Class: "batch", Team: "desk", Declared: manager.Resources{ProcessorMilliCores: 1_000, MemoryMegaBytes: 1_000}, DeclaredMs: 1_000}
	for range familySamples {
		l.learn(j, manager.Resources{ProcessorMilliCores: 500, MemoryMegaBytes: 500}, 1_000)
	}
	require.Equal(t, manager.MegaBytes(575), l.size(j).MemoryMegaBytes, "what was used and the headroom")
	l.warn(j, 900)
	require.Equal(t, manager.MegaBytes(1_000), l.size(j).MemoryMegaBytes, "no more than declared while that is enough")
	l.warn(j, 1_200)
	require.Equal(t, manager.MegaBytes(1_380), l.size(j).MemoryMegaBytes)
	for range samplesKept {
		l.learn(j, manager.Resources{ProcessorMilliCores: 10, MemoryMegaBytes: 10}, 1_000)
	}
	require.Equal(t, manager.MinReservation(j.Declared), l.size(j), "never below the bounded overcommit")
}
