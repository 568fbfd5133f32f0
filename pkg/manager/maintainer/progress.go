package maintainer

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// defaultRebootLimit is how long a reboot may take where the profile sets no limit; a shorter one
// gives up VMs that would still come back.
const defaultRebootLimit = 10 * manager.Minute

// advance is a step's next state and why.
type advance struct {
	to     manager.StepState
	reason string
}

// nextState returns to where a step that holds its VM goes now; an empty state leaves it where it is.
func nextState(now manager.Time, w manager.Wave, step manager.WaveStep, v manager.VM, rules manager.WaveRules) advance {
	if v.State == manager.VMFailed {
		return advance{manager.StepAbandoned, fmt.Sprintf("the VM failed while %s", step.State)}
	}
	switch step.State {
	case manager.StepDraining:
		return nextOfDraining(now, w, step, v, rules)
	case manager.StepRebooting:
		return nextOfRebooting(now, step, v, rules)
	case manager.StepSettling:
		return nextOfSettling(now, v, rules)
	default:
		return advance{}
	}
}

func nextOfDraining(now manager.Time, w manager.Wave, step manager.WaveStep, v manager.VM, rules manager.WaveRules) advance {
	switch {
	case w.State == manager.WaveCancelled:
		return advance{manager.StepAbandoned, "wave cancelled"}
	case v.State == manager.VMDrained:
		return advance{to: manager.StepRebooting}
	case now.Sub(step.Since) > rules.DrainLimitMs:
		return advance{manager.StepAbandoned, fmt.Sprintf("the drain took longer than its limit of %d ms", rules.DrainLimitMs)}
	default:
		return advance{}
	}
}

func nextOfRebooting(now manager.Time, step manager.WaveStep, v manager.VM, rules manager.WaveRules) advance {
	if v.State == manager.VMRunning {
		return advance{to: manager.StepSettling}
	}
	return lateReboot(now, step.Since, rules)
}

func nextOfSettling(now manager.Time, v manager.VM, rules manager.WaveRules) advance {
	if v.State != manager.VMRunning {
		return lateReboot(now, v.PhaseSince, rules)
	}
	if now.Sub(v.PhaseSince) >= rules.SettleMs {
		return advance{to: manager.StepDone}
	}
	return advance{}
}

func lateReboot(now, since manager.Time, rules manager.WaveRules) advance {
	limit := rules.RebootLimitMs
	if limit == 0 {
		limit = defaultRebootLimit
	}
	if now.Sub(since) <= limit {
		return advance{}
	}
	return advance{manager.StepAbandoned, fmt.Sprintf("the VM did not come back within %d ms of its reboot", limit)}
}

// skipWaiting returns why a step that waits will never be taken; it is empty if it may be.
func skipWaiting(w manager.Wave, v manager.VM) string {
	if !slices.Contains(w.Pools, v.Pool) {
		return fmt.Sprintf("the VM has moved to pool %q, which the wave does not cover", v.Pool)
	}
	if v.Lost() && slices.Contains(w.Accepted, v.VM) {
		return "the VM was lost before its turn, and the wave was resumed without it"
	}
	return ""
}

// view indexes a fleet for one call of Step.
type view struct {
	now      manager.Time
	vms      map[manager.VMID]manager.VM
	pools    map[manager.PoolID]manager.Pool
	profiles map[manager.PoolID]manager.Profile
	lost     []manager.VM
}

func newView(now manager.Time, f manager.Fleet) *view {
	x := &view{
		now:      now,
		vms:      make(map[manager.VMID]manager.VM, len(f.VMs)),
		pools:    make(map[manager.PoolID]manager.Pool, len(f.Pools)),
		profiles: profilesByPool(f),
	}
	for _, p := range f.Pools {
		x.pools[p.Pool] = p
	}
	for _, v := range f.VMs {
		x.vms[v.VM] = v
		if v.Lost() {
			x.lost = append(x.lost, v)
		}
	}
	return x
}

func profilesByPool(f manager.Fleet) map[manager.PoolID]manager.Profile {
	profiles := make(map[manager.ProfileID]manager.Profile, len(f.Profiles))
	for _, p := range f.Profiles {
		profiles[p.Profile] = p
	}
	byPool := make(map[manager.PoolID]manager.Profile, len(f.Pools))
	for _, p := range f.Pools {
		byPool[p.Pool] = profiles[p.Profile]
	}
	return byPool
}

// lostIn returns the first VM of a wave's services that is lost and that no operator accepted.
func (x *view) lostIn(w manager.Wave) (manager.VM, bool) {
	for _, v := range x.lost {
		if x.covers(w, v) && !slices.Contains(w.Accepted, v.VM) {
			return v, true
		}
	}
	return manager.VM{}, false
}

func (x *view) covers(w manager.Wave, v manager.VM) bool {
	service := x.pools[v.Pool].Service
	return slices.ContainsFunc(w.Pools, func(p manager.PoolID) bool { return x.pools[p].Service == service })
}

// acceptsLoss tells whether an operator resumed the wave despite a VM that is still lost.
func (x *view) acceptsLoss(w manager.Wave) bool {
	return slices.ContainsFunc(w.Accepted, func(id manager.VMID) bool { return x.vms[id].Lost() })
}

// turn returns the command that pauses a wave for a lost VM or resumes it once none is lost.
func (x *view) turn(w manager.Wave) (manager.Command, bool) {
	v, lost := x.lostIn(w)
	switch {
	case w.State == manager.WaveRunning && lost && v.State != manager.VMRunning:
		reason := fmt.Sprintf("VM %q of pool %q is %s without a plan; the wave resumes once no VM of its services is lost or unsettled", v.VM, v.Pool, v.State)
		return x.setWave(w, manager.WavePaused, reason), true
	case w.State == manager.WavePaused && !w.Held && !lost:
		return x.setWave(w, manager.WaveRunning, ""), true
	default:
		return manager.Command{}, false
	}
}

func (x *view) setWave(w manager.Wave, state manager.WaveState, reason string) manager.Command {
	return manager.Command{At: x.now, SetWaveState: &manager.SetWaveState{Wave: w.Wave, State: state, Reason: reason}}
}

func (x *view) advanceTo(w manager.Wave, step manager.WaveStep, a advance) manager.Command {
	return manager.Command{At: x.now, AdvanceStep: &manager.AdvanceStep{
		Wave: w.Wave, VM: step.VM, Epoch: x.vms[step.VM].Epoch, From: step.State, To: a.to, Reason: a.reason,
	}}
}

// settled returns an empty batch if a VM's settle time has passed, as only a command moves the state's time on.
func settled(now manager.Time, f manager.Fleet) []manager.Command {
	profiles := profilesByPool(f)
	for _, v := range f.VMs {
		waits := v.Phase == manager.PhaseJoining || (v.Phase == manager.PhaseSettling && v.Wave == "")
		if waits && v.State == manager.VMRunning && now.Sub(v.PhaseSince) >= profiles[v.Pool].Wave.SettleMs {
			return []manager.Command{{At: now, Batch: &manager.Batch{}}}
		}
	}
	return nil
}
