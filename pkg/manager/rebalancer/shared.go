package rebalancer

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/budgeter"
)

const (
	// minStay is the shortest time that a VM stays in a pool, because each move costs a drain and a settle time.
	minStay = 10 * manager.Minute
	// maxMovePercent limits the moves in progress to a percentage of the fleet, because each takes a VM out of service.
	maxMovePercent = 4
	// maxStarts limits the moves that one call starts. Without a limit the time of a call would grow with the square
	// of the fleet's size.
	maxStarts = 8
	// minPoolSize is the size below which no pool shrinks, so that each pool spans several failure domains.
	minPoolSize = 3
)

// Shared is the production Rebalancer. It sizes each pool for the estimated demand of its service and keeps one
// reserve for all pools in the spare pools. The estimates are its only state and are not replicated: a new leader
// observes demand for a while before it shrinks a pool.
type Shared struct {
	services map[manager.ServiceID]*demandEstimator
}

var _ manager.Rebalancer = (*Shared)(nil)

// Observe records the demand of each service.
func (r *Shared) Observe(now manager.Time, list []manager.Demand) {
	if r.services == nil {
		r.services = map[manager.ServiceID]*demandEstimator{}
	}
	for _, d := range list {
		e, ok := r.services[d.Service]
		if !ok {
			e = &demandEstimator{}
			r.services[d.Service] = e
		}
		e.observe(now, d)
	}
}

// Plan returns the commands that start, commit or abandon moves. It does not change the demand estimates.
func (r *Shared) Plan(now manager.Time, f manager.Fleet) []manager.Command {
	commands := moveCommands(now, f)
	view := r.newFleetView(f)
	view.now = now
	view.budgets = budgeter.FromFleet(f)
	moving := countMoving(f)
	for n := 0; n < maxStarts && moving < maxMoves(len(f.VMs)); n++ {
		c, ok := view.nextMove()
		if !ok {
			break
		}
		commands = append(commands, c)
		moving++
	}
	return commands
}

func maxMoves(vms int) int { return max(1, vms*maxMovePercent/100) }

func countMoving(f manager.Fleet) int {
	n := 0
	for _, v := range f.VMs {
		if v.MoveTo != "" || v.Phase == manager.PhaseJoining {
			n++
		}
	}
	return n
}

// moveCommands returns the commands that commit or abandon the moves in progress.
func moveCommands(now manager.Time, f manager.Fleet) []manager.Command {
	limits := drainLimits(f)
	var commands []manager.Command
	for _, v := range f.VMs {
		if v.MoveTo == "" {
			continue
		}
		switch {
		case v.State == manager.VMDrained:
			commands = append(commands, manager.Command{At: now, CommitMove: &manager.CommitMove{VM: v.VM, Epoch: v.Epoch}})
		case v.State == manager.VMFailed:
			commands = append(commands, abandon(now, v, "the VM failed while it drained"))
		case now.Sub(v.PhaseSince) > limits[v.Pool]:
			commands = append(commands, abandon(now, v, fmt.Sprintf("the drain took longer than its limit of %d ms", limits[v.Pool])))
		}
	}
	return commands
}

func abandon(now manager.Time, v manager.VM, why string) manager.Command {
	reason := fmt.Sprintf("stays in pool %q: the move to %q was abandoned as %s", v.Pool, v.MoveTo, why)
	return manager.Command{At: now, AbandonMove: &manager.AbandonMove{VM: v.VM, Epoch: v.Epoch, Reason: reason}}
}

func drainLimits(f manager.Fleet) map[manager.PoolID]manager.Duration {
	profiles := map[manager.ProfileID]manager.Duration{}
	for _, p := range f.Profiles {
		profiles[p.Profile] = p.Wave.DrainLimitMs
	}
	pools := map[manager.PoolID]manager.Duration{}
	for _, p := range f.Pools {
		pools[p.Pool] = profiles[p.Profile]
	}
	return pools
}

// Reserves returns the actual and the wanted reserve of each pool, ordered by pool.
func (r *Shared) Reserves(_ manager.Time, f manager.Fleet) []manager.PoolReserve {
	view := r.newFleetView(f)
	list := make([]manager.PoolReserve, 0, len(view.pools))
	for _, p := range view.pools {
		list = append(list, p.poolReserve(view.reserve))
	}
	slices.SortFunc(list, func(a, b manager.PoolReserve) int { return compare(a.Pool, b.Pool) })
	return list
}
