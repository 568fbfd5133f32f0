package dispatcher

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// maxAdviceWorkers bounds the workers of one call, as the service takes its time for each.
	maxAdviceWorkers = 30
	// permitMargin is the part of a permit's time that its start needs on the way to the worker.
	permitMargin = 1500 * manager.Millisecond
	// adviceRetry is the pause after a call that failed.
	adviceRetry = 300 * manager.Millisecond
	// adviceRetention is how long the permits of a step are kept that no task has asked for.
	adviceRetention = manager.Minute
)

// StepID names a step of a job.
type StepID struct {
	Graph manager.GraphID
	Step  int
}

// AdviceRequest asks which workers may run a step.
type AdviceRequest struct {
	Step    StepID
	Workers []manager.WorkerLife
	// LimitMs bounds the call.
	LimitMs manager.Duration
}

// AdviceResult is the answer to a request.
type AdviceResult struct {
	Request AdviceRequest
	// Permits are those of the workers that may; they are not read where the call failed.
	Permits map[manager.WorkerID]manager.Permit
	Failed  bool
}

// advice is what is known of the workers that may run steps. It is not recorded: a new dispatcher asks anew.
type advice struct {
	steps map[StepID]*stepAdvice
	// inFlight is the step of the call under way, as there is one at a time; queue are the requests to send.
	inFlight bool
	retryAt  manager.Time
	requests []AdviceRequest
}

// stepAdvice is what is known for one step.
type stepAdvice struct {
	permits map[manager.WorkerLife]permit
	// denied may not run the step, ever.
	denied map[manager.WorkerID]bool
	usedAt manager.Time
}

type permit struct {
	value      manager.Permit
	validUntil manager.Time
}

// needsPermits tells whether a job's steps need permits.
func (d *Dispatcher) needsPermits(j *recorder.Job) bool { return d.queue(j).Advice.ValidMs > 0 }

// permittedCandidates returns the candidates that may run a step, and asks for more where they are too few.
func (d *Dispatcher) permittedCandidates(now manager.Time, j *recorder.Job, s int, list []*candidate) []*candidate {
	if !d.needsPermits(j) {
		return list
	}
	known := d.stepAdvice(now, StepID{Graph: j.Graph.Graph, Step: s})
	var may, unknown []*candidate
	room := 0
	for _, w := range list {
		p, ok := known.permits[w.instance]
		switch {
		case ok && now < p.validUntil:
			may = append(may, w)
			room += maxTasks(w.free, &j.Steps[s])
		case !known.denied[w.instance.Worker]:
			unknown = append(unknown, w)
		}
	}
	if room < j.Remaining(s)-j.OpenRunsIn(s) && len(unknown) > 0 && !d.advice.inFlight && now >= d.advice.retryAt {
		d.requestAdvice(j, s, unknown)
	}
	return may
}

// requestAdvice requests permits for the workers with the most room.
func (d *Dispatcher) requestAdvice(j *recorder.Job, s int, unknown []*candidate) {
	slices.SortStableFunc(unknown, func(a, b *candidate) int {
		return -cmp.Compare(maxTasks(a.free, &j.Steps[s]), maxTasks(b.free, &j.Steps[s]))
	})
	a := d.queue(j).Advice
	r := AdviceRequest{Step: StepID{Graph: j.Graph.Graph, Step: s}}
	for _, w := range unknown[:min(len(unknown), maxAdviceWorkers)] {
		r.Workers = append(r.Workers, w.instance)
	}
	r.LimitMs = a.DecisionMs + a.PerWorkerMs*manager.Duration(len(r.Workers))
	d.advice.inFlight = true
	d.advice.requests = append(d.advice.requests, r)
	d.log(manager.LogAdviceAsked, "RequestID", r.Step.Graph, "Step", s, "Workers", len(r.Workers))
}

// AdviceRequests returns the request that is to be sent, if there is one; the next one follows its answer.
func (d *Dispatcher) AdviceRequests() []AdviceRequest {
	list := d.advice.requests
	d.advice.requests = nil
	return list
}

func (d *Dispatcher) handleAdvice(now manager.Time, r AdviceResult) {
	d.advice.inFlight = false
	d.log(manager.LogAdviceAnswered, "RequestID", r.Request.Step.Graph, "Step", r.Request.Step.Step, "Asked", len(r.Request.Workers),
		"Permitted", len(r.Permits), "Failed", r.Failed)
	j := d.State.Active()[r.Request.Step.Graph]
	if r.Failed || j == nil {
		d.advice.retryAt = now.Add(adviceRetry)
		return
	}
	known := d.stepAdvice(now, r.Request.Step)
	for _, l := range r.Request.Workers {
		value, ok := r.Permits[l.Worker]
		if !ok {
			known.denied[l.Worker] = true
			continue
		}
		valid := d.queue(j).Advice.ValidMs
		known.permits[l] = permit{value: value, validUntil: now.Add(valid - min(permitMargin, valid/2))}
	}
}

// stepAdvice returns what is known for a step, and forgets steps that are over.
func (d *Dispatcher) stepAdvice(now manager.Time, id StepID) *stepAdvice {
	if d.advice.steps == nil {
		d.advice.steps = map[StepID]*stepAdvice{}
	}
	known := d.advice.steps[id]
	if known == nil {
		for other, a := range d.advice.steps {
			if now.Sub(a.usedAt) > adviceRetention {
				delete(d.advice.steps, other)
			}
		}
		known = &stepAdvice{permits: map[manager.WorkerLife]permit{}, denied: map[manager.WorkerID]bool{}}
		d.advice.steps[id] = known
	}
	known.usedAt = now
	return known
}

// permit returns the permit with which a life may run a step, or "".
func (d *Dispatcher) permit(j *recorder.Job, s int, l manager.WorkerLife) manager.Permit {
	if known := d.advice.steps[StepID{Graph: j.Graph.Graph, Step: s}]; known != nil {
		return known.permits[l].value
	}
	return ""
}

// dropPermit forgets the permit of a life that has refused a task, as it may have run out.
func (d *Dispatcher) dropPermit(t manager.TaskID, l manager.WorkerLife) {
	if known := d.advice.steps[StepID{Graph: t.Graph, Step: t.Step}]; known != nil {
		delete(known.permits, l)
	}
}
