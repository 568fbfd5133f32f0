package dispatcher

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// stepRacks is what is known of the racks of a step whose tasks should share one. It is not replicated: a new dispatcher
// sees the racks of the open runs only.
type stepRacks struct {
	// chosen is the rack that was chosen for the tasks; anywhere means that the step is not kept on one rack.
	chosen   manager.Label
	anywhere bool
	// first is the rack of the first start, and several means that tasks have started on others too.
	first   manager.Label
	several bool
	// cycle is the cycle of the latest start.
	cycle uint64
}

// onRack reports whether a worker is on a rack.
func (w *worker) onRack(rack manager.Label) bool {
	return w.latest.Rack == rack || slices.Contains(w.latest.Labels, rack)
}

// stepRacks returns what is known of the racks of a step.
func (d *Dispatcher) stepRacks(j *recorder.Job, s int) *stepRacks {
	id := StepID{Graph: j.Graph.Graph, Step: s}
	if known := d.locality.steps[id]; known != nil {
		return known
	}
	known := &stepRacks{}
	for i := range j.Tasks[s] {
		r := j.Tasks[s][i].Open
		if r == nil {
			continue
		}
		if w := d.workers[r.Instance.Worker]; w != nil && w.instance == r.Instance {
			known.add(w.latest.Rack)
		}
	}
	d.locality.steps[id] = known
	return known
}

// add adds the rack of a start.
func (k *stepRacks) add(rack manager.Label) {
	switch {
	case rack == "" || rack == k.first:
	case k.first == "":
		k.first = rack
	default:
		k.several = true
	}
}

// noteStart records a proposed start for the forecasts, and the rack of a step whose tasks should share one.
func (d *Dispatcher) noteStart(j *recorder.Job, s int, w *worker) {
	if !d.waitsEnabled() {
		return
	}
	if !j.Steps[s].LongRunning {
		d.noteRelease(w, &j.Steps[s], d.times.task(j.Queue, j.Steps[s]))
	}
	if !j.Steps[s].PreferSameRack {
		return
	}
	known := d.stepRacks(j, s)
	if known.cycle != d.locality.cycle && j.OpenRunsIn(s) == 0 && (j.Steps[s].Gang || j.Remaining(s) == j.Steps[s].Count) {
		// The earlier runs were lost, or the gang starts again.
		known.first, known.several = "", false
	}
	known.cycle = d.locality.cycle
	known.add(w.latest.Rack)
}

// slowdown returns how many times as long as near its data or its group a run on a worker lasts.
func (d *Dispatcher) slowdown(w *worker, id manager.TaskID) float64 {
	j := d.State.Jobs[id.Graph]
	if !d.waitsEnabled() || j == nil || len(j.Tasks) == 0 {
		return 1
	}
	step := &j.Steps[id.Step]
	if step.DataRack != "" && !w.onRack(step.DataRack) || step.PreferSameRack && d.stepRacks(j, id.Step).several {
		return d.Options.RemoteFactor
	}
	return 1
}

// recordedSlowdown returns the slowdown that is recorded with the end of a run, or 0 if it is none.
func (d *Dispatcher) recordedSlowdown(w *worker, e manager.EndedRun) float64 {
	if f := d.slowdown(w, e.Task); f > 1 && e.How == manager.RunDone {
		return f
	}
	return 0
}

// rackFor returns the rack near which the tasks of a step should run, or "" if any is as good.
func (d *Dispatcher) rackFor(now manager.Time, r *jobRank, s int, list []*candidate) manager.Label {
	j := r.job
	step := &j.Steps[s]
	if !step.PreferSameRack {
		return step.DataRack
	}
	known := d.stepRacks(j, s)
	switch {
	case known.several || known.anywhere:
		return ""
	case known.first != "":
		return known.first
	case step.DataRack != "":
		return step.DataRack
	case known.chosen != "" && len(d.rackForecast(now, rackID{pool: d.poolOf(j), rack: known.chosen}).workers) > 0:
		return known.chosen
	}
	return d.chooseRack(now, r, s, list)
}

// chooseRack chooses a rack for all tasks of a step, or returns "" if they are expected to complete earlier on several.
func (d *Dispatcher) chooseRack(now manager.Time, r *jobRank, s int, list []*candidate) manager.Label {
	j := r.job
	known := d.stepRacks(j, s)
	best, most, total := freestRack(&j.Steps[s], list)
	switch {
	case total == 0:
		return ""
	case most >= j.Remaining(s):
		known.chosen = best
		return best
	}
	soonest := d.soonestRack(now, r, s, sortedRacks(list))
	soonest.contested = d.contested(now, j, s, list)
	in := d.localityInput(now, r, manager.TaskID{Graph: j.Graph.Graph, Step: s}, soonest)
	if soonest.rack == "" || !d.Options.Locality.Decide(in).Wait {
		known.anywhere = true
		return ""
	}
	known.chosen = soonest.rack
	return soonest.rack
}

// freestRack returns the rack that accepts the most tasks of a step now, how many it does, and how many all workers do.
func freestRack(step *manager.GraphStep, list []*candidate) (best manager.Label, most, total int) {
	free := map[manager.Label]int{}
	for _, w := range list {
		if w.polling && !w.movePending && (step.Requires == "" || slices.Contains(w.latest.Labels, step.Requires)) {
			free[w.latest.Rack] += maxTasks(w.free, step)
		}
	}
	for _, rack := range sortedRacks(list) {
		total += free[rack]
		if rack != "" && free[rack] > most {
			best, most = rack, free[rack]
		}
	}
	return best, most, total
}

// soonestRack returns the forecast of the rack that is expected to have had capacity for all waiting tasks of a step first.
// Its rack is "" if there is none.
func (d *Dispatcher) soonestRack(now manager.Time, r *jobRank, s int, racks []manager.Label) nearForecast {
	j := r.job
	local := d.times.task(j.Queue, j.Steps[s])
	var best nearForecast
	for _, rack := range racks {
		if rack == "" {
			continue
		}
		f := d.rackForecast(now, rackID{pool: d.poolOf(j), rack: rack})
		at, ok := f.all(d, &j.Steps[s], j.Remaining(s)-j.OpenRunsIn(s), local)
		if ok && (best.rack == "" || at < best.at) {
			best = nearForecast{rack: rack, at: at, ahead: f.waiting, turnMs: f.turn(&j.Steps[s], local)}
		}
	}
	return best
}

// sortedRacks returns the racks of the candidates in order.
func sortedRacks(list []*candidate) []manager.Label {
	var racks []manager.Label
	for _, w := range list {
		racks = append(racks, w.latest.Rack)
	}
	slices.Sort(racks)
	return slices.Compact(racks)
}
