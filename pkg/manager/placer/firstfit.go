package placer

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// DefaultLease is how long a task may run without a report from its worker.
const DefaultLease = 10 * manager.Second

// FirstFit is the baseline Placer: it starts each job on the first VM by name with room for the declared size.
type FirstFit struct {
	reports []manager.UsageReport
}

var _ manager.Placer = (*FirstFit)(nil)

// Observe replaces the workers' reports.
func (p *FirstFit) Observe(_ manager.Time, reports []manager.UsageReport) { p.reports = reports }

// Plan returns the commands to propose for the state at now.
func (p *FirstFit) Plan(now manager.Time, f manager.Fleet) []manager.Command {
	commands := p.finish(now, f)
	free := freeCapacity(f)
	for _, j := range f.Jobs {
		if j.State != manager.JobQueued && j.State != manager.JobCheckpointed {
			continue
		}
		if c, ok := p.start(now, f, j, free); ok {
			commands = append(commands, c)
		}
	}
	return commands
}

// finish ends the leases whose tasks have ended or that expired without a report, and renews the reported ones.
func (p *FirstFit) finish(now manager.Time, f manager.Fleet) []manager.Command {
	latest := map[manager.LeaseID]manager.UsageReport{}
	for _, r := range p.reports {
		latest[r.Lease] = r
	}
	var commands []manager.Command
	var renew []manager.LeaseID
	for _, j := range f.Jobs {
		if j.Lease == nil {
			continue
		}
		r, ok := latest[j.Lease.Lease]
		switch {
		case ok && r.Result != "":
			commands = append(commands, manager.Command{At: now, FinishTask: &manager.FinishTask{
				Job: j.Job, Lease: j.Lease.Lease, Result: r.Result, Reason: r.Reason, DoneMs: r.DoneMs,
			}})
		case ok:
			renew = append(renew, j.Lease.Lease)
		case now >= j.Lease.Until:
			commands = append(commands, manager.Command{At: now, FinishTask: &manager.FinishTask{
				Job: j.Job, Lease: j.Lease.Lease, Result: manager.TaskLost, Reason: "no report from its worker until the lease expired",
			}})
		}
	}
	if len(renew) > 0 {
		commands = append(commands, manager.Command{At: now, RenewLeases: &manager.RenewLeases{
			Leases: renew, Until: now.Add(DefaultLease),
		}})
	}
	return commands
}

func (p *FirstFit) start(now manager.Time, f manager.Fleet, j manager.Job, free map[manager.VMID]manager.Resources) (manager.Command, bool) {
	for _, v := range f.VMs {
		if !v.Available() || v.Quarantined || (j.Pool != "" && j.Pool != v.Pool) || !free[v.VM].Fits(j.Declared) {
			continue
		}
		free[v.VM] = free[v.VM].Sub(j.Declared)
		return manager.Command{At: now, StartTask: &manager.StartTask{
			Job: j.Job, VM: v.VM, Epoch: v.Epoch, Until: now.Add(DefaultLease), Reserved: j.Declared,
		}}, true
	}
	return manager.Command{}, false
}

func freeCapacity(f manager.Fleet) map[manager.VMID]manager.Resources {
	free := make(map[manager.VMID]manager.Resources, len(f.VMs))
	for _, v := range f.VMs {
		free[v.VM] = v.Capacity
	}
	for _, j := range f.Jobs {
		if j.Lease != nil {
			free[j.Lease.VM] = free[j.Lease.VM].Sub(j.Lease.Reserved)
		}
	}
	return free
}
