package dispatcher

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// gangWaits decides whether a gang that could start on several racks, or remote from its data, waits for one rack.
func (d *Dispatcher) gangWaits(now manager.Time, r *jobRank, s int, places, list []*candidate) bool {
	j := r.job
	step := &j.Steps[s]
	if !d.waitsEnabled() || step.LongRunning || gangIsNear(step, places) {
		return false
	}
	racks := []manager.Label{step.DataRack}
	if step.DataRack == "" {
		racks = sortedRacks(list)
	}
	soonest := d.soonestRack(now, r, s, racks)
	if _, wait := d.waitFor(now, r, manager.TaskID{Graph: j.Graph.Graph, Step: s}, soonest); !wait {
		return false
	}
	f := d.rackForecast(now, rackID{pool: d.poolOf(j), rack: soonest.rack})
	local := d.times.task(j.Queue, *step)
	for range places {
		if w, at := f.earliest(d, step); w != nil {
			w.reserve(at, step, local)
		}
	}
	f.waiting += len(places)
	return true
}

// gangIsNear reports whether a gang's places are as near to its data and to each other as its step asks.
func gangIsNear(step *manager.GraphStep, places []*candidate) bool {
	for _, w := range places {
		if step.DataRack != "" && !w.onRack(step.DataRack) || step.PreferSameRack && w.latest.Rack != places[0].latest.Rack {
			return false
		}
	}
	return true
}

// holdsGang reports whether a gang waits for a rack in this cycle.
func (d *Dispatcher) holdsGang(now manager.Time, j *recorder.Job, s int) bool {
	w := d.locality.waits[manager.TaskID{Graph: j.Graph.Graph, Step: s}]
	return w != nil && w.at == now
}

// endGangWait ends the wait of a gang that starts.
func (d *Dispatcher) endGangWait(now manager.Time, j *recorder.Job, s int, places []*candidate) {
	id := manager.TaskID{Graph: j.Graph.Graph, Step: s}
	if d.locality.waits[id] == nil {
		return
	}
	reason := manager.LocalityTooLong
	if gangIsNear(&j.Steps[s], places) {
		reason = manager.LocalityNear
	}
	local := d.times.task(j.Queue, j.Steps[s])
	d.endWait(now, id, reason, d.remoteTime(local)-local)
}
