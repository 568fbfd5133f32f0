package applier

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func (s *State) startTask(c manager.StartTask) (manager.Result, *manager.Failure) {
	j, ok := s.jobs[c.Job]
	if !ok {
		return manager.Result{}, notExist("job", string(c.Job))
	}
	if j.Lease != nil || j.State.Ended() || j.State == manager.JobRunning {
		return manager.Result{}, conflict("job", string(c.Job), fmt.Sprintf("is %s", j.State))
	}
	if f := s.checkLeaseTime(c.Until); f != nil {
		return manager.Result{}, f
	}
	v, f := s.vmAtEpoch(c.VM, c.Epoch)
	if f != nil {
		return manager.Result{}, f
	}
	if f := s.checkVM(v, j, c); f != nil {
		return manager.Result{}, f
	}
	if f := s.checkReservation(v, j, c.Reserved); f != nil {
		return manager.Result{}, f
	}
	s.lastLeaseID++
	j.Lease = &manager.Lease{
		Lease: s.lastLeaseID, Job: j.Job, VM: v.VM, Epoch: v.Epoch,
		Until: c.Until, Reserved: c.Reserved, StartAt: s.now, Probe: c.Probe,
	}
	j.State = manager.JobRunning
	j.Reason = ""
	j.Attempts++
	s.putJob(j)
	return manager.Result{Job: &j}, nil
}

func (s *State) checkLeaseTime(until manager.Time) *manager.Failure {
	if until <= s.now {
		return invalid("Until", "has passed")
	}
	if until.Sub(s.now) > manager.MaxLease {
		return invalid("Until", fmt.Sprintf("must be at most %d ms ahead", manager.MaxLease))
	}
	return nil
}

// checkVM refuses a VM that must not run the job, regardless of its free resources.
func (s *State) checkVM(v manager.VM, j manager.Job, c manager.StartTask) *manager.Failure {
	if !v.Available() {
		return conflict("VM", string(v.VM), fmt.Sprintf("takes no tasks (state %q, phase %q)", v.State, v.Phase))
	}
	if j.Pool != "" && j.Pool != v.Pool {
		return conflict("job", string(j.Job), fmt.Sprintf("may run only in pool %q", j.Pool))
	}
	if !v.Quarantined {
		return nil
	}
	if !c.Probe {
		return conflict("VM", string(v.VM), "is quarantined")
	}
	if !j.Idempotent || s.tasks.vms[v.VM].leases > 0 {
		return conflict("VM", string(v.VM), "is quarantined and is probed by one idempotent job at a time")
	}
	return nil
}

// checkReservation refuses a reservation that exceeds the VM's capacity, the team's quota or the spread
// rules.
func (s *State) checkReservation(v manager.VM, j manager.Job, r manager.Resources) *manager.Failure {
	if !r.Fits(manager.Resources{}) || !r.Fits(manager.MinReservation(j.Declared)) {
		return invalid("Reserved", fmt.Sprintf("must be at least 1/%d of the declared size", manager.MaxOvercommit))
	}
	if !v.Capacity.Fits(s.tasks.vms[v.VM].reserved.Add(r)) {
		return conflict("VM", string(v.VM), "has no room")
	}
	p, _ := s.profile(j.Profile)
	if q, ok := p.Quota(j.Team); ok && !q.Fits(s.tasks.teams[teamOf(j)].Add(r)) {
		return conflict("team", string(j.Team), fmt.Sprintf("quota of profile %q would be exceeded", j.Profile))
	}
	if n := p.Spread.MaxPerZone; n > 0 && s.tasks.zones[zoneOf(j, v)] >= n {
		return conflict("job", string(j.Job), fmt.Sprintf("spread allows %d tasks of its class in zone %q", n, v.AvailabilityZone))
	}
	if n := p.Spread.MaxPerRack; n > 0 && s.tasks.racks[rackOf(j, v)] >= n {
		return conflict("job", string(j.Job), fmt.Sprintf("spread allows %d tasks of its class in rack %q", n, v.Rack))
	}
	return nil
}

// jobUnderLease returns a job if l is its current lease.
func (s *State) jobUnderLease(id manager.JobID, l manager.LeaseID) (manager.Job, *manager.Failure) {
	j, ok := s.jobs[id]
	if !ok {
		return j, notExist("job", string(id))
	}
	if j.Lease == nil || j.Lease.Lease != l {
		return j, conflict("job", string(id), fmt.Sprintf("lease %d is not current", l))
	}
	return j, nil
}

// withOrder returns a copy of a lease with another order; the original is not changed, as views of the
// state share it.
func (s *State) withOrder(l manager.Lease, o manager.TaskOrder) *manager.Lease {
	l.Order = o
	l.OrderAt = s.now
	return &l
}

func (s *State) orderTask(c manager.OrderTask) (manager.Result, *manager.Failure) {
	j, f := s.jobUnderLease(c.Job, c.Lease)
	if f != nil {
		return manager.Result{}, f
	}
	if j.State.Ended() && c.Order != manager.TaskStop {
		return manager.Result{}, conflict("job", string(c.Job), fmt.Sprintf("is %s", j.State))
	}
	j.Lease = s.withOrder(*j.Lease, c.Order)
	s.putJob(j)
	return manager.Result{}, nil
}

func (s *State) finishTask(c manager.FinishTask) (manager.Result, *manager.Failure) {
	j, f := s.jobUnderLease(c.Job, c.Lease)
	if f != nil && s.applyLateReport(&j, c) {
		s.jobs[j.Job] = j
		s.tasks.dirty[j.Job] = true
		return manager.Result{Job: &j}, nil
	}
	if f != nil {
		return manager.Result{}, f
	}
	if c.Result == manager.TaskLost && s.now < j.Lease.Until.Add(manager.LeaseMargin) {
		return manager.Result{}, conflict("job", string(c.Job), "the lease may still be live")
	}
	vm := j.Lease.VM
	j.Lease = nil
	j.LastVM, j.LastLease = vm, c.Lease
	c.Reason = truncateReason(c.Reason)
	j.Peak = j.Peak.Max(c.Peak)
	if !j.State.Ended() {
		s.applyTaskResult(&j, vm, c)
	}
	s.putJob(j)
	return manager.Result{Job: &j}, nil
}

func (s *State) renewLeases(c manager.RenewLeases) (manager.Result, *manager.Failure) {
	if f := s.checkLeaseTime(c.Until); f != nil {
		return manager.Result{}, f
	}
	if c.All {
		except := make(map[manager.LeaseID]bool, len(c.AllExcept))
		for _, id := range c.AllExcept {
			except[id] = true
		}
		for id := range s.tasks.leases {
			if !except[id] {
				s.renewLease(id, c.Until)
			}
		}
		return manager.Result{}, nil
	}
	for _, id := range c.Leases {
		s.renewLease(id, c.Until)
	}
	return manager.Result{}, nil
}

func (s *State) renewLease(id manager.LeaseID, until manager.Time) {
	job, ok := s.tasks.leases[id]
	if !ok {
		return
	}
	j := s.jobs[job]
	l := *j.Lease
	l.Until = max(l.Until, until)
	j.Lease = &l
	s.putJob(j)
}

// placeTasks applies one step of placement; each item is checked like a separate command.
func (s *State) placeTasks(b manager.TaskBatch) (manager.Result, *manager.Failure) {
	if b.Size() > manager.MaxTaskBatch {
		return manager.Result{}, invalid("PlaceTasks", fmt.Sprintf("must have at most %d items", manager.MaxTaskBatch))
	}
	var result manager.Result
	for _, c := range b.Finish {
		_, f := s.finishTask(c)
		recordRefusal(&result, c.Job, f)
	}
	for _, c := range b.Refuse {
		_, f := s.refuseJob(c)
		recordRefusal(&result, c.Job, f)
	}
	for _, c := range b.Order {
		_, f := s.orderTask(c)
		recordRefusal(&result, c.Job, f)
	}
	for _, c := range b.Start {
		_, f := s.startTask(c)
		recordRefusal(&result, c.Job, f)
	}
	if b.Renew == nil {
		return result, nil
	}
	_, f := s.renewLeases(*b.Renew)
	return result, f
}
