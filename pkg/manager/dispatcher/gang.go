package dispatcher

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// placeGang starts all tasks of a gang at once, or none: a part of them would be of no use, so capacity for a part is
// left to other jobs.
func (d *Dispatcher) placeGang(now manager.Time, r *jobRank, s int, list []*candidate, c *recorder.Changes) {
	j := r.job
	run := j.NextGangRun(s)
	if run == 0 {
		return
	}
	if !d.fitsCap(j, s, j.Steps[s].Count) {
		d.holdForCap(j, s, j.Steps[s].Count)
		return
	}
	places := d.gangPlaces(now, j, s, list)
	if places == nil {
		d.backlog[d.poolOf(j)] = true
		return
	}
	if d.gangWaits(now, r, s, places, list) {
		return
	}
	starts := make([]recorder.Start, len(places))
	for i, w := range places {
		starts[i] = d.start(j, s, i, run, w)
	}
	if !d.addStarts(starts, c) {
		return
	}
	for i, w := range places {
		w.assign(j.Steps[s], &j.Tasks[s][i], nil)
	}
	d.endGangWait(now, j, s, places)
}

// gangPlaces returns a worker for each task of a gang, or nil. If the step asks for one rack, it tries each rack first.
func (d *Dispatcher) gangPlaces(now manager.Time, j *recorder.Job, s int, list []*candidate) []*candidate {
	step := j.Steps[s]
	if step.PreferSameRack {
		racks := map[manager.Label][]*candidate{}
		for _, w := range list {
			racks[w.latest.Rack] = append(racks[w.latest.Rack], w)
		}
		order := slices.SortedFunc(maps.Keys(racks), func(a, b manager.Label) int {
			// The rack that holds the data is tried first.
			return cmp.Or(-cmp.Compare(rackPreference(step, a), rackPreference(step, b)), cmp.Compare(a, b))
		})
		for _, rack := range order {
			if places := fitGang(now, step, j.Tasks[s], racks[rack]); places != nil {
				return places
			}
		}
	}
	return fitGang(now, step, j.Tasks[s], list)
}

func rackPreference(step manager.GraphStep, rack manager.Label) int {
	if step.DataRack == rack {
		return 1
	}
	return 0
}

// fitGang finds capacity for all tasks on the listed workers, or returns nil. The free capacity of the workers is
// unchanged afterwards.
func fitGang(now manager.Time, step manager.GraphStep, tasks []recorder.Task, list []*candidate) []*candidate {
	var places []*candidate
	counts := map[manager.WorkerInstance]int{}
	need := step.Reserved()
	for i := range tasks {
		w := chooseWorker(now, step, &tasks[i], counts, list)
		if w == nil {
			break
		}
		w.free = w.free.Sub(need)
		counts[w.instance]++
		places = append(places, w)
	}
	for _, w := range places {
		w.free = w.free.Add(need)
	}
	if len(places) < len(tasks) {
		return nil
	}
	return places
}
