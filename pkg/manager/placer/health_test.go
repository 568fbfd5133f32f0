package placer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// poisonVerdict records failures of a job on three VMs on which n other jobs failed before, and which succeeded
// elsewhere if confirmed is set. It returns the reason to refuse the job, if any.
func poisonVerdict(n int, confirmed bool) string {
	history := newHealth()
	failed := map[manager.JobID]*manager.Job{}
	j := &manager.Job{Job: "suspect", Failures: 3, Reason: "exit status 1"}
	for v := range 3 {
		vm := manager.VMID(fmt.Sprintf("vm-%d", v))
		history.recordSuccess(1_000, &manager.Job{Job: "early"}, vm)
		for i := range n {
			victim := manager.JobID(fmt.Sprintf("victim-%d-%d", v, i))
			history.recordFailure(2_000, victim, vm, false)
			if confirmed {
				history.recordSuccess(3_000, &manager.Job{Job: victim, FailedOn: []manager.VMID{vm}}, "vm-good")
			}
		}
		history.recordFailure(4_000, j.Job, vm, false)
		j.FailedOn = append(j.FailedOn, vm)
	}
	failed[j.Job] = j
	return history.poisonReason(5_000, j, failed)
}

func TestFailuresOnFaultyWorkersDoNotPoisonJob(t *testing.T) {
	require.Contains(t, poisonVerdict(0, false), "failed on 3 workers")
	require.Empty(t, poisonVerdict(2, false), "failures on three suspect workers are no evidence against the job")
	require.Empty(t, poisonVerdict(2, true), "failures on three faulty workers are no evidence against the job")
}

func TestRunningTaskRaisesFamilyReservation(t *testing.T) {
	e := newEstimator()
	j := manager.Job{Job: "report-1", Profile: "cathode", Class: "batch", Team: "desk", Declared: manager.Resources{ProcessorMilliCores: 1_000, MemoryMegaBytes: 1_000}, DeclaredMs: 1_000}
	for range minFamilySamples {
		e.record(j, manager.Resources{ProcessorMilliCores: 500, MemoryMegaBytes: 500}, 1_000)
	}
	require.Equal(t, manager.MegaBytes(575), e.reservation(j).MemoryMegaBytes, "the usage plus the headroom")
	e.raiseFloor(j, 900)
	require.Equal(t, manager.MegaBytes(1_000), e.reservation(j).MemoryMegaBytes, "not more than declared while usage is below it")
	e.raiseFloor(j, 1_200)
	require.Equal(t, manager.MegaBytes(1_380), e.reservation(j).MemoryMegaBytes)
	for range maxSamples {
		e.record(j, manager.Resources{ProcessorMilliCores: 10, MemoryMegaBytes: 10}, 1_000)
	}
	require.Equal(t, manager.MinReservation(j.Declared), e.reservation(j), "not below the minimum of the bounded overcommit")
}
