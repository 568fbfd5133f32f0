package placer

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// maxTrackedJobs bounds the failed jobs remembered for a VM; with fewer, poison jobs could hide a faulty VM.
	maxTrackedJobs = 16
	// healthyFor is how long a success is evidence that a VM is healthy.
	healthyFor = 10 * manager.Minute
	// A failed job counts against a VM with confirmedWeight if it later succeeded elsewhere, with
	// unconfirmedWeight if it has not failed elsewhere, and not at all if it also failed on another VM that is
	// not known to be faulty. The sum of the unconfirmed weights is limited to maxUnconfirmedWeight, because
	// many poison jobs may be tried on the same VM first.
	confirmedWeight      = 2
	unconfirmedWeight    = 1
	maxUnconfirmedWeight = 3
	// From suspectWeight on, a VM gets one idempotent job at a time; from quarantineWeight on, it is quarantined if
	// the availability budget allows.
	suspectWeight    = 2
	quarantineWeight = 4
	// A failure counts against its job with healthyEvidence if the VM is healthy, not at all if the VM is suspect,
	// and with unknownEvidence otherwise. From poisonEvidence on the job is refused.
	healthyEvidence = 2
	unknownEvidence = 1
	poisonEvidence  = 6
	// maxJobFailures is the number of failures after which a job is refused whatever the VMs' history.
	maxJobFailures = 8
	// firstRetry and maxRetry bound the delay before a suspect VM gets another job; firstProbe and maxProbe
	// bound that before a quarantined VM gets a probe. Both delays double with each failure.
	firstRetry = 5 * manager.Second
	maxRetry   = 5 * manager.Minute
	firstProbe = 1 * manager.Minute
	maxProbe   = 30 * manager.Minute
)

// eligibility is the set of jobs that a VM may get.
type eligibility int

const (
	// acceptAny accepts any job.
	acceptAny eligibility = iota
	// acceptIdempotent accepts only idempotent jobs, because a job has failed on the VM.
	acceptIdempotent
	// acceptTrial accepts one idempotent job that has not failed before.
	acceptTrial
	// acceptNone accepts no job for now.
	acceptNone
)

// vmHistory is the history of successes and failures on a VM.
type vmHistory struct {
	// failures lists the jobs that failed since the last success.
	failures []manager.JobID
	// confirmed lists those of failures that later succeeded elsewhere.
	confirmed   []manager.JobID
	lastSuccess manager.Time
	lastFailure manager.Time
	// failedProbes counts the failed probes while the VM is quarantined.
	failedProbes int
	// lostAt is when a lease last expired without a report; losses counts such times since the last success.
	lostAt manager.Time
	losses int
	// quarantinedAt is when the VM was first seen in quarantine.
	quarantinedAt manager.Time
}

// health tells faulty workers, on which every job fails, from poison jobs, which fail on every worker.
type health struct {
	vms map[manager.VMID]*vmHistory
}

func newHealth() *health { return &health{vms: map[manager.VMID]*vmHistory{}} }

func (wh *health) history(v manager.VMID) *vmHistory {
	r, ok := wh.vms[v]
	if !ok {
		r = &vmHistory{}
		wh.vms[v] = r
	}
	return r
}

func (wh *health) recordSuccess(now manager.Time, j *manager.Job, v manager.VMID) {
	r := wh.history(v)
	*r = vmHistory{lastSuccess: now, quarantinedAt: r.quarantinedAt}
	for _, other := range j.FailedOn {
		if other != v {
			wh.confirm(other, j.Job)
		}
	}
}

func (wh *health) confirm(v manager.VMID, j manager.JobID) {
	r := wh.history(v)
	if slices.Contains(r.failures, j) && !slices.Contains(r.confirmed, j) {
		r.confirmed = append(r.confirmed, j)
	}
}

func (wh *health) recordFailure(now manager.Time, j manager.JobID, v manager.VMID, probe bool) {
	r := wh.history(v)
	r.lastFailure = now
	if probe {
		r.failedProbes++
	}
	if !slices.Contains(r.failures, j) && len(r.failures) < maxTrackedJobs {
		r.failures = append(r.failures, j)
	}
}

// recordLoss records that a lease expired without a report from its worker.
func (wh *health) recordLoss(now manager.Time, v manager.VMID) {
	r := wh.history(v)
	if now > r.lostAt {
		r.lostAt = now
		r.losses++
	}
}

// clearJob removes a refused job from the failures of every VM, because the fault was the job's.
func (wh *health) clearJob(j *manager.Job) {
	for _, v := range j.FailedOn {
		if r, ok := wh.vms[v]; ok {
			r.failures = slices.DeleteFunc(r.failures, func(o manager.JobID) bool { return o == j.Job })
		}
	}
}

func (wh *health) healthy(now manager.Time, v manager.VMID) bool {
	r, ok := wh.vms[v]
	return ok && r.lastSuccess > 0 && now.Sub(r.lastSuccess) <= healthyFor && len(r.confirmed) < suspectWeight
}

// failureWeight returns the weighted sum of a VM's failures without those of one job.
func (wh *health) failureWeight(v manager.VMID, except manager.JobID, failed map[manager.JobID]*manager.Job) int {
	r, ok := wh.vms[v]
	if !ok {
		return 0
	}
	unconfirmed, confirmed := 0, 0
	for _, id := range r.failures {
		switch {
		case id == except:
		case slices.Contains(r.confirmed, id):
			confirmed += confirmedWeight
		case !wh.failedElsewhere(v, failed[id]):
			unconfirmed += unconfirmedWeight
		}
	}
	return confirmed + min(unconfirmed, maxUnconfirmedWeight)
}

// failedElsewhere reports whether a job has also failed on another VM that is not known to be faulty.
func (wh *health) failedElsewhere(v manager.VMID, j *manager.Job) bool {
	if j == nil {
		return false
	}
	return slices.ContainsFunc(j.FailedOn, func(o manager.VMID) bool {
		r, ok := wh.vms[o]
		return o != v && ok && r.quarantinedAt == 0 && len(r.confirmed) < suspectWeight
	})
}

// assess sets the eligibility of each host and returns the commands that begin or lift quarantines.
func (wh *health) assess(view *fleetView) []manager.Command {
	failed := failedJobs(view.fleet)
	wh.prune(view)
	quarantines := quarantineBudget(view)
	var commands []manager.Command
	for i := range view.hosts {
		h := &view.hosts[i]
		r, ok := wh.vms[h.vm.VM]
		if !ok && !h.vm.Quarantined {
			if reportOverdue(view.now, h) {
				h.eligibility = acceptNone
			}
			continue
		}
		if h.vm.Quarantined {
			commands = append(commands, wh.assessQuarantined(view, h)...)
			continue
		}
		r.quarantinedAt = 0
		w := wh.failureWeight(h.vm.VM, "", failed)
		h.eligibility = wh.eligibilityOf(view.now, h, r, w)
		if reportOverdue(view.now, h) {
			h.eligibility = acceptNone
		}
		if w < quarantineWeight || len(r.failures) < suspectWeight {
			continue
		}
		h.eligibility = acceptNone
		if quarantines[h.vm.Pool] > 0 {
			quarantines[h.vm.Pool]--
			commands = append(commands, quarantineCommand(view.now, h.vm.VM, true, quarantineReason(r)))
			continue
		}
		h.eligibility = wh.trialAfter(view.now, h, r.lastFailure.Add(backoff(firstRetry, maxRetry, len(r.failures)-1)))
	}
	return commands
}

func quarantineReason(r *vmHistory) string {
	return fmt.Sprintf("%d different jobs failed on this VM since its last success, %d of them succeeded elsewhere", len(r.failures), len(r.confirmed))
}

func quarantineCommand(now manager.Time, v manager.VMID, on bool, reason string) manager.Command {
	return manager.Command{At: now, QuarantineVM: &manager.QuarantineVM{VM: v, Quarantined: on, Reason: reason}}
}

// reportTimeout is the time without a report on a running task after which its VM gets no more tasks.
const reportTimeout = 5 * manager.Second

// reportOverdue reports whether a VM runs a task without a report for longer than reportTimeout.
func reportOverdue(now manager.Time, h *host) bool {
	for _, t := range h.tasks {
		last := t.job.Lease.StartAt
		if t.usage != nil {
			last = t.usage.reportedAt
		}
		if now.Sub(last) > reportTimeout {
			return true
		}
	}
	return false
}

func (wh *health) eligibilityOf(now manager.Time, h *host, r *vmHistory, weight int) eligibility {
	switch {
	case r.losses > 0:
		return wh.trialAfter(now, h, r.lostAt.Add(backoff(firstRetry, maxRetry, r.losses)))
	case weight >= suspectWeight:
		return wh.trialAfter(now, h, r.lastFailure.Add(backoff(firstRetry, maxRetry, len(r.failures)-suspectWeight)))
	case weight > 0:
		return acceptIdempotent
	default:
		return acceptAny
	}
}

// trialAfter lets an empty VM accept one trial job from the given time on.
func (wh *health) trialAfter(now manager.Time, h *host, from manager.Time) eligibility {
	if len(h.tasks) == 0 && now >= from {
		return acceptTrial
	}
	return acceptNone
}

func (wh *health) assessQuarantined(view *fleetView, h *host) []manager.Command {
	r := wh.history(h.vm.VM)
	if r.quarantinedAt == 0 {
		r.quarantinedAt = view.now
	}
	if r.lastSuccess > r.quarantinedAt {
		r.quarantinedAt = 0
		return []manager.Command{quarantineCommand(view.now, h.vm.VM, false, "")}
	}
	from := max(r.quarantinedAt, r.lastFailure).Add(backoff(firstProbe, maxProbe, r.failedProbes))
	h.eligibility = wh.trialAfter(view.now, h, from)
	return nil
}

// backoff returns first doubled n times, but at most most.
func backoff(first, most manager.Duration, n int) manager.Duration {
	for ; n > 0 && first < most; n-- {
		first *= 2
	}
	return min(first, most)
}

// quarantineBudget returns how many VMs of each pool may still be quarantined; the state machine checks the same.
func quarantineBudget(view *fleetView) map[manager.PoolID]int {
	size, unavailable := map[manager.PoolID]int{}, map[manager.PoolID]int{}
	for i := range view.hosts {
		v := view.hosts[i].vm
		size[v.Pool]++
		if v.Quarantined || !v.Available() {
			unavailable[v.Pool]++
		}
	}
	room := make(map[manager.PoolID]int, len(view.fleet.Pools))
	for _, p := range view.fleet.Pools {
		if r, ok := view.rules[p.Profile]; ok {
			room[p.Pool] = r.profile.Budget.Limit(size[p.Pool]) - unavailable[p.Pool]
		}
	}
	return room
}

func failedJobs(f manager.Fleet) map[manager.JobID]*manager.Job {
	failed := map[manager.JobID]*manager.Job{}
	for i := range f.Jobs {
		if j := &f.Jobs[i]; len(j.FailedOn) > 0 {
			failed[j.Job] = j
		}
	}
	return failed
}

// prune deletes the history of VMs that are no longer in the fleet.
func (wh *health) prune(view *fleetView) {
	if len(wh.vms) <= len(view.hosts) {
		return
	}
	for v := range wh.vms {
		if _, ok := view.index[v]; !ok {
			delete(wh.vms, v)
		}
	}
}

// poisonReason returns why a job that keeps failing is refused, or "" if it is not.
func (wh *health) poisonReason(now manager.Time, j *manager.Job, failed map[manager.JobID]*manager.Job) string {
	evidence := 0
	for _, v := range j.FailedOn {
		switch {
		case wh.failureWeight(v, j.Job, failed) >= suspectWeight:
		case wh.healthy(now, v):
			evidence += healthyEvidence
		default:
			evidence += unknownEvidence
		}
	}
	if evidence >= poisonEvidence {
		return fmt.Sprintf("failed on %d workers on which other jobs succeed: %s", len(j.FailedOn), j.Reason)
	}
	if j.Failures >= maxJobFailures {
		return fmt.Sprintf("failed %d times on %d workers: %s", j.Failures, len(j.FailedOn), j.Reason)
	}
	return ""
}

// rebuild restores the history from the state after a change of leader.
func (wh *health) rebuild(f manager.Fleet) {
	for _, j := range f.Jobs {
		if j.State == manager.JobDone && j.LastVM != "" {
			r := wh.history(j.LastVM)
			r.lastSuccess = max(r.lastSuccess, j.FinishedAt)
		}
	}
	for _, j := range f.Jobs {
		for _, v := range j.FailedOn {
			if r := wh.history(v); !j.State.Ended() && j.SubmittedAt >= r.lastSuccess {
				wh.recordFailure(f.Now, j.Job, v, false)
			}
		}
	}
}
