package placer

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// maxStreak bounds the failed jobs remembered of a VM; fewer could not outweigh poison jobs.
	maxStreak = 16
	// soundFor is how long a success speaks for a VM.
	soundFor = 10 * manager.Minute
	// A failed job weighs on a VM by confirmedWeight if it then succeeded elsewhere, by plainWeight if it
	// has not been tried elsewhere, and not at all if it failed elsewhere, too. Plain weights together
	// count up to maxPlainWeight, as many poison jobs may come to one VM first.
	confirmedWeight = 2
	plainWeight     = 1
	maxPlainWeight  = 3
	// suspectWeight makes a VM take one idempotent job at a time, quarantineWeight bars it.
	suspectWeight    = 2
	quarantineWeight = 4
	// A VM that a job failed on weighs by soundEvidence if it is sound and by unknownEvidence if it has
	// no history; from poisonEvidence on the job is refused.
	soundEvidence   = 2
	unknownEvidence = 1
	poisonEvidence  = 6
	// maxFailures refuses a job that fails everywhere, whatever the VMs' history.
	maxFailures = 8
	// firstRetry and maxRetry bound the pause before a suspect VM gets another job, firstProbe and
	// maxProbe that before a quarantined one does; both double with each failure.
	firstRetry = 5 * manager.Second
	maxRetry   = 5 * manager.Minute
	firstProbe = 1 * manager.Minute
	maxProbe   = 30 * manager.Minute
)

// standing says what a VM may be given.
type standing int

const (
	// standingGood takes any job.
	standingGood standing = iota
	// standingDoubtful takes idempotent jobs only, as one has failed there.
	standingDoubtful
	// standingTrial takes one idempotent job that has not failed before.
	standingTrial
	// standingBarred takes none now.
	standingBarred
)

// record is what is known of a VM's successes and failures.
type record struct {
	// streak lists the jobs that failed since the last success.
	streak []manager.JobID
	// confirmed lists those of the streak that succeeded elsewhere.
	confirmed   []manager.JobID
	lastSuccess manager.Time
	lastFailure manager.Time
	// probes counts the failed probes of a quarantined VM.
	probes int
	// lostAt is when a lease last ended without a report, losses counts those since the last success.
	lostAt manager.Time
	losses int
	// quarantinedAt is when the VM was first seen quarantined.
	quarantinedAt manager.Time
}

// health tells workers that fail everything from jobs that fail everywhere.
type health struct {
	vms map[manager.VMID]*record
}

func newHealth() *health { return &health{vms: map[manager.VMID]*record{}} }

func (h *health) of(v manager.VMID) *record {
	r, ok := h.vms[v]
	if !ok {
		r = &record{}
		h.vms[v] = r
	}
	return r
}

func (h *health) succeeded(now manager.Time, j *manager.Job, v manager.VMID) {
	r := h.of(v)
	*r = record{lastSuccess: now, quarantinedAt: r.quarantinedAt}
	for _, other := range j.FailedOn {
		if other != v {
			h.confirm(other, j.Job)
		}
	}
}

func (h *health) confirm(v manager.VMID, j manager.JobID) {
	r := h.of(v)
	if slices.Contains(r.streak, j) && !slices.Contains(r.confirmed, j) {
		r.confirmed = append(r.confirmed, j)
	}
}

func (h *health) failed(now manager.Time, j manager.JobID, v manager.VMID, probe bool) {
	r := h.of(v)
	r.lastFailure = now
	if probe {
		r.probes++
	}
	if !slices.Contains(r.streak, j) && len(r.streak) < maxStreak {
		r.streak = append(r.streak, j)
	}
}

// lost notes a worker that was not heard until a lease ended.
func (h *health) lost(now manager.Time, v manager.VMID) {
	r := h.of(v)
	if now > r.lostAt {
		r.lostAt = now
		r.losses++
	}
}

// acquit takes a job that was refused off every VM's streak, as the fault was the job's.
func (h *health) acquit(j *manager.Job) {
	for _, v := range j.FailedOn {
		if r, ok := h.vms[v]; ok {
			r.streak = slices.DeleteFunc(r.streak, func(o manager.JobID) bool { return o == j.Job })
		}
	}
}

func (h *health) sound(now manager.Time, v manager.VMID) bool {
	r, ok := h.vms[v]
	return ok && r.lastSuccess > 0 && now.Sub(r.lastSuccess) <= soundFor && len(r.confirmed) < suspectWeight
}

// weight sums up the failures that speak against a VM, but for those of one job.
func (h *health) weight(v manager.VMID, but manager.JobID, failed map[manager.JobID]*manager.Job) int {
	r, ok := h.vms[v]
	if !ok {
		return 0
	}
	plain, confirmed := 0, 0
	for _, id := range r.streak {
		switch {
		case id == but:
		case slices.Contains(r.confirmed, id):
			confirmed += confirmedWeight
		case !h.failedElsewhere(v, failed[id]):
			plain += plainWeight
		}
	}
	return confirmed + min(plain, maxPlainWeight)
}

// failedElsewhere tells whether a job failed on another VM, too, that is not known to be bad.
func (h *health) failedElsewhere(v manager.VMID, j *manager.Job) bool {
	if j == nil {
		return false
	}
	return slices.ContainsFunc(j.FailedOn, func(o manager.VMID) bool {
		r, ok := h.vms[o]
		return o != v && ok && r.quarantinedAt == 0 && len(r.confirmed) < suspectWeight
	})
}

// judge sets the standing of each host and returns the quarantines to begin or lift.
func (h *health) judge(b *board) []manager.Command {
	failed := failedJobs(b.fleet)
	h.forget(b)
	spent := quarantineRoom(b)
	var commands []manager.Command
	for i := range b.hosts {
		on := &b.hosts[i]
		r, ok := h.vms[on.vm.VM]
		if !ok && !on.vm.Quarantined {
			if silent(b.now, on) {
				on.standing = standingBarred
			}
			continue
		}
		if on.vm.Quarantined {
			commands = append(commands, h.judgeQuarantined(b, on)...)
			continue
		}
		r.quarantinedAt = 0
		w := h.weight(on.vm.VM, "", failed)
		on.standing = h.standingOf(b.now, on, r, w)
		if silent(b.now, on) {
			on.standing = standingBarred
		}
		if w < quarantineWeight || len(r.streak) < suspectWeight {
			continue
		}
		on.standing = standingBarred
		if spent[on.vm.Pool] > 0 {
			spent[on.vm.Pool]--
			commands = append(commands, quarantine(b.now, on.vm.VM, true, quarantineReason(r)))
			continue
		}
		on.standing = h.trial(b.now, on, r.lastFailure.Add(backoff(firstRetry, maxRetry, len(r.streak)-1)))
	}
	return commands
}

func quarantineReason(r *record) string {
	return fmt.Sprintf("%d different jobs failed here in a row, %d of them succeeded elsewhere", len(r.streak), len(r.confirmed))
}

func quarantine(now manager.Time, v manager.VMID, on bool, reason string) manager.Command {
	return manager.Command{At: now, QuarantineVM: &manager.QuarantineVM{VM: v, Quarantined: on, Reason: reason}}
}

// silentAfter is the time without a report of a running task after which its VM gets no more tasks.
const silentAfter = 5 * manager.Second

// silent tells whether a VM runs a task of which nothing has been heard for some time.
func silent(now manager.Time, on *host) bool {
	for _, t := range on.tasks {
		heard := t.job.Lease.StartAt
		if t.task != nil {
			heard = t.task.heardAt
		}
		if now.Sub(heard) > silentAfter {
			return true
		}
	}
	return false
}

func (h *health) standingOf(now manager.Time, on *host, r *record, weight int) standing {
	switch {
	case r.losses > 0:
		return h.trial(now, on, r.lostAt.Add(backoff(firstRetry, maxRetry, r.losses)))
	case weight >= suspectWeight:
		return h.trial(now, on, r.lastFailure.Add(backoff(firstRetry, maxRetry, len(r.streak)-suspectWeight)))
	case weight > 0:
		return standingDoubtful
	default:
		return standingGood
	}
}

// trial lets one job at a time onto a VM after a pause.
func (h *health) trial(now manager.Time, on *host, from manager.Time) standing {
	if len(on.tasks) == 0 && now >= from {
		return standingTrial
	}
	return standingBarred
}

func (h *health) judgeQuarantined(b *board, on *host) []manager.Command {
	r := h.of(on.vm.VM)
	if r.quarantinedAt == 0 {
		r.quarantinedAt = b.now
	}
	if r.lastSuccess > r.quarantinedAt {
		r.quarantinedAt = 0
		return []manager.Command{quarantine(b.now, on.vm.VM, false, "")}
	}
	from := max(r.quarantinedAt, r.lastFailure).Add(backoff(firstProbe, maxProbe, r.probes))
	on.standing = h.trial(b.now, on, from)
	return nil
}

// backoff doubles first n times, up to most.
func backoff(first, most manager.Duration, n int) manager.Duration {
	for ; n > 0 && first < most; n-- {
		first *= 2
	}
	return min(first, most)
}

// quarantineRoom returns how many VMs of each pool may still be quarantined, as the state will check.
func quarantineRoom(b *board) map[manager.PoolID]int {
	size, spent := map[manager.PoolID]int{}, map[manager.PoolID]int{}
	for i := range b.hosts {
		v := b.hosts[i].vm
		size[v.Pool]++
		if v.Quarantined || !v.Available() {
			spent[v.Pool]++
		}
	}
	room := make(map[manager.PoolID]int, len(b.fleet.Pools))
	for _, p := range b.fleet.Pools {
		if r, ok := b.rules[p.Profile]; ok {
			room[p.Pool] = r.profile.Budget.Limit(size[p.Pool]) - spent[p.Pool]
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

// forget drops the records of VMs that the fleet no longer has.
func (h *health) forget(b *board) {
	if len(h.vms) <= len(b.hosts) {
		return
	}
	for v := range h.vms {
		if _, ok := b.index[v]; !ok {
			delete(h.vms, v)
		}
	}
}

// poison returns why a job that keeps failing is refused, or "".
func (h *health) poison(now manager.Time, j *manager.Job, failed map[manager.JobID]*manager.Job) string {
	evidence := 0
	for _, v := range j.FailedOn {
		switch {
		case h.weight(v, j.Job, failed) >= suspectWeight:
		case h.sound(now, v):
			evidence += soundEvidence
		default:
			evidence += unknownEvidence
		}
	}
	if evidence >= poisonEvidence {
		return fmt.Sprintf("failed on %d workers on which other jobs succeed: %s", len(j.FailedOn), j.Reason)
	}
	if j.Failures >= maxFailures {
		return fmt.Sprintf("failed %d times on %d workers: %s", j.Failures, len(j.FailedOn), j.Reason)
	}
	return ""
}

// rebuild reads the history that the state keeps after a change of leader.
func (h *health) rebuild(f manager.Fleet) {
	for _, j := range f.Jobs {
		if j.State == manager.JobDone && j.LastVM != "" {
			r := h.of(j.LastVM)
			r.lastSuccess = max(r.lastSuccess, j.FinishedAt)
		}
	}
	for _, j := range f.Jobs {
		for _, v := range j.FailedOn {
			if r := h.of(v); !j.State.Ended() && j.SubmittedAt >= r.lastSuccess {
				h.failed(f.Now, j.Job, v, false)
			}
		}
	}
}
