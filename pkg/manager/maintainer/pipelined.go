package maintainer

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/budgeter"
)

// Pipelined is the production Maintainer. It starts the maintenance of a VM as soon as every budget allows, in all
// pools concurrently. It keeps no state, so that a new leader continues where the last one stopped.
type Pipelined struct{}

var _ manager.Maintainer = Pipelined{}

// Step returns the commands to propose for the waves at now.
func (Pipelined) Step(now manager.Time, f manager.Fleet) []manager.Command {
	if !slices.ContainsFunc(f.Waves, unfinished) {
		return settleCommand(now, f)
	}
	r := &stepPass{fleetView: newFleetView(now, f), budgets: budgeter.FromFleet(f)}
	for _, w := range f.Waves {
		if unfinished(w) {
			r.stepWave(w)
		}
	}
	if len(r.commands) == 0 {
		return settleCommand(now, f)
	}
	return r.commands
}

// unfinished reports whether a wave may still need a command.
func unfinished(w manager.Wave) bool {
	switch w.State {
	case manager.WaveRunning, manager.WavePaused:
		return true
	case manager.WaveCancelled:
		return slices.ContainsFunc(w.Steps, func(step manager.WaveStep) bool { return step.State.Active() })
	default:
		return false
	}
}

// stepPass is one call of Step; its budgets include the effect of the commands proposed so far.
type stepPass struct {
	*fleetView
	budgets  *budgeter.Tracker
	commands []manager.Command
}

// waveProgress summarizes the steps of one wave in a pass.
type waveProgress struct {
	waiting int
	// outOfService counts the VMs of each pool that the wave keeps out of service.
	outOfService map[manager.PoolID]int
	// started counts the VMs whose maintenance the pass starts.
	started   int
	blockedBy string
}

func (r *stepPass) stepWave(w manager.Wave) {
	p := waveProgress{outOfService: map[manager.PoolID]int{}}
	for _, step := range w.Steps {
		if step.State.Active() {
			r.stepActive(w, step, &p)
		}
	}
	if c, ok := r.pauseOrResume(w); ok {
		r.commands = append(r.commands, c)
		return
	}
	for _, step := range w.Steps {
		if step.State == manager.StepWaiting {
			r.stepWaiting(w, step, &p)
		}
	}
	if w.State == manager.WaveRunning {
		r.finishWave(w, p)
	}
}

func (r *stepPass) stepActive(w manager.Wave, step manager.WaveStep, p *waveProgress) {
	v := r.vms[step.VM]
	a := nextState(r.now, w, step, v, r.profiles[v.Pool].Wave)
	if a.state != "" {
		r.commands = append(r.commands, r.advanceStep(w, step, a))
	}
	if a.state != manager.StepDone {
		p.outOfService[v.Pool]++
		return
	}
	// The applier ends this step before it checks the steps that the pass starts next.
	r.budgets.Remove(v)
	v.Phase = manager.PhaseInService
	r.budgets.Add(v)
}

// stepWaiting starts the maintenance of a VM if every rule allows it. Otherwise it records the rule, if it is the
// wave's first in this pass.
func (r *stepPass) stepWaiting(w manager.Wave, step manager.WaveStep, p *waveProgress) {
	v := r.vms[step.VM]
	if reason := skipReason(w, v); reason != "" {
		r.commands = append(r.commands, r.advanceStep(w, step, transition{manager.StepAbandoned, reason}))
		return
	}
	p.waiting++
	if w.State != manager.WaveRunning {
		return
	}
	if !r.allowed(w, v, p) {
		if p.blockedBy == "" {
			p.blockedBy = r.blockingRule(w, v, p)
		}
		return
	}
	r.commands = append(r.commands, r.advanceStep(w, step, transition{state: manager.StepDraining}))
	r.budgets.MarkDraining(v)
	p.outOfService[v.Pool]++
	p.started++
}

// allowed reports whether blockingRule returns "", without the cost of formatting in the usual cases.
func (r *stepPass) allowed(w manager.Wave, v manager.VM, p *waveProgress) bool {
	rules := r.profiles[v.Pool].Wave
	if !v.Available() || p.outOfService[v.Pool] >= rules.MaxAtOnce || !rules.InWindow(r.now) {
		return false
	}
	return r.budgets.Allows(v) || r.blockingRule(w, v, p) == ""
}

// blockingRule returns the rule that forbids to start the maintenance of a VM now, or "".
func (r *stepPass) blockingRule(w manager.Wave, v manager.VM, p *waveProgress) string {
	rules := r.profiles[v.Pool].Wave
	switch {
	case !v.Available():
		return fmt.Sprintf("VM %q is not in service (state %q, phase %q)", v.VM, v.State, v.Phase)
	case !rules.InWindow(r.now):
		return fmt.Sprintf("the maintenance window of pool %q opens at minute %d of the day", v.Pool, rules.WindowStartMinute)
	case p.outOfService[v.Pool] >= rules.MaxAtOnce:
		return fmt.Sprintf("pool %q has %d VMs in the wave at once, as many as its profile allows", v.Pool, p.outOfService[v.Pool])
	case r.acceptsLoss(w):
		return r.budgets.CheckWholeBudget(v)
	default:
		return r.budgets.Check(v)
	}
}

// finishWave ends a wave whose steps have all ended. For a wave that has no VM out of service and starts none, it
// reports the rule that blocks it.
func (r *stepPass) finishWave(w manager.Wave, p waveProgress) {
	outOfService := 0
	for _, n := range p.outOfService {
		outOfService += n
	}
	if outOfService > 0 || p.started > 0 {
		return
	}
	if p.waiting == 0 {
		r.commands = append(r.commands, r.setWaveState(w, manager.WaveDone, ""))
		return
	}
	if p.blockedBy != w.Reason {
		r.commands = append(r.commands, r.setWaveState(w, manager.WaveRunning, p.blockedBy))
	}
}
