package dispatcher

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// holding is what follows from a worker's runs and its latest report. It changes only with a report or a commit
// that names the worker, while each step asks for it for every worker.
type holding struct {
	// room is what is free; what is being stopped still counts.
	room manager.Resources
	// lasting is what lasting tasks take.
	lasting manager.Resources
	// finite tells whether a task that ends by itself may run.
	finite bool
	// foreign tells whether the worker runs something that the book holds no open run of.
	foreign bool
}

// holds returns what a worker holds.
func (d *Dispatcher) holds(w *worker) *holding {
	if w.heldStale {
		w.held, w.heldStale = d.survey(w), false
	}
	return &w.held
}

// survey works out what a worker holds.
func (d *Dispatcher) survey(w *worker) holding {
	h := holding{room: w.latest.Capacity}
	for id := range d.State.Runs(w.life) {
		h.room = h.room.Sub(d.taskRoom(id))
		if j := d.State.Jobs[id.Graph]; j != nil && j.Steps[id.Step].Lasting {
			h.lasting = h.lasting.Add(stepRoom(j.Steps[id.Step]))
		} else {
			h.finite = true
		}
	}
	for id, r := range w.running {
		if o := d.State.OpenRun(id, r.Run); o == nil || o.Instance != w.life {
			h.foreign = true
		}
	}
	return h
}

// invalidateUsage asks anew for what the workers hold that changes name; it is called before they are applied.
func (d *Dispatcher) invalidateUsage(c *recorder.Changes) {
	stale := func(l manager.WorkerLife) {
		if w := d.workers[l.Worker]; w != nil && w.life == l {
			w.heldStale = true
		}
	}
	for _, s := range c.Start {
		stale(s.Instance)
	}
	for _, e := range c.End {
		if r := d.State.OpenRun(e.Task, e.Run); r != nil {
			stale(r.Instance)
		}
	}
}
