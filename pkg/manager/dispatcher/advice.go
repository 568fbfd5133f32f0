package dispatcher

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// maxAdviceWorkers limits the workers of one call, as the advice service takes time for each of them.
	maxAdviceWorkers = 30
	// permitMargin is the part of a permit's validity that is reserved for the delivery of the start order to the
	// worker.
	permitMargin = 1500 * manager.Millisecond
	// adviceRetry is the pause after a failed call.
	adviceRetry = 300 * manager.Millisecond
	// adviceRetention is how long the permits of a step are kept after their last use.
	adviceRetention = manager.Minute
)

// StepID identifies a step of a job.
type StepID struct {
	Graph manager.GraphID
	Step  int
}

// AdviceRequest asks the advice service which workers may run a step.
type AdviceRequest struct {
	Step    StepID
	Workers []manager.WorkerInstance
	// LimitMs is the timeout of the call.
	LimitMs manager.Duration
}

// AdviceResult is the result of a request.
type AdviceResult struct {
	Request AdviceRequest
	// Permits holds the permits of the workers that may run the step. It is ignored if the call failed.
	Permits map[manager.WorkerID]manager.Permit
	Failed  bool
}

// advice holds the permits and requests of all steps. It is not replicated: a new dispatcher asks again.
type advice struct {
	steps map[StepID]*stepAdvice
	// inFlight means that a call is under way; there is one at a time. requests are those to be sent.
	inFlight bool
	retryAt  manager.Time
	requests []AdviceRequest
}

// stepAdvice is what is known about one step.
type stepAdvice struct {
	permits map[manager.WorkerInstance]permit
	// denied holds the workers that may never run the step.
	denied map[manager.WorkerID]bool
	usedAt manager.Time
}

type permit struct {
	value      manager.Permit
	validUntil manager.Time
}

// needsPermits reports whether the steps of a job need permits.
func (d *Dispatcher) needsPermits(j *recorder.Job) bool { return d.queue(j).Advice.ValidMs > 0 }

// permittedCandidates returns the candidates that may run a step, and requests more permits if their capacity is too
// small.
func (d *Dispatcher) permittedCandidates(now manager.Time, j *recorder.Job, s int, list []*candidate) []*candidate {
	if !d.needsPermits(j) {
		return list
	}
	known := d.stepAdvice(now, StepID{Graph: j.Graph.Graph, Step: s})
	var permitted, unknown []*candidate
	capacity := 0
	for _, w := range list {
		p, ok := known.permits[w.instance]
		switch {
		case ok && now < p.validUntil:
			permitted = append(permitted, w)
			capacity += maxTasks(w.free, &j.Steps[s])
		case !known.denied[w.instance.Worker]:
			unknown = append(unknown, w)
		}
	}
	if capacity < j.Remaining(s)-j.OpenRunsIn(s) && len(unknown) > 0 && !d.advice.inFlight && now >= d.advice.retryAt {
		d.requestAdvice(j, s, unknown)
	}
	return permitted
}

// requestAdvice requests permits for the workers with the most free capacity.
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

// AdviceRequests returns the request to send, if there is one. The next one follows after its result.
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

// stepAdvice returns the advice for a step and removes the advice of steps that are no longer used.
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
		known = &stepAdvice{permits: map[manager.WorkerInstance]permit{}, denied: map[manager.WorkerID]bool{}}
		d.advice.steps[id] = known
	}
	known.usedAt = now
	return known
}

// permit returns the permit of a worker instance for a step, or "".
func (d *Dispatcher) permit(j *recorder.Job, s int, l manager.WorkerInstance) manager.Permit {
	if known := d.advice.steps[StepID{Graph: j.Graph.Graph, Step: s}]; known != nil {
		return known.permits[l].value
	}
	return ""
}

// dropPermit removes the permit of a worker instance that has refused a task, as it may have expired.
func (d *Dispatcher) dropPermit(t manager.TaskID, l manager.WorkerInstance) {
	if known := d.advice.steps[StepID{Graph: t.Graph, Step: t.Step}]; known != nil {
		delete(known.permits, l)
	}
}
