package rebalancer

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/budgeter"
)

const (
	// residence is the least time that a VM stays in a pool; a move costs a drain and a settle time.
	residence = 10 * manager.Minute
	// movePercent bounds the moves in progress by a share of the fleet, as each takes a VM out of service.
	movePercent = 4
	// maxStarts bounds the moves that one call starts; without it the time of a call would grow with the
	// square of the fleet.
	maxStarts = 8
	// leastPool is the size below which no pool shrinks, so that it spans several failure domains.
	leastPool = 3
)

// Shared is the Rebalancer that sizes each pool for the demand learned of its queue and keeps one
// reserve for all of them in the spare pools. Only what it has learned is kept here: a new leader
// learns anew before it shrinks a pool.
type Shared struct {
	services map[manager.ServiceID]*learner
}

var _ manager.Rebalancer = (*Shared)(nil)

// Observe takes the demand of each service.
func (r *Shared) Observe(now manager.Time, list []manager.Demand) {
	if r.services == nil {
		r.services = map[manager.ServiceID]*learner{}
	}
	for _, d := range list {
		l, ok := r.services[d.Service]
		if !ok {
			l = &learner{}
			r.services[d.Service] = l
		}
		l.observe(now, d)
	}
}

// Plan returns the commands that start, commit or abandon moves. It changes nothing that was learned.
func (r *Shared) Plan(now manager.Time, f manager.Fleet) []manager.Command {
	commands := progress(now, f)
	t := r.survey(f)
	t.now = now
	t.book = budgeter.FromFleet(f)
	moving := countMoving(f)
	for n := 0; n < maxStarts && moving < maxMoves(len(f.VMs)); n++ {
		c, ok := t.next()
		if !ok {
			break
		}
		commands = append(commands, c)
		moving++
	}
	return commands
}

func maxMoves(vms int) int { return max(1, vms*movePercent/100) }

func countMoving(f manager.Fleet) int {
	n := 0
	for _, v := range f.VMs {
		if v.MoveTo != "" || v.Phase == manager.PhaseJoining {
			n++
		}
	}
	return n
}

// progress returns the commands that the moves begun before call for.
func progress(now manager.Time, f manager.Fleet) []manager.Command {
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

// Reserves returns what each pool holds and is meant to hold, ordered by pool.
func (r *Shared) Reserves(_ manager.Time, f manager.Fleet) []manager.PoolReserve {
	t := r.survey(f)
	list := make([]manager.PoolReserve, 0, len(t.pools))
	for _, p := range t.pools {
		list = append(list, p.reserve(t.reserve))
	}
	slices.SortFunc(list, func(a, b manager.PoolReserve) int { return compare(a.Pool, b.Pool) })
	return list
}
