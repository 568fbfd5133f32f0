package placer

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// explaining counts the VMs on which a job could run by what keeps it off.
type explaining struct {
	large       int
	unavailable int
	quarantined int
	failed      int
	spread      int
	noRoom      int
	releasing   int
	ready       int
}

// Explain returns the rule that holds a job of the state.
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
	b := newBoard(now, f, p.tasks)
	p.health.judge(b)
	need := p.learner.size(*j)
	if !b.quotaLeft(j, need) {
		used := b.teams[teamKey{profile: j.Profile, team: j.Team}]
		return manager.JobExplanation{Rule: manager.JobRuleQuota, Awaits: fmt.Sprintf(
			"an end of other jobs of team %s, which use %s of its quota of %s; the job needs %s",
			j.Team, describe(used), describe(b.ruleOf(j).quotas[j.Team]), describe(need))}
	}
	var n explaining
	for i := range b.hosts {
		n.count(b, &b.hosts[i], j, need)
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
		return manager.JobExplanation{Rule: manager.JobRuleNoRoom, Awaits: fmt.Sprintf("memory on VM %s; it runs slowly until then", l.VM)}
	case manager.TaskRun:
	}
	return manager.JobExplanation{}
}

func (n *explaining) count(b *board, h *host, j *manager.Job, need manager.Resources) {
	if (j.Pool != "" && h.vm.Pool != j.Pool) || !h.vm.Capacity.Fits(need) {
		return
	}
	n.large++
	switch {
	case !h.vm.Available():
		n.unavailable++
	case h.vm.Quarantined:
		n.quarantined++
	case !suits(h, j):
		n.failed++
	case !b.spreadLeft(j, h.vm):
		n.spread++
	case h.free.Fits(need):
		n.ready++
	case soonRoom(h).Fits(need):
		n.releasing++
	default:
		n.noRoom++
	}
}

func (n *explaining) explanation(j *manager.Job, need manager.Resources) manager.JobExplanation {
	where := fmt.Sprintf("of %d VMs%s large enough for %s", n.large, inPool(j.Pool), describe(need))
	switch {
	case n.large == 0:
		return manager.JobExplanation{Rule: manager.JobRuleNoRoom, Awaits: "a VM" + inPool(j.Pool) + " for " + describe(need)}
	case n.ready > 0:
		return manager.JobExplanation{Rule: manager.JobRuleOrder, Awaits: "its turn: " + count(n.ready, where, "have room")}
	case n.releasing > 0:
		return manager.JobExplanation{Rule: manager.JobRuleCheckpoint, Awaits: "tasks that were told to end: " + count(n.releasing, where, "will have room")}
	case n.noRoom > 0:
		return manager.JobExplanation{Rule: manager.JobRuleNoRoom, Awaits: "room: " + count(n.noRoom, where, "are full")}
	case n.spread > 0:
		return manager.JobExplanation{Rule: manager.JobRuleSpread, Awaits: "an end of other jobs of its class: " + count(n.spread, where, "are in a zone or rack that holds as many as the spread allows")}
	case n.quarantined > 0:
		return manager.JobExplanation{Rule: manager.JobRuleQuarantine, Awaits: "a VM that is not quarantined: " + count(n.quarantined, where, "are")}
	case n.failed > 0:
		return manager.JobExplanation{Rule: manager.JobRuleFailures, Awaits: "a VM without recent failures: " + count(n.failed, where, "had some")}
	default:
		return manager.JobExplanation{Rule: manager.JobRuleUnavailable, Awaits: "a VM in service: " + count(n.unavailable, where, "are failed or in maintenance")}
	}
}

func count(n int, where, what string) string { return fmt.Sprintf("%d %s %s", n, where, what) }

// describe prints an amount of capacity for operators.
func describe(r manager.Resources) string {
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
