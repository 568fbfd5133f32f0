package dispatcher

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// blamedCrashes is the number of crashes from which a job is given up if it was the only suspect of the latest one.
	blamedCrashes = 4
	// blamedVMs is the least number of different VMs among these crashes, as a VM may be faulty itself.
	blamedVMs = 3
	// maxCrashes is the number of crashes after which a suspect is not started again in any case.
	maxCrashes = 5
	// startTime is the least age of a run, when its worker reports it, that shows that its start did not crash the worker.
	startTime = 100 * manager.Millisecond
	// repeatedCrashes is the number of crashes from which that age is repeatedStartTime, as a task may crash its workers
	// some time after its start.
	repeatedCrashes   = 2
	repeatedStartTime = 1500 * manager.Millisecond
)

// victim is a task that was running on a worker that crashed.
type victim struct {
	id manager.TaskID
	// crashes counts all crashes, suspected those of which the task was a suspect; both include the latest one.
	crashes, suspected int
	suspect            bool
	// starting means that the worker had not shown yet that it runs the task.
	starting bool
	// restarted means that the task was started again since, as the lease of the worker had expired.
	restarted bool
	vms       []manager.VMID
}

// recordCrash counts the crash of a worker instance, which a later one on its VM has shown, and gives up the job that it
// is blamed on.
func (d *Dispatcher) recordCrash(now manager.Time, l manager.WorkerInstance, r manager.WorkerReport, c *recorder.Changes) {
	vm := r.VM
	victims := d.victims(now, l, vm, c)
	if d.sharesRackCrash(now, r, victims, c) && slices.ContainsFunc(victims, d.longRunningVictim) {
		d.log(manager.LogRackCrashed, "Worker", l.Worker, "Born", l.StartedAt, "VM", vm, "Rack", r.Rack, "Tasks", len(victims), "Retracted", len(c.RetractCrash))
		victims = slices.DeleteFunc(victims, d.longRunningVictim)
	}
	if len(victims) == 0 {
		if len(d.State.Expired(l)) > 0 {
			c.ForgetExpired = append(c.ForgetExpired, l)
		}
		return
	}
	crash := recorder.Crash{Instance: l, VM: vm}
	for _, v := range victims {
		crash.Tasks = append(crash.Tasks, v.id)
		if v.suspect {
			crash.Suspects = append(crash.Suspects, v.id)
		}
	}
	c.Crash = append(c.Crash, crash)
	d.noteRackCrash(now, r, crash, victims)
	d.log(manager.LogWorkerCrashed, "Worker", l.Worker, "Born", l.StartedAt, "VM", vm, "Tasks", len(victims), "Suspects", len(crash.Suspects))
	for _, v := range blamed(victims) {
		if slices.Contains(c.GiveUp, v.id.Graph) {
			continue
		}
		c.GiveUp = append(c.GiveUp, v.id.Graph)
		d.log(manager.LogJobGivenUp, "RequestID", v.id.Graph, "Task", v.id, "Crashes", v.suspected, "VMs", v.vms, "Worker", l.Worker)
	}
}

// victims returns the tasks that a crash counts against, in order: those with runs on the worker instance that began
// within CrashWindow or expired within ExpiredRetention, unless the platform was ordered to end the instance or it was about to leave. The suspects are
// those that were just starting, or all if none was.
func (d *Dispatcher) victims(now manager.Time, l manager.WorkerInstance, vm manager.VMID, c *recorder.Changes) []victim {
	w := d.workerOf(l)
	if w != nil && w.latest.Draining {
		return nil
	}
	var list []victim
	add := func(id manager.TaskID, began manager.Time, starting bool, window manager.Duration) {
		if now.Sub(began) <= window && (vm == "" || !d.State.OrderedSince(vm, began)) {
			list = d.addVictim(list, id, l, starting, c)
		}
	}
	for id, r := range d.State.Runs(l) {
		ended := slices.ContainsFunc(c.End, func(e recorder.End) bool { return e.Task == id && e.Run == r.Number })
		if !ended && d.wasOrdered(w, r) {
			add(id, r.At, d.isStarting(w, id, r), recorder.CrashWindow)
		}
	}
	for id, e := range d.State.Expired(l) {
		add(id, e.At, true, recorder.ExpiredRetention)
	}
	slices.SortFunc(list, func(a, b victim) int { return compareTasks(a.id, b.id) })
	all := !slices.ContainsFunc(list, func(v victim) bool { return v.suspect })
	for i := range list {
		if v := &list[i]; v.suspect || all {
			v.suspect, v.suspected, v.vms = true, v.suspected+1, addVM(v.vms, vm)
		}
	}
	return list
}

// addVictim adds a task to the victims of a worker instance, unless its job has ended. Earlier crashes of the cycle count.
func (d *Dispatcher) addVictim(list []victim, id manager.TaskID, l manager.WorkerInstance, starting bool, c *recorder.Changes) []victim {
	j, t := d.State.Task(id)
	if t == nil || t.Done || j.State.Ended() {
		return list
	}
	v := victim{
		id: id, crashes: t.Crashes + 1, suspected: t.Suspected, suspect: starting, starting: starting, restarted: t.Open != nil && t.Open.Instance != l, vms: t.CrashedOn,
	}
	for _, other := range c.Crash {
		if slices.Contains(other.Tasks, id) {
			v.crashes++
		}
		if slices.Contains(other.Suspects, id) {
			v.suspected++
			v.vms = addVM(v.vms, other.VM)
		}
	}
	return append(list, v)
}

// workerOf returns a worker if it is the given instance, and nil otherwise.
func (d *Dispatcher) workerOf(l manager.WorkerInstance) *worker {
	if w := d.workers[l.Worker]; w != nil && w.instance == l {
		return w
	}
	return nil
}

// wasOrdered reports whether the order to start a run may have been sent.
func (d *Dispatcher) wasOrdered(w *worker, r *recorder.Run) bool {
	return w == nil || r.At < d.StartedAt || w.answeredAt >= r.At
}

// mayHaveCrashed reports whether a worker instance may have crashed when it started a task.
func (d *Dispatcher) mayHaveCrashed(l manager.WorkerInstance, id manager.TaskID, r *recorder.Run) bool {
	w := d.workerOf(l)
	return (w == nil || !w.latest.Draining) && d.wasOrdered(w, r) && d.isStarting(w, id, r)
}

// isStarting reports whether a worker, which is nil if it has not reported to this dispatcher, has not shown yet that it
// runs a task. A predecessor has heard of the older runs, unless it was elected within a lease itself.
func (d *Dispatcher) isStarting(w *worker, id manager.TaskID, r *recorder.Run) bool {
	if w == nil {
		return d.initialStateAt.Sub(r.At) < 2*d.leaseTimeout()
	}
	least := startTime
	if _, t := d.State.Task(id); t != nil && t.Crashes >= repeatedCrashes {
		least = repeatedStartTime
	}
	return w.running[id].Run != r.Number || w.heardAt.Sub(r.At) < least
}

// addVM returns a list that also contains a VM, and leaves the original unchanged.
func addVM(list []manager.VMID, vm manager.VMID) []manager.VMID {
	if vm == "" || slices.Contains(list, vm) {
		return list
	}
	return append(slices.Clone(list), vm)
}

// blamed returns the victims whose jobs are to be given up. Below maxCrashes the workers may have crashed by themselves,
// so the job must be the only suspect, no other victim may have had as many crashes, and they must be on several VMs.
func blamed(victims []victim) []victim {
	var list []victim
	for _, v := range victims {
		if v.suspect && (v.suspected >= maxCrashes || v.restarted && v.suspected >= maxCrashes-1) {
			list = append(list, v)
		}
	}
	if len(list) > 0 {
		return list
	}
	top := slices.MaxFunc(victims, func(a, b victim) int { return cmp.Or(a.suspected-b.suspected, a.crashes-b.crashes) })
	if !top.suspect {
		return nil
	}
	highest := true
	for _, v := range victims {
		if v.id.Graph != top.id.Graph && v.suspect {
			return nil
		}
		highest = highest && (v.id.Graph == top.id.Graph || v.crashes < top.crashes)
	}
	if top.crashes >= maxCrashes || highest && top.suspected >= blamedCrashes && len(top.vms) >= blamedVMs {
		return []victim{top}
	}
	return nil
}

// recordOlderInstances ends the runs of the earlier instances of a worker and of its VM, and counts their crashes.
func (d *Dispatcher) recordOlderInstances(now manager.Time, r manager.WorkerReport, c *recorder.Changes) {
	older := d.olderInstances(r)
	if len(older) == 0 {
		// A worker without runs shows, too, that its rack has crashed.
		d.sharesRackCrash(now, r, nil, c)
	}
	for _, l := range older {
		d.recordCrash(now, l, r, c)
		d.endLostRuns(now, l, lossLaterInstance, c)
	}
}

// recordedInstances indexes the worker instances with open or expired runs.
type recordedInstances struct {
	byWorker map[manager.WorkerID][]manager.WorkerInstance
	byVM     map[manager.VMID][]manager.WorkerInstance
}

// olderInstances returns, in order, the earlier instances of a worker and of its VM that have open or expired runs.
func (d *Dispatcher) olderInstances(r manager.WorkerReport) []manager.WorkerInstance {
	if d.recorded == nil {
		// A new dispatcher hears of thousands of workers within a few cycles.
		d.recorded = d.indexInstances()
	}
	list := slices.Clone(d.recorded.byWorker[r.Instance.Worker])
	if r.VM != "" {
		list = append(list, d.recorded.byVM[r.VM]...)
	}
	list = slices.DeleteFunc(list, func(l manager.WorkerInstance) bool { return l.StartedAt >= r.Instance.StartedAt })
	return slices.Compact(sortInstances(list))
}

func (d *Dispatcher) indexInstances() *recordedInstances {
	x := &recordedInstances{byWorker: map[manager.WorkerID][]manager.WorkerInstance{}, byVM: map[manager.VMID][]manager.WorkerInstance{}}
	all := func(manager.WorkerInstance) bool { return true }
	for _, l := range slices.Concat(d.State.Instances(all), d.State.ExpiredInstances(all)) {
		x.byWorker[l.Worker] = append(x.byWorker[l.Worker], l)
		if vm := d.State.VMOf(l); vm != "" {
			x.byVM[vm] = append(x.byVM[vm], l)
		}
	}
	return x
}

// clearCrashes clears the crashes of tasks whose runs a worker has reported for longer than CrashWindow, and the expired
// runs of a worker that reports again.
func (d *Dispatcher) clearCrashes(now manager.Time, w *worker, c *recorder.Changes) {
	if len(d.State.Expired(w.instance)) > 0 {
		c.ForgetExpired = append(c.ForgetExpired, w.instance)
	}
	for _, r := range w.latest.Running {
		_, t := d.State.Task(r.Task)
		if t == nil || t.Crashes == 0 || t.Open == nil || t.Open.Number != r.Run || t.Open.Instance != w.instance {
			continue
		}
		if now.Sub(t.Open.At) > recorder.CrashWindow {
			c.ClearCrashes = append(c.ClearCrashes, r.Task)
		}
	}
}
