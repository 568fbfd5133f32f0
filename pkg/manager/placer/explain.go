package placer

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// candidateCounts counts the VMs that are large enough for a job by the rule that keeps the job from starting there.
type candidateCounts struct {
	largeEnough int
	unavailable int
	quarantined int
	failed      int
	spreadFull  int
	noRoom      int
	stopping    int
	ready       int
}

// Explain returns the rule that keeps a job from running.
func (p *Adaptive) Explain(now manager.Time, f manager.Fleet, id manager.JobID) manager.JobExplanation {
	p.init()
	for i := range f.Jobs {
		if j := &f.Jobs[i]; j.Job == id {
			return p.explain(now, f, j)
		}
	}
	return manager.JobExplanation{}
}

func (p *Adaptive) explain(now manager.Time, f manager.Fleet, j *manager.Job) manager.JobExplanation {
	if j.Lease != nil {
		return explainLease(j)
	}
	if !waiting(j) {
		return manager.JobExplanation{}
	}
	view := newFleetView(now, f, p.usage)
	p.health.assess(view)
	need := p.estimator.reservation(*j)
	if !view.withinQuota(j, need) {
		used := view.teams[teamKey{profile: j.Profile, team: j.Team}]
		return manager.JobExplanation{Rule: manager.JobRuleQuota, Awaits: fmt.Sprintf(
			"the end of other jobs of team %s, which use %s of its quota of %s; the job needs %s",
			j.Team, formatResources(used), formatResources(view.rulesOf(j).quotas[j.Team]), formatResources(need))}
	}
	var n candidateCounts
	for i := range view.hosts {
		n.count(view, &view.hosts[i], j, need)
	}
	return n.explanation(j, need)
}

func explainLease(j *manager.Job) manager.JobExplanation {
	l := j.Lease
	switch l.Order {
	case manager.TaskCheckpoint:
		return manager.JobExplanation{Rule: manager.JobRuleCheckpoint, Awaits: fmt.Sprintf("its checkpoint on VM %s", l.VM)}
	case manager.TaskStop:
		return manager.JobExplanation{Rule: manager.JobRuleCheckpoint, Awaits: fmt.Sprintf("its stop on VM %s", l.VM)}
	case manager.TaskThrottle:
		return manager.JobExplanation{Rule: manager.JobRuleNoRoom, Awaits: fmt.Sprintf("memory on VM %s; the task is throttled until then", l.VM)}
	case manager.TaskRun:
	}
	return manager.JobExplanation{}
}

func (n *candidateCounts) count(view *fleetView, h *host, j *manager.Job, need manager.Resources) {
	if (j.Pool != "" && h.vm.Pool != j.Pool) || !h.vm.Capacity.Fits(need) {
		return
	}
	n.largeEnough++
	switch {
	case !h.vm.Available():
		n.unavailable++
	case h.vm.Quarantined:
		n.quarantined++
	case !accepts(h, j):
		n.failed++
	case !view.withinSpread(j, h.vm):
		n.spreadFull++
	case h.free.Fits(need):
		n.ready++
	case roomAfterStops(h).Fits(need):
		n.stopping++
	default:
		n.noRoom++
	}
}

func (n *candidateCounts) explanation(j *manager.Job, need manager.Resources) manager.JobExplanation {
	where := fmt.Sprintf("of %d VMs%s large enough for %s", n.largeEnough, inPool(j.Pool), formatResources(need))
	switch {
	case n.largeEnough == 0:
		return manager.JobExplanation{Rule: manager.JobRuleNoRoom, Awaits: "a VM" + inPool(j.Pool) + " for " + formatResources(need)}
	case n.ready > 0:
		return manager.JobExplanation{Rule: manager.JobRuleOrder, Awaits: "its turn: " + countText(n.ready, where, "have room")}
	case n.stopping > 0:
		return manager.JobExplanation{Rule: manager.JobRuleCheckpoint, Awaits: "tasks that are being stopped: " + countText(n.stopping, where, "will have room")}
	case n.noRoom > 0:
		return manager.JobExplanation{Rule: manager.JobRuleNoRoom, Awaits: "room: " + countText(n.noRoom, where, "are full")}
	case n.spreadFull > 0:
		return manager.JobExplanation{Rule: manager.JobRuleSpread, Awaits: "the end of other jobs of its class: " + countText(n.spreadFull, where, "are in an availability zone or rack that is at the limit of the spread rule")}
	case n.quarantined > 0:
		return manager.JobExplanation{Rule: manager.JobRuleQuarantine, Awaits: "a VM that is not quarantined: " + countText(n.quarantined, where, "are quarantined")}
	case n.failed > 0:
		return manager.JobExplanation{Rule: manager.JobRuleFailures, Awaits: "a VM without recent failures: " + countText(n.failed, where, "had failures")}
	default:
		return manager.JobExplanation{Rule: manager.JobRuleUnavailable, Awaits: "a VM in service: " + countText(n.unavailable, where, "are failed or in maintenance")}
	}
}

func countText(n int, where, what string) string { return fmt.Sprintf("%d %s %s", n, where, what) }

// formatResources formats an amount of capacity for operators.
func formatResources(r manager.Resources) string {
	s := fmt.Sprintf("%.1f cores and %d MB", float64(r.ProcessorMilliCores)/1000, r.MemoryMegaBytes)
	if r.Accelerators > 0 {
		s += fmt.Sprintf(" and %d accelerators", r.Accelerators)
	}
	return s
}

func inPool(p manager.PoolID) string {
	if p == "" {
		return ""
	}
	return fmt.Sprintf(" in pool %s", p)
}
