package applier

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// MaxJobs bounds the jobs kept; the oldest ended one goes first.
const MaxJobs = 50_000

func (s *State) applyJobBody(c manager.Command) (manager.Result, *manager.Failure) {
	switch {
	case c.SubmitJob != nil:
		return s.submitJob(*c.SubmitJob)
	case c.CancelJob != nil:
		return s.cancelJob(*c.CancelJob)
	case c.StartTask != nil:
		return s.startTask(*c.StartTask)
	case c.OrderTask != nil:
		return s.orderTask(*c.OrderTask)
	case c.FinishTask != nil:
		return s.finishTask(*c.FinishTask)
	case c.RenewLeases != nil:
		return s.renewLeases(*c.RenewLeases)
	case c.RefuseJob != nil:
		return s.refuseJob(*c.RefuseJob)
	default:
		return manager.Result{}, invalid("Command", "has no body")
	}
}

func (s *State) submitJob(c manager.SubmitJob) (manager.Result, *manager.Failure) {
	j := c.Job
	if j.Job == "" {
		return manager.Result{}, invalid("Job", "is missing")
	}
	if _, ok := s.jobs[j.Job]; ok {
		return manager.Result{}, conflict("job", string(j.Job), "exists already")
	}
	if _, ok := s.profile(j.Profile); !ok {
		return manager.Result{}, notExist("profile", string(j.Profile))
	}
	if !j.Declared.Fits(manager.Resources{}) || j.DeclaredMs < 0 {
		return manager.Result{}, invalid("Declared", "must not be negative")
	}
	if !s.makeRoomForJob() {
		return manager.Result{}, conflict("job", string(j.Job), fmt.Sprintf("there are %d unfinished jobs already", MaxJobs))
	}
	j.State = manager.JobQueued
	j.SubmittedAt = s.now
	j.Lease = nil
	s.jobs[j.Job] = j
	return manager.Result{Job: &j}, nil
}

func (s *State) makeRoomForJob() bool {
	if len(s.jobs) < MaxJobs {
		return true
	}
	var oldest manager.JobID
	for _, id := range sorted(s.jobs) {
		j := s.jobs[id]
		if j.FinishedAt == 0 {
			continue
		}
		if oldest == "" || j.FinishedAt < s.jobs[oldest].FinishedAt {
			oldest = id
		}
	}
	delete(s.jobs, oldest)
	return oldest != ""
}

func (s *State) cancelJob(c manager.CancelJob) (manager.Result, *manager.Failure) {
	j, ok := s.jobs[c.Job]
	if !ok {
		return manager.Result{}, notExist("job", string(c.Job))
	}
	if j.FinishedAt != 0 {
		return manager.Result{}, conflict("job", string(c.Job), fmt.Sprintf("is %s", j.State))
	}
	if j.Lease != nil {
		l := *j.Lease
		l.Order = manager.TaskStop
		j.Lease = &l
	}
	s.endJob(&j, manager.JobCancelled, "cancelled by its owner")
	s.jobs[j.Job] = j
	return manager.Result{Job: &j}, nil
}

func (s *State) endJob(j *manager.Job, state manager.JobState, reason string) {
	j.State = state
	j.Reason = reason
	j.FinishedAt = s.now
}

func (s *State) startTask(c manager.StartTask) (manager.Result, *manager.Failure) {
	j, ok := s.jobs[c.Job]
	if !ok {
		return manager.Result{}, notExist("job", string(c.Job))
	}
	if j.Lease != nil || (j.State != manager.JobQueued && j.State != manager.JobCheckpointed) {
		return manager.Result{}, conflict("job", string(c.Job), fmt.Sprintf("is %s", j.State))
	}
	v, f := s.vmAt(c.VM, c.Epoch)
	if f != nil {
		return manager.Result{}, f
	}
	if !v.Available() || v.Quarantined {
		return manager.Result{}, conflict("VM", string(c.VM), "takes no tasks now")
	}
	s.nextID++
	j.Lease = &manager.Lease{
		Lease: s.nextID, Job: j.Job, VM: v.VM, Epoch: v.Epoch,
		Until: c.Until, Reserved: c.Reserved, StartAt: s.now,
	}
	j.State = manager.JobRunning
	j.Attempts++
	s.jobs[j.Job] = j
	return manager.Result{Job: &j}, nil
}

// leased returns a job if the lease is its current one.
func (s *State) leased(id manager.JobID, l manager.LeaseID) (manager.Job, *manager.Failure) {
	j, ok := s.jobs[id]
	if !ok {
		return j, notExist("job", string(id))
	}
	if j.Lease == nil || j.Lease.Lease != l {
		return j, conflict("job", string(id), fmt.Sprintf("lease %d is not current", l))
	}
	return j, nil
}

func (s *State) orderTask(c manager.OrderTask) (manager.Result, *manager.Failure) {
	j, f := s.leased(c.Job, c.Lease)
	if f != nil {
		return manager.Result{}, f
	}
	l := *j.Lease
	l.Order = c.Order
	j.Lease = &l
	s.jobs[j.Job] = j
	return manager.Result{}, nil
}

func (s *State) finishTask(c manager.FinishTask) (manager.Result, *manager.Failure) {
	j, f := s.leased(c.Job, c.Lease)
	if f != nil {
		return manager.Result{}, f
	}
	if c.Result == manager.TaskLost && s.now < j.Lease.Until {
		return manager.Result{}, conflict("job", string(c.Job), "the lease may still be live")
	}
	vm := j.Lease.VM
	j.Lease = nil
	if j.State != manager.JobCancelled {
		s.finishJob(&j, vm, c)
	}
	s.jobs[j.Job] = j
	return manager.Result{Job: &j}, nil
}

func (s *State) finishJob(j *manager.Job, vm manager.VMID, c manager.FinishTask) {
	switch c.Result {
	case manager.TaskSucceeded:
		s.endJob(j, manager.JobDone, "")
	case manager.TaskCheckpointed:
		j.State = manager.JobCheckpointed
		j.Progress.DoneMs = c.DoneMs
	case manager.TaskNotStarted:
		j.State = manager.JobQueued
	case manager.TaskFailed, manager.TaskLost:
		if !slices.Contains(j.FailedOn, vm) {
			j.FailedOn = append(slices.Clone(j.FailedOn), vm)
		}
		j.State = manager.JobQueued
		j.Reason = c.Reason
		if !j.Idempotent {
			s.endJob(j, manager.JobUnknown, "ran once and may not run again: "+c.Reason)
		}
	}
}

func (s *State) renewLeases(c manager.RenewLeases) (manager.Result, *manager.Failure) {
	wanted := make(map[manager.LeaseID]bool, len(c.Leases))
	for _, id := range c.Leases {
		wanted[id] = true
	}
	for id, j := range s.jobs {
		if j.Lease == nil || !wanted[j.Lease.Lease] {
			continue
		}
		l := *j.Lease
		l.Until = max(l.Until, c.Until)
		j.Lease = &l
		s.jobs[id] = j
	}
	return manager.Result{}, nil
}

func (s *State) refuseJob(c manager.RefuseJob) (manager.Result, *manager.Failure) {
	j, ok := s.jobs[c.Job]
	if !ok {
		return manager.Result{}, notExist("job", string(c.Job))
	}
	if j.Lease != nil || j.FinishedAt != 0 {
		return manager.Result{}, conflict("job", string(c.Job), fmt.Sprintf("is %s", j.State))
	}
	s.endJob(&j, manager.JobRefused, c.Reason)
	s.jobs[j.Job] = j
	return manager.Result{Job: &j}, nil
}
