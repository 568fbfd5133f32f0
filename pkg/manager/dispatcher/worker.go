package dispatcher

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// clockSlackPercent is by how much a worker's clock may be slow.
	clockSlackPercent = 2
	// leaseSlack covers the rounding of both clocks.
	leaseSlack = 150 * manager.Millisecond
	// expirePeriod is the pause between two looks for leases that have ended: it goes through all workers.
	expirePeriod = 100 * manager.Millisecond
	// keepSilent is how long a worker without runs stays known after its lease.
	keepSilent = 10 * manager.Second
)

// worker is what the dispatcher knows of one life of a worker.
type worker struct {
	life    manager.WorkerLife
	latest  manager.WorkerReport
	heardAt manager.Time
	running map[manager.TaskID]manager.RunningTask
	acked   uint64
	ending  bool
	ticket  CallID
	// holdsPlace counts the worker among those that report here, and until invitedUntil as it was asked to.
	holdsPlace   bool
	invitedUntil manager.Time
	// forwarded says that the latest report came through another node.
	forwarded bool
	parked    bool
	parkedAt  manager.Time
	// lapsedUntil is when the lease of everything on the worker has ended for certain.
	lapsedUntil manager.Time
	// evacuating bars new starts, as the VM is to be moved or kept up.
	evacuating  bool
	evacuatedAt manager.Time
	metAt       manager.Time
	// leaving bars new starts, as the VM goes to another pool once it is empty.
	leaving    bool
	idleSince  manager.Time
	health     health
	pace       map[manager.TaskID]manager.Percent
	paceOrders []manager.PaceOrder
	// ordersChanged says that the worker's orders may have changed since they were last made.
	ordersChanged bool
	// held caches what follows from the worker's runs and its latest report; heldStale asks for it anew.
	held      holding
	heldStale bool
	// unseen says that the latest report was not looked at for stalls yet.
	unseen   bool
	sentStop map[manager.TaskID]manager.Time
	progress map[manager.TaskID]progressMark
}

// progressMark is the latest progress of a run and when it was first seen.
type progressMark struct {
	run   manager.RunNumber
	value manager.Percent
	since manager.Time
}

func (d *Dispatcher) handleReport(now manager.Time, e Event, c *recorder.Changes) []Answer {
	t, r := e.Call, *e.Report
	w := d.workers[r.Life.Worker]
	stale := []Answer{{Call: t, Orders: &manager.WorkerOrders{Token: d.Token}}}
	if w != nil && (r.Life.Born < w.life.Born || r.Life == w.life && r.Sequence <= w.latest.Sequence) {
		return stale
	}
	if d.superseded(r) {
		return stale
	}
	if w == nil || w.life != r.Life {
		w = d.addWorker(now, r, c)
	}
	var answers []Answer
	if w.parked {
		answers = append(answers, Answer{Call: w.ticket, Orders: &manager.WorkerOrders{Token: d.Token}})
	}
	if r.Draining && !w.latest.Draining {
		d.log(manager.LogWorkerDrains, "Worker", w.life.Worker, "RemainingMs", r.RemainingMs)
	}
	d.countDirect(now, w, e.Forwarded)
	w.latest, w.heardAt = r, now
	w.ticket, w.parked, w.parkedAt, w.ordersChanged = t, true, now, true
	w.heldStale, w.unseen = true, true
	d.recordEnds(now, w, c)
	d.updateRunning(now, w)
	d.endStoppedRuns(now, w, c)
	w.paceOrders = d.paces(w)
	return answers
}

// stopDeliveryTime is the time after which an answer with a stop has surely reached its worker or never will.
const stopDeliveryTime = 1500 * manager.Millisecond

// endStoppedRuns ends the runs that were stopped before they began: the worker refuses them from then on.
func (d *Dispatcher) endStoppedRuns(now manager.Time, w *worker, c *recorder.Changes) {
	for id, at := range w.sentStop {
		if _, ok := w.running[id]; ok || now.Sub(at) < stopDeliveryTime {
			continue
		}
		r := d.State.Runs(w.life)[id]
		if r == nil {
			delete(w.sentStop, id)
			continue
		}
		ended := slices.ContainsFunc(w.latest.Ended, func(e manager.EndedRun) bool { return e.Task == id && e.Run == r.Number })
		if j := d.State.Jobs[id.Graph]; !ended && j != nil && j.State.Ended() {
			c.End = append(c.End, recorder.End{Task: id, Run: r.Number, How: manager.RunStopped})
		}
	}
}

// superseded tells whether a later life is known on the report's VM or at its address.
func (d *Dispatcher) superseded(r manager.WorkerReport) bool {
	for _, o := range []*worker{d.byVM[r.VM], d.byAddress[r.Address]} {
		if o != nil && o.life.Worker != r.Life.Worker && o.life.Born > r.Life.Born {
			return true
		}
	}
	return false
}

// addWorker makes a new life known and ends what older lives of the worker, the VM and the address held.
func (d *Dispatcher) addWorker(now manager.Time, r manager.WorkerReport, c *recorder.Changes) *worker {
	w := &worker{
		life: r.Life, metAt: now, running: map[manager.TaskID]manager.RunningTask{}, pace: map[manager.TaskID]manager.Percent{},
		sentStop: map[manager.TaskID]manager.Time{}, progress: map[manager.TaskID]progressMark{},
	}
	// A dispatcher that took over does not know what its predecessor granted.
	w.lapsedUntil = max(now, d.StartedAt).Add(d.leaseEnd())
	older := func(l manager.WorkerLife) bool { return l.Worker == r.Life.Worker && l.Born < r.Life.Born }
	for _, l := range d.sortedLives(older) {
		d.lose(l, c)
	}
	for _, o := range []*worker{d.byVM[r.VM], d.byAddress[r.Address]} {
		if o != nil && o.life != r.Life && o.life.Born < r.Life.Born {
			d.lose(o.life, c)
			d.forget(o)
		}
	}
	if r.VM != "" {
		d.byVM[r.VM] = w
	}
	d.byAddress[r.Address] = w
	d.workers[r.Life.Worker] = w
	d.workersByID = nil
	d.log(manager.LogWorkerKnown, "Worker", w.life.Worker, "Born", w.life.Born, "VM", r.VM, "Pool", r.Pool, "Sequence", r.Sequence)
	return w
}

// lapse returns when the lease of a life has ended for certain.
func (d *Dispatcher) lapse(l manager.WorkerLife) manager.Time {
	if w := d.workers[l.Worker]; w != nil && w.life == l {
		return w.lapsedUntil
	}
	return d.StartedAt.Add(d.leaseEnd())
}

// sortedLives returns the lives with open runs that pass, in order.
func (d *Dispatcher) sortedLives(pass func(manager.WorkerLife) bool) []manager.WorkerLife {
	list := d.State.Instances(pass)
	slices.SortFunc(list, func(a, b manager.WorkerLife) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Born, b.Born))
	})
	return list
}

func (d *Dispatcher) leaseEnd() manager.Duration {
	return d.Options.LeaseMs + d.Options.LeaseMs*clockSlackPercent/100 + leaseSlack
}

// lose ends the runs of a life that is over.
func (d *Dispatcher) lose(l manager.WorkerLife, c *recorder.Changes) {
	for _, id := range sortedTasks(d.State.Runs(l)) {
		r := d.State.Runs(l)[id]
		if slices.ContainsFunc(c.End, func(e recorder.End) bool { return e.Task == id && e.Run == r.Number }) {
			continue
		}
		c.End = append(c.End, recorder.End{Task: id, Run: r.Number, How: manager.RunLost})
		d.log(manager.LogRunLost, "RequestID", id.Graph, "Task", id, "Run", r.Number, "Worker", l.Worker, "Born", l.Born)
	}
}

func sortedTasks(m map[manager.TaskID]*recorder.Run) []manager.TaskID {
	list := make([]manager.TaskID, 0, len(m))
	for id := range m {
		list = append(list, id)
	}
	slices.SortFunc(list, compareTasks)
	return list
}

func compareTasks(a, b manager.TaskID) int {
	return cmp.Or(cmp.Compare(a.Graph, b.Graph), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Task, b.Task))
}

// recordEnds proposes the ends that the book does not know yet.
func (d *Dispatcher) recordEnds(now manager.Time, w *worker, c *recorder.Changes) {
	w.ending = false
	for _, e := range w.latest.Ended {
		w.acked = max(w.acked, e.Number)
		r := d.State.OpenRun(e.Task, e.Run)
		if r == nil || r.Instance != w.life {
			continue
		}
		w.ending = true
		c.End = append(c.End, recorder.End{Task: e.Task, Run: e.Run, How: e.How, Saved: e.Saved})
		w.health.take(now, e.How)
		if e.How == manager.RunRefused {
			d.dropPermit(e.Task, w.life)
		}
		d.logMinor(manager.LogRunEnded, "RequestID", e.Task.Graph, "Task", e.Task, "Run", e.Run, "How", e.How, "Worker", w.life.Worker, "RanMs", now.Sub(r.At))
	}
}

func (d *Dispatcher) updateRunning(now manager.Time, w *worker) {
	clear(w.running)
	for _, r := range w.latest.Running {
		w.running[r.Task] = r
		m, ok := w.progress[r.Task]
		if !ok || m.run != r.Run || m.value != r.Progress {
			w.progress[r.Task] = progressMark{run: r.Run, value: r.Progress, since: now}
		}
	}
	for id := range w.progress {
		if _, ok := w.running[id]; !ok {
			delete(w.progress, id)
			delete(w.pace, id)
			delete(w.sentStop, id)
		}
	}
}

// handleLeave forgets a worker that said it is gone. It may name no life, so that only one that drains is taken
// at its word: the farewell of an earlier life can be late.
func (d *Dispatcher) handleLeave(l manager.WorkerLife, c *recorder.Changes) {
	w := d.workers[l.Worker]
	if w == nil || !w.latest.Draining || l.Born != 0 && l.Born < w.life.Born {
		return
	}
	d.lose(w.life, c)
	d.forget(w)
	d.log(manager.LogWorkerLeft, "Worker", l.Worker)
}

func (d *Dispatcher) forget(w *worker) {
	if d.workers[w.life.Worker] == w {
		d.release(w)
		delete(d.workers, w.life.Worker)
		d.workersByID = nil
	}
	if d.byVM[w.latest.VM] == w {
		delete(d.byVM, w.latest.VM)
	}
	if d.byAddress[w.latest.Address] == w {
		delete(d.byAddress, w.latest.Address)
	}
}

// expireLeases ends the runs of workers whose leases have ended for certain.
func (d *Dispatcher) expireLeases(now manager.Time, c *recorder.Changes) {
	if now.Sub(d.leasesCheckedAt) < expirePeriod {
		return
	}
	d.leasesCheckedAt = now
	for _, l := range d.sortedLives(func(l manager.WorkerLife) bool { return now > d.lapse(l) }) {
		d.lose(l, c)
	}
	for _, w := range d.sortedWorkers() {
		if now > w.lapsedUntil.Add(keepSilent) && !w.parked {
			d.forget(w)
			d.log(manager.LogWorkerGone, "Worker", w.life.Worker, "SilentMs", now.Sub(w.heardAt))
		}
	}
}

func (d *Dispatcher) taskRoom(id manager.TaskID) manager.Resources {
	j := d.State.Jobs[id.Graph]
	if j == nil {
		return manager.Resources{}
	}
	return stepRoom(j.Steps[id.Step])
}

// stepRoom returns what a task of the step counts for against a worker's capacity.
func stepRoom(s manager.GraphStep) manager.Resources {
	r := s.Room
	if s.Filler {
		r.ProcessorMilliCores = 0
	}
	return r
}
