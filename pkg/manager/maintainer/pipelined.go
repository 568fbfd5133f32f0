package maintainer

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/budgeter"
)

// Pipelined is the Maintainer that takes a VM as soon as every budget has room for it, in all pools at
// once. It keeps no state, so that a new leader goes on where the last one stopped.
type Pipelined struct{}

var _ manager.Maintainer = Pipelined{}

// Step returns the commands that the waves call for now.
func (Pipelined) Step(now manager.Time, f manager.Fleet) []manager.Command {
	if !slices.ContainsFunc(f.Waves, unfinished) {
		return settled(now, f)
	}
	r := &round{view: newView(now, f), book: budgeter.FromFleet(f)}
	for _, w := range f.Waves {
		if unfinished(w) {
			r.stepWave(w)
		}
	}
	if len(r.commands) == 0 {
		return settled(now, f)
	}
	return r.commands
}

// unfinished tells whether a wave may call for a command.
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

// round is one call of Step; its book counts what it has proposed so far.
type round struct {
	*view
	book     *budgeter.Book
	commands []manager.Command
}

// progress is what a round found of one wave's steps.
type progress struct {
	waiting int
	// held counts the VMs of each pool that the wave keeps out of service.
	held map[manager.PoolID]int
	// taken counts the VMs that the round takes.
	taken   int
	blocked string
}

func (r *round) stepWave(w manager.Wave) {
	p := progress{held: map[manager.PoolID]int{}}
	for _, step := range w.Steps {
		if step.State.Active() {
			r.stepActive(w, step, &p)
		}
	}
	if c, ok := r.turn(w); ok {
		r.commands = append(r.commands, c)
		return
	}
	for _, step := range w.Steps {
		if step.State == manager.StepWaiting {
			r.stepWaiting(w, step, &p)
		}
	}
	if w.State == manager.WaveRunning {
		r.conclude(w, p)
	}
}

func (r *round) stepActive(w manager.Wave, step manager.WaveStep, p *progress) {
	v := r.vms[step.VM]
	a := nextState(r.now, w, step, v, r.profiles[v.Pool].Wave)
	if a.to != "" {
		r.commands = append(r.commands, r.advanceTo(w, step, a))
	}
	if a.to != manager.StepDone {
		p.held[v.Pool]++
		return
	}
	// The applier ends this step before it checks what the round takes next.
	r.book.Remove(v)
	v.Phase = manager.PhaseInService
	r.book.Add(v)
}

// stepWaiting takes a VM if every rule allows it, and otherwise notes the first rule that does not.
func (r *round) stepWaiting(w manager.Wave, step manager.WaveStep, p *progress) {
	v := r.vms[step.VM]
	if reason := skipWaiting(w, v); reason != "" {
		r.commands = append(r.commands, r.advanceTo(w, step, advance{manager.StepAbandoned, reason}))
		return
	}
	p.waiting++
	if w.State != manager.WaveRunning {
		return
	}
	if !r.allows(w, v, p) {
		if p.blocked == "" {
			p.blocked = r.refusal(w, v, p)
		}
		return
	}
	r.commands = append(r.commands, r.advanceTo(w, step, advance{to: manager.StepDraining}))
	r.book.Take(v)
	p.held[v.Pool]++
	p.taken++
}

// allows tells whether refusal finds no rule, without the cost of naming one.
func (r *round) allows(w manager.Wave, v manager.VM, p *progress) bool {
	rules := r.profiles[v.Pool].Wave
	if !v.Available() || p.held[v.Pool] >= rules.MaxAtOnce || !rules.InWindow(r.now) {
		return false
	}
	return r.book.Allows(v) || r.refusal(w, v, p) == ""
}

// refusal returns the rule that holds a VM back; it is empty if the VM may be taken now.
func (r *round) refusal(w manager.Wave, v manager.VM, p *progress) string {
	rules := r.profiles[v.Pool].Wave
	switch {
	case !v.Available():
		return fmt.Sprintf("VM %q is not in service (state %q, phase %q)", v.VM, v.State, v.Phase)
	case !rules.InWindow(r.now):
		return fmt.Sprintf("the maintenance window of pool %q opens at minute %d of the day", v.Pool, rules.WindowStartMinute)
	case p.held[v.Pool] >= rules.MaxAtOnce:
		return fmt.Sprintf("pool %q has %d VMs in the wave at once, as many as its profile allows", v.Pool, p.held[v.Pool])
	case r.acceptsLoss(w):
		return r.book.CheckWholeBudget(v)
	default:
		return r.book.Check(v)
	}
}

// conclude ends a wave whose steps have all ended, or says what one waits for that holds no VM.
func (r *round) conclude(w manager.Wave, p progress) {
	held := 0
	for _, n := range p.held {
		held += n
	}
	if held > 0 || p.taken > 0 {
		return
	}
	if p.waiting == 0 {
		r.commands = append(r.commands, r.setWave(w, manager.WaveDone, ""))
		return
	}
	if p.blocked != w.Reason {
		r.commands = append(r.commands, r.setWave(w, manager.WaveRunning, p.blocked))
	}
}
