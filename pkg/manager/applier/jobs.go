package applier

import (
	"fmt"
	"slices"
	"strings"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// MaxJobs bounds the jobs kept; the one that ended first goes first.
	MaxJobs = 20_000
	// maxName bounds the bytes of a job's names, maxReason those of a worker's reason, so that the jobs
	// kept stay within some tens of megabytes.
	maxName   = 128
	maxReason = 512
	// MaxEndedJobs bounds the ended jobs kept for operators and for learning sizes anew.
	MaxEndedJobs = 5_000
)

func (s *State) applyJobBody(c manager.Command) (manager.Result, *manager.Failure) {
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
	if !s.makeRoomForJob() {
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
	if len(j.Job) > maxName {
		return invalid("Job", fmt.Sprintf("must have at most %d bytes", maxName))
	}
	if len(j.Team) > maxName {
		return invalid("Team", fmt.Sprintf("must have at most %d bytes", maxName))
	}
	if _, ok := s.jobs[j.Job]; ok {
		return conflict("job", string(j.Job), "exists already")
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

// makeRoomForJob forgets the job that ended first if too many are kept; it tells whether there is room.
func (s *State) makeRoomForJob() bool {
	if len(s.jobs) >= MaxJobs || s.tasks.ended.Len() > MaxEndedJobs {
		s.forgetEndedJob()
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
		refuse(&result, id, f)
	}
	return result, nil
}

// refuse notes an item of a batch that failed.
func refuse(r *manager.Result, id manager.JobID, f *manager.Failure) {
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

// correctJob takes the report of a task that was taken for lost and whose job was not started again; it
// tells whether the report was of use.
func (s *State) correctJob(j *manager.Job, c manager.FinishTask) bool {
	if j.State != manager.JobUnknown || j.LastLease != c.Lease {
		return false
	}
	switch c.Result {
	case manager.TaskSucceeded:
		j.Progress.DoneMs = c.DoneMs
		j.State, j.Reason = manager.JobDone, ""
	case manager.TaskFailed:
		j.State, j.Reason = manager.JobFailed, shorten(c.Reason)
	default:
		return false
	}
	return true
}

// shorten cuts a worker's reason to what is kept.
func shorten(reason string) string {
	return strings.ToValidUTF8(reason[:min(len(reason), maxReason)], "")
}

// finishJob sets what becomes of a job whose lease has ended.
func (s *State) finishJob(j *manager.Job, vm manager.VMID, c manager.FinishTask) {
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
		noteFailure(j, vm)
		s.requeueOrEnd(j, manager.JobFailed, c.Reason)
	case manager.TaskLost, manager.TaskExpired, manager.TaskStopped:
		s.requeueOrEnd(j, manager.JobUnknown, c.Reason)
	}
}

// requeueOrEnd queues an idempotent job again and ends another one, which may not run a second time.
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

// maxFailedOn bounds the VMs remembered of a job's failures; fewer could not tell it from bad workers.
const maxFailedOn = 16

func noteFailure(j *manager.Job, vm manager.VMID) {
	j.Failures++
	list := slices.DeleteFunc(slices.Clone(j.FailedOn), func(v manager.VMID) bool { return v == vm })
	list = append(list, vm)
	if len(list) > maxFailedOn {
		list = list[1:]
	}
	j.FailedOn = list
}
