package dispatcher

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// DefaultStateBytes is the default of Options.StateBytes.
	DefaultStateBytes = 32 << 20
	// heldShare is the part of the state that jobs may take which can't start at present. The rest is for the others.
	heldShare = 2
	// uncheckedShare is the part of the state below which no job is refused, so that the use by jobs need not be worked out.
	uncheckedShare = 4
	// acceptedShare is the part beyond the limit that is kept for the occurrences of accepted jobs, and as much again for
	// checkpoints.
	acceptedShare = 8
)

// Reasons for refusing a job.
const (
	reasonStateFull = "the replicated state is full"
	reasonHeldFull  = "the job can't start at present, and too many such jobs wait"
	reasonQueueFull = "the jobs of the queue and customer take too much of the replicated state"
)

// roomOwner names the jobs of a customer in a queue, which share the room that is left with those of others.
type roomOwner struct {
	queue    manager.QueueID
	customer manager.CustomerID
}

// roomUse is what jobs that have not ended take of the replicated state.
type roomUse struct {
	total   int64
	byOwner map[roomOwner]int64
}

func (u *roomUse) add(g *manager.Graph, size int64) {
	u.total += size
	u.byOwner[roomOwner{g.Queue, g.Customer}] += size
}

func (u *roomUse) of(g *manager.Graph) int64 { return u.byOwner[roomOwner{g.Queue, g.Customer}] }

// stateRoom is the use of the replicated state during a cycle.
type stateRoom struct {
	// added is what this cycle adds.
	added int64
	// held is the use by jobs that can't start at present, and ready that by the others. They are worked out when they are
	// needed.
	held, ready roomUse
}

// stateBytes returns the size of the state after this cycle.
func (d *Dispatcher) stateBytes() int64 { return d.State.Bytes() + d.room.added }

// roomOf returns the use by jobs of one kind.
func (d *Dispatcher) roomOf(now manager.Time, held bool) *roomUse {
	r := &d.room
	if r.ready.byOwner == nil {
		r.held, r.ready = roomUse{byOwner: map[roomOwner]int64{}}, roomUse{byOwner: map[roomOwner]int64{}}
		for _, j := range d.State.Active() {
			if d.isHeld(now, j) {
				r.held.add(&j.Graph, j.Bytes())
				continue
			}
			r.ready.add(&j.Graph, j.Bytes())
		}
	}
	if held {
		return &r.held
	}
	return &r.ready
}

// isHeld reports whether a job can't go on at present: it waits for its time, or has a step that no VM can run.
func (d *Dispatcher) isHeld(now manager.Time, j *recorder.Job) bool {
	if j.Repeat.Count > 0 && j.Unfinished == 0 && (j.Unreleased() || !j.HasRemaining()) {
		return true
	}
	p := d.poolOf(j)
	for s := range j.Steps {
		if j.Remaining(s) > j.OpenRunsIn(s) && !d.mayRun(now, p, &j.Steps[s]) {
			return true
		}
	}
	return false
}

// startsHeld reports whether a new job can't start at present.
func (d *Dispatcher) startsHeld(now manager.Time, g *manager.Graph, p manager.PoolID) bool {
	return g.Repeat.Count > 0 && d.schedule.wall < g.Repeat.DueAt(0) ||
		slices.ContainsFunc(g.Steps, func(s manager.GraphStep) bool { return !d.mayRun(now, p, &s) })
}

// mayRun reports whether some VM can run a step. A new dispatcher assumes so until it knows the VMs.
func (d *Dispatcher) mayRun(now manager.Time, p manager.PoolID, step *manager.GraphStep) bool {
	return now.Sub(d.StartedAt) < warmUpTime || d.obtainable(p, step)
}

// takeJobRoom takes the room that a new job needs in the state, or returns why there is none. The jobs of a customer in a queue
// get no more than what is left beside them, so that those that can't be done at present leave room for others.
func (d *Dispatcher) takeJobRoom(now manager.Time, g *manager.Graph, p manager.PoolID) string {
	size, total, limit := recorder.SubmitBytes(g), d.stateBytes(), d.Options.StateBytes
	if total+size > limit/uncheckedShare {
		held := d.startsHeld(now, g, p)
		use := d.roomOf(now, held)
		switch {
		case total+size > limit:
			return reasonStateFull
		case held && use.of(g)+size > limit/heldShare-use.total:
			return reasonHeldFull
		case !held && use.of(g)+size > limit-total:
			return reasonQueueFull
		}
		use.add(g, size)
	}
	d.room.added += size
	return ""
}

// takeOccurrenceRoom takes the room for another occurrence of an accepted job, and reports whether there is any.
func (d *Dispatcher) takeOccurrenceRoom(now manager.Time, j *recorder.Job) bool {
	size, total, limit := recorder.OccurrenceBytes(j), d.stateBytes(), d.Options.StateBytes
	if total+size > limit/uncheckedShare {
		held := d.isHeld(now, j)
		use := d.roomOf(now, held)
		if total+size > limit+limit/acceptedShare || held && use.of(&j.Graph)+size > limit/heldShare-use.total {
			return false
		}
		use.add(&j.Graph, size)
	}
	d.room.added += size
	return true
}

// limitCheckpoint returns the checkpoint of a run that has ended, or none once checkpoints have filled the room that is kept for
// accepted jobs: the task then starts from the one before.
func (d *Dispatcher) limitCheckpoint(id manager.TaskID, saved manager.Checkpoint) manager.Checkpoint {
	size := int64(manager.EncodedLen(string(saved)))
	limit := d.Options.StateBytes + 2*d.Options.StateBytes/acceptedShare
	if size == 0 || d.stateBytes()+size <= limit {
		d.room.added += size
		return saved
	}
	d.logMinor(manager.LogCheckpointNotKept, "RequestID", id.Graph, "Task", id, "Bytes", size, "StateBytes", d.stateBytes(), "LimitBytes", limit)
	return ""
}
