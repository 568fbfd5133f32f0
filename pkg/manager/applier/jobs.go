package applier

import (
	"fmt"
	"slices"
	"strings"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// MaxJobs limits the jobs kept; the job that ended first is dropped first.
	MaxJobs = 20_000
	// maxNameBytes limits the length of a job's names and maxReasonBytes that of a worker's reason, so that
	// the jobs kept take some tens of megabytes at most.
	maxNameBytes   = 128
	maxReasonBytes = 512
	// MaxEndedJobs limits the ended jobs kept for operators and for relearning job sizes.
	MaxEndedJobs = 5_000
)

func (s *State) applyJobCommand(c manager.Command) (manager.Result, *manager.Failure) {
	switch {
	case c.SubmitJob != nil:
		return s.submitJob(*c.SubmitJob)
	case c.CancelJob != nil:
		return s.cancelJob(*c.CancelJob)
	case c.CancelJobs != nil:
		return s.cancelJobs(*c.CancelJobs)
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
	case c.PlaceTasks != nil:
		return s.placeTasks(*c.PlaceTasks)
	default:
		return manager.Result{}, invalid("Command", "has no body")
	}
}

func (s *State) submitJob(c manager.SubmitJob) (manager.Result, *manager.Failure) {
	j := c.Job
	if f := s.checkJob(j); f != nil {
		return manager.Result{}, f
	}
	if !s.evictForNewJob() {
		return manager.Result{}, conflict("job", string(j.Job), fmt.Sprintf("there are %d unfinished jobs already", MaxJobs))
	}
	s.putJob(manager.Job{
		Job: j.Job, Team: j.Team, Profile: j.Profile, Class: j.Class,
		Declared: j.Declared, DeclaredMs: j.DeclaredMs, Idempotent: j.Idempotent, Pool: j.Pool,
		State: manager.JobQueued, SubmittedAt: s.now,
	})
	j = s.jobs[j.Job]
	return manager.Result{Job: &j}, nil
}

func (s *State) checkJob(j manager.Job) *manager.Failure {
	if j.Job == "" {
		return invalid("Job", "is missing")
	}
	if len(j.Job) > maxNameBytes {
		return invalid("Job", fmt.Sprintf("must have at most %d bytes", maxNameBytes))
	}
	if len(j.Team) > maxNameBytes {
		return invalid("Team", fmt.Sprintf("must have at most %d bytes", maxNameBytes))
	}
	if _, ok := s.jobs[j.Job]; ok {
		return conflict("job", string(j.Job), "already exists")
	}
	p, ok := s.profile(j.Profile)
	if !ok {
		return notExist("profile", string(j.Profile))
	}
	if _, ok := s.pools[j.Pool]; j.Pool != "" && !ok {
		return notExist("pool", string(j.Pool))
	}
	if !j.Declared.Fits(manager.Resources{}) {
		return invalid("Declared", "must not be negative")
	}
	if j.DeclaredMs < 0 {
		return invalid("DeclaredMs", "must not be negative")
	}
	if _, ok := p.Class(j.Class); !ok && j.Class != "" {
		return invalid("Class", fmt.Sprintf("profile %q has no job class %q", j.Profile, j.Class))
	}
	return nil
}

// evictForNewJob drops the job that ended first if too many are kept, and tells whether another one may be
// added.
func (s *State) evictForNewJob() bool {
	if len(s.jobs) >= MaxJobs || s.tasks.ended.Len() > MaxEndedJobs {
		s.evictEndedJob()
	}
	return len(s.jobs) < MaxJobs
}

func (s *State) cancelJob(c manager.CancelJob) (manager.Result, *manager.Failure) {
	j, ok := s.jobs[c.Job]
	if !ok {
		return manager.Result{}, notExist("job", string(c.Job))
	}
	if j.State.Ended() {
		return manager.Result{}, conflict("job", string(c.Job), fmt.Sprintf("is %s", j.State))
	}
	if j.Lease != nil {
		j.Lease = s.withOrder(*j.Lease, manager.TaskStop)
	}
	s.endJob(&j, manager.JobCancelled, "cancelled by its owner")
	s.putJob(j)
	return manager.Result{Job: &j}, nil
}

func (s *State) cancelJobs(c manager.CancelJobs) (manager.Result, *manager.Failure) {
	if len(c.Jobs) > manager.MaxTaskBatch {
		return manager.Result{}, invalid("Jobs", fmt.Sprintf("must name at most %d jobs", manager.MaxTaskBatch))
	}
	var result manager.Result
	for _, id := range c.Jobs {
		_, f := s.cancelJob(manager.CancelJob{Job: id})
		recordRefusal(&result, id, f)
	}
	return result, nil
}

// recordRefusal adds an item of a batch to the refused ones of the result if it failed.
func recordRefusal(r *manager.Result, id manager.JobID, f *manager.Failure) {
	if f != nil {
		r.RefusedJobs = append(r.RefusedJobs, manager.JobFailure{Job: id, Failure: *f})
	}
}

func (s *State) endJob(j *manager.Job, state manager.JobState, reason string) {
	j.State = state
	j.Reason = reason
	j.FinishedAt = s.now
}

func (s *State) refuseJob(c manager.RefuseJob) (manager.Result, *manager.Failure) {
	j, ok := s.jobs[c.Job]
	if !ok {
		return manager.Result{}, notExist("job", string(c.Job))
	}
	if j.Lease != nil || j.State.Ended() {
		return manager.Result{}, conflict("job", string(c.Job), fmt.Sprintf("is %s", j.State))
	}
	s.endJob(&j, manager.JobRefused, c.Reason)
	s.putJob(j)
	return manager.Result{Job: &j}, nil
}

// applyLateReport applies the report of a task that was considered lost, if its job was not started again
// since; it tells whether the report changed the job.
func (s *State) applyLateReport(j *manager.Job, c manager.FinishTask) bool {
	if j.State != manager.JobUnknown || j.LastLease != c.Lease {
		return false
	}
	switch c.Result {
	case manager.TaskSucceeded:
		j.Progress.DoneMs = c.DoneMs
		j.State, j.Reason = manager.JobDone, ""
	case manager.TaskFailed:
		j.State, j.Reason = manager.JobFailed, truncateReason(c.Reason)
	default:
		return false
	}
	return true
}

// truncateReason cuts a worker's reason to maxReasonBytes.
func truncateReason(reason string) string {
	return strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "")
}

// applyTaskResult updates a job whose lease has ended.
func (s *State) applyTaskResult(j *manager.Job, vm manager.VMID, c manager.FinishTask) {
	switch c.Result {
	case manager.TaskSucceeded:
		j.Progress.DoneMs = c.DoneMs
		s.endJob(j, manager.JobDone, "")
	case manager.TaskCheckpointed:
		j.Progress = manager.Progress{DoneMs: c.DoneMs, Checkpoints: j.Progress.Checkpoints + 1}
		requeue(j, c.Reason)
	case manager.TaskNotStarted:
		requeue(j, c.Reason)
	case manager.TaskFailed:
		recordFailure(j, vm)
		s.requeueOrEnd(j, manager.JobFailed, c.Reason)
	case manager.TaskLost, manager.TaskExpired, manager.TaskStopped:
		s.requeueOrEnd(j, manager.JobUnknown, c.Reason)
	}
}

// requeueOrEnd queues an idempotent job again and ends any other job, as that may not run twice.
func (s *State) requeueOrEnd(j *manager.Job, state manager.JobState, reason string) {
	if j.Idempotent {
		requeue(j, reason)
		return
	}
	s.endJob(j, state, "started once and is not idempotent, so it is not started again: "+reason)
}

func requeue(j *manager.Job, reason string) {
	j.Reason = reason
	j.State = manager.JobQueued
	if j.Progress.Checkpoints > 0 {
		j.State = manager.JobCheckpointed
	}
}

// maxFailedOn limits the VMs remembered of a job's failures; with fewer a faulty job could not be told from
// faulty workers.
const maxFailedOn = 16

func recordFailure(j *manager.Job, vm manager.VMID) {
	j.Failures++
	list := slices.DeleteFunc(slices.Clone(j.FailedOn), func(v manager.VMID) bool { return v == vm })
	list = append(list, vm)
	if len(list) > maxFailedOn {
		list = list[1:]
	}
	j.FailedOn = list
}
