package maintainer

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// defaultRebootLimit is how long a reboot may take if the profile sets no limit. A shorter limit would give up VMs
// that still come back.
const defaultRebootLimit = 10 * manager.Minute

// transition is the next state of a step and the reason for it.
type transition struct {
	state  manager.StepState
	reason string
}

// nextState returns the transition of a step whose VM is out of service; an empty state means none.
func nextState(now manager.Time, w manager.Wave, step manager.WaveStep, v manager.VM, rules manager.WaveRules) transition {
	if v.State == manager.VMFailed {
		return transition{manager.StepAbandoned, fmt.Sprintf("the VM failed while %s", step.State)}
	}
	switch step.State {
	case manager.StepDraining:
		return nextFromDraining(now, w, step, v, rules)
	case manager.StepRebooting:
		return nextFromRebooting(now, step, v, rules)
	case manager.StepSettling:
		return nextFromSettling(now, v, rules)
	default:
		return transition{}
	}
}

func nextFromDraining(now manager.Time, w manager.Wave, step manager.WaveStep, v manager.VM, rules manager.WaveRules) transition {
	switch {
	case w.State == manager.WaveCancelled:
		return transition{manager.StepAbandoned, "wave cancelled"}
	case v.State == manager.VMDrained:
		return transition{state: manager.StepRebooting}
	case now.Sub(step.Since) > rules.DrainLimitMs:
		return transition{manager.StepAbandoned, fmt.Sprintf("the drain took longer than its limit of %d ms", rules.DrainLimitMs)}
	default:
		return transition{}
	}
}

func nextFromRebooting(now manager.Time, step manager.WaveStep, v manager.VM, rules manager.WaveRules) transition {
	if v.State == manager.VMRunning {
		return transition{state: manager.StepSettling}
	}
	return rebootTimeout(now, step.Since, rules)
}

func nextFromSettling(now manager.Time, v manager.VM, rules manager.WaveRules) transition {
	if v.State != manager.VMRunning {
		return rebootTimeout(now, v.PhaseSince, rules)
	}
	if now.Sub(v.PhaseSince) >= rules.SettleMs {
		return transition{state: manager.StepDone}
	}
	return transition{}
}

func rebootTimeout(now, since manager.Time, rules manager.WaveRules) transition {
	limit := rules.RebootLimitMs
	if limit == 0 {
		limit = defaultRebootLimit
	}
	if now.Sub(since) <= limit {
		return transition{}
	}
	return transition{manager.StepAbandoned, fmt.Sprintf("the VM did not come back within %d ms of its reboot", limit)}
}

// skipReason returns why a waiting step will never start, or "" if it may.
func skipReason(w manager.Wave, v manager.VM) string {
	if !slices.Contains(w.Pools, v.Pool) {
		return fmt.Sprintf("the VM has moved to pool %q, which the wave does not cover", v.Pool)
	}
	if v.Lost() && slices.Contains(w.Accepted, v.VM) {
		return "the VM was lost before its turn, and the wave was resumed without it"
	}
	return ""
}

// fleetView is an index of the fleet for one call of Step.
type fleetView struct {
	now      manager.Time
	vms      map[manager.VMID]manager.VM
	pools    map[manager.PoolID]manager.Pool
	profiles map[manager.PoolID]manager.Profile
	lost     []manager.VM
}

func newFleetView(now manager.Time, f manager.Fleet) *fleetView {
	x := &fleetView{
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

// unacceptedLoss returns the first lost VM of a wave's services whose loss no operator has accepted.
func (x *fleetView) unacceptedLoss(w manager.Wave) (manager.VM, bool) {
	for _, v := range x.lost {
		if x.covers(w, v) && !slices.Contains(w.Accepted, v.VM) {
			return v, true
		}
	}
	return manager.VM{}, false
}

func (x *fleetView) covers(w manager.Wave, v manager.VM) bool {
	service := x.pools[v.Pool].Service
	return slices.ContainsFunc(w.Pools, func(p manager.PoolID) bool { return x.pools[p].Service == service })
}

// acceptsLoss reports whether an operator resumed the wave despite a VM that is still lost.
func (x *fleetView) acceptsLoss(w manager.Wave) bool {
	return slices.ContainsFunc(w.Accepted, func(id manager.VMID) bool { return x.vms[id].Lost() })
}

// pauseOrResume returns the command that pauses a wave because of a lost VM, or resumes it when no VM is lost any
// more.
func (x *fleetView) pauseOrResume(w manager.Wave) (manager.Command, bool) {
	v, lost := x.unacceptedLoss(w)
	switch {
	case w.State == manager.WaveRunning && lost && v.State != manager.VMRunning:
		reason := fmt.Sprintf("VM %q of pool %q is %s without a plan; the wave resumes once no VM of its services is lost or unsettled", v.VM, v.Pool, v.State)
		return x.setWaveState(w, manager.WavePaused, reason), true
	case w.State == manager.WavePaused && !w.Held && !lost:
		return x.setWaveState(w, manager.WaveRunning, ""), true
	default:
		return manager.Command{}, false
	}
}

func (x *fleetView) setWaveState(w manager.Wave, state manager.WaveState, reason string) manager.Command {
	return manager.Command{At: x.now, SetWaveState: &manager.SetWaveState{Wave: w.Wave, State: state, Reason: reason}}
}

func (x *fleetView) advanceStep(w manager.Wave, step manager.WaveStep, a transition) manager.Command {
	return manager.Command{At: x.now, AdvanceStep: &manager.AdvanceStep{
		Wave: w.Wave, VM: step.VM, Epoch: x.vms[step.VM].Epoch, From: step.State, To: a.state, Reason: a.reason,
	}}
}

// settleCommand returns an empty batch if a VM's settle time has passed, because only a command advances the state
// machine's time.
func settleCommand(now manager.Time, f manager.Fleet) []manager.Command {
	profiles := profilesByPool(f)
	for _, v := range f.VMs {
		waits := v.Phase == manager.PhaseJoining || (v.Phase == manager.PhaseSettling && v.Wave == "")
		if waits && v.State == manager.VMRunning && now.Sub(v.PhaseSince) >= profiles[v.Pool].Wave.SettleMs {
			return []manager.Command{{At: now, Batch: &manager.Batch{}}}
		}
	}
	return nil
}
