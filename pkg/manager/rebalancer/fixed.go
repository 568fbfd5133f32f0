package rebalancer

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// reservePercent is the share of each pool that Fixed keeps idle.
const reservePercent = 20

// Fixed is the naive Rebalancer: a pool with less than a fixed idle share takes a VM from the pool
// with the most idle ones.
type Fixed struct {
	demand map[manager.ServiceID]manager.Demand
}

var _ manager.Rebalancer = (*Fixed)(nil)

// Observe takes the demand of each service.
func (r *Fixed) Observe(_ manager.Time, list []manager.Demand) {
	r.demand = map[manager.ServiceID]manager.Demand{}
	for _, d := range list {
		r.demand[d.Service] = d
	}
}

// Plan returns the commands that start, commit or abandon moves.
func (r *Fixed) Plan(now manager.Time, f manager.Fleet) []manager.Command {
	var commands []manager.Command
	for _, v := range f.VMs {
		if v.MoveTo != "" && v.State == manager.VMDrained {
			commands = append(commands, manager.Command{At: now, CommitMove: &manager.CommitMove{VM: v.VM, Epoch: v.Epoch}})
		}
	}
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
		if c, ok := r.take(now, f, p.Pool, size); ok {
			commands = append(commands, c)
		}
	}
	return commands
}

// missing returns how many VMs a pool lacks to hold its reserve.
func (r *Fixed) missing(p manager.Pool, size int) int {
	d, ok := r.demand[p.Service]
	if !ok || d.SlotsPerVM == 0 {
		return 0
	}
	busy := (d.BusySlots + d.WaitingRequests + d.SlotsPerVM - 1) / d.SlotsPerVM
	return (busy*100+99-reservePercent)/(100-reservePercent) - size
}

func (r *Fixed) take(now manager.Time, f manager.Fleet, to manager.PoolID, size map[manager.PoolID]int) (manager.Command, bool) {
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
