package rebalancer

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// reservePercent is the percentage of each pool that Fixed keeps idle.
const reservePercent = 20

// Fixed is the baseline Rebalancer: a pool with less than a fixed percentage of idle VMs gets one from the pool with
// the most idle VMs.
type Fixed struct {
	demand map[manager.ServiceID]manager.Demand
}

var _ manager.Rebalancer = (*Fixed)(nil)

// Observe replaces the demand of all services.
func (r *Fixed) Observe(_ manager.Time, list []manager.Demand) {
	r.demand = map[manager.ServiceID]manager.Demand{}
	for _, d := range list {
		r.demand[d.Service] = d
	}
}

// Plan returns the commands that start, commit or abandon moves.
func (r *Fixed) Plan(now manager.Time, f manager.Fleet) []manager.Command {
	commands := moveCommands(now, f)
	size := map[manager.PoolID]int{}
	for _, v := range f.VMs {
		if v.MoveTo != "" {
			size[v.MoveTo]++
			continue
		}
		size[v.Pool]++
	}
	for _, p := range f.Pools {
		if r.missing(p, size[p.Pool]) <= 0 {
			continue
		}
		if c, ok := r.moveTo(now, f, p.Pool, size); ok {
			commands = append(commands, c)
		}
	}
	return commands
}

// missing returns how many VMs a pool lacks to hold its reserve; it is negative if the pool has more.
func (r *Fixed) missing(p manager.Pool, size int) int {
	d, ok := r.demand[p.Service]
	if !ok || d.SlotsPerVM == 0 {
		return 0
	}
	busy := (d.BusySlots + d.WaitingRequests + d.SlotsPerVM - 1) / d.SlotsPerVM
	return (busy*100+99-reservePercent)/(100-reservePercent) - size
}

func (r *Fixed) moveTo(now manager.Time, f manager.Fleet, to manager.PoolID, size map[manager.PoolID]int) (manager.Command, bool) {
	var from manager.PoolID
	best := 0
	for _, p := range f.Pools {
		if spare := -r.missing(p, size[p.Pool]); p.Pool != to && spare > best {
			from, best = p.Pool, spare
		}
	}
	for _, v := range f.VMs {
		if v.Pool != from || !v.Available() {
			continue
		}
		size[from]--
		size[to]++
		return manager.Command{At: now, StartMove: &manager.StartMove{
			VM: v.VM, Epoch: v.Epoch, To: to,
			Reason: fmt.Sprintf("pool %q has less than %d%% idle and %q has %d VMs to spare", to, reservePercent, from, best),
		}}, true
	}
	return manager.Command{}, false
}

// Reserves returns the actual and the wanted reserve of each pool, in the order of the fleet's pools.
func (r *Fixed) Reserves(_ manager.Time, f manager.Fleet) []manager.PoolReserve {
	list := make([]manager.PoolReserve, 0, len(f.Pools))
	for _, p := range f.Pools {
		x := manager.PoolReserve{Pool: p.Pool, Why: fmt.Sprintf("a fixed %d%% of the pool", reservePercent)}
		for _, v := range f.VMs {
			if (v.Pool == p.Pool && v.MoveTo == "") || v.MoveTo == p.Pool {
				x.Size++
			}
		}
		if d := r.demand[p.Service]; d.SlotsPerVM > 0 {
			x.Busy = min(x.Size, (d.BusySlots+d.SlotsPerVM-1)/d.SlotsPerVM)
		}
		x.Idle = x.Size - x.Busy
		x.Need = x.Busy
		x.ReserveWanted = (x.Size*reservePercent + 99) / 100
		list = append(list, x)
	}
	return list
}
