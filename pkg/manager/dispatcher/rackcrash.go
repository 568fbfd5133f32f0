package dispatcher

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// rackCrashSize is the number of workers of a rack that crash together from which the rack is taken to be the cause.
	rackCrashSize = 2
	// rackRestartSpread is how far apart the workers of a rack start after they lost power together. Workers that crashed
	// under their tasks come back one by one, seconds apart.
	rackRestartSpread = 300 * manager.Millisecond
	// rackCrashMemory is how long a crash is remembered until the others of its rack report.
	rackCrashMemory = 5 * manager.Second
)

// rackCrash is a crash that was counted against tasks, with the rack of the worker.
type rackCrash struct {
	crash recorder.Crash
	// starting are the jobs with tasks that were just starting on the worker.
	starting []manager.GraphID
	rack     manager.Label
	// restartedAt is the start of the instance that showed the crash.
	restartedAt manager.Time
	at          manager.Time
	// retracted means that the crash counts against no long-running task any more.
	retracted bool
}

// longRunningVictim reports whether a victim is a long-running task. Only these are spared when a rack crashes: a job of theirs
// that is given up stops the tasks that still serve, while a finite task that crashes its workers now and then would come
// to more starts than its limit.
func (d *Dispatcher) longRunningVictim(v victim) bool { return d.isLongRunning(v.id) }

func (d *Dispatcher) isLongRunning(id manager.TaskID) bool {
	j := d.State.Jobs[id.Graph]
	return j != nil && j.Steps[id.Step].LongRunning
}

// sharesRackCrash reports whether the worker of a report, with these victims, crashed together with others of its rack, and
// retracts what the crashes of those counted against long-running tasks. It is made for racks that lose power again and
// again: each time all tasks there lose their workers, and sound jobs would be given up as the cause. A job that was just
// starting on each of the workers may have crashed them all.
func (d *Dispatcher) sharesRackCrash(now manager.Time, r manager.WorkerReport, victims []victim, c *recorder.Changes) bool {
	d.rackCrashes = slices.DeleteFunc(d.rackCrashes, func(k *rackCrash) bool { return now.Sub(k.at) > rackCrashMemory })
	var counted []*rackCrash
	for _, k := range d.rackCrashes {
		if restartedTogether(r, k.rack, k.restartedAt) {
			counted = append(counted, k)
		}
	}
	if r.Rack == "" || len(victims)+len(counted) == 0 {
		// A new dispatcher hears of thousands of workers in a cycle; nearly none of them has crashed.
		return false
	}
	restarted := 1
	for _, w := range d.workers {
		if w.instance.Worker != r.Instance.Worker && restartedTogether(r, w.latest.Rack, w.instance.StartedAt) {
			restarted++
		}
	}
	if restarted < rackCrashSize {
		return false
	}
	if startsOnAll(startingJobs(victims), counted, restarted) {
		return false
	}
	for _, k := range counted {
		d.retractCrash(k, c)
	}
	return true
}

// restartedTogether reports whether a worker is of the rack of a report's worker and started at about the same time.
func restartedTogether(r manager.WorkerReport, rack manager.Label, startedAt manager.Time) bool {
	apart := startedAt.Sub(r.Instance.StartedAt)
	return rack == r.Rack && max(apart, -apart) <= rackRestartSpread
}

// startsOnAll reports whether one of the jobs was also just starting on the workers of all other crashes.
func startsOnAll(jobs []manager.GraphID, crashes []*rackCrash, workers int) bool {
	return len(crashes) == workers-1 && slices.ContainsFunc(jobs, func(id manager.GraphID) bool {
		return !slices.ContainsFunc(crashes, func(k *rackCrash) bool { return !slices.Contains(k.starting, id) })
	})
}

// retractCrash takes back what a crash counted against long-running tasks.
func (d *Dispatcher) retractCrash(k *rackCrash, c *recorder.Changes) {
	if k.retracted {
		return
	}
	k.retracted = true
	finite := func(id manager.TaskID) bool { return !d.isLongRunning(id) }
	retract := recorder.Crash{
		Instance: k.crash.Instance, VM: k.crash.VM, Tasks: slices.DeleteFunc(slices.Clone(k.crash.Tasks), finite),
		Suspects: slices.DeleteFunc(slices.Clone(k.crash.Suspects), finite),
	}
	if len(retract.Tasks) > 0 {
		c.RetractCrash = append(c.RetractCrash, retract)
	}
}

// startingJobs returns the jobs of the victims that were just starting.
func startingJobs(victims []victim) []manager.GraphID {
	var list []manager.GraphID
	for _, v := range victims {
		if v.starting && !slices.Contains(list, v.id.Graph) {
			list = append(list, v.id.Graph)
		}
	}
	return list
}

// noteRackCrash remembers a crash that was counted until the other workers of its rack have reported.
func (d *Dispatcher) noteRackCrash(now manager.Time, r manager.WorkerReport, crash recorder.Crash, victims []victim) {
	if r.Rack != "" {
		d.rackCrashes = append(d.rackCrashes, &rackCrash{crash: crash, starting: startingJobs(victims), rack: r.Rack, restartedAt: r.Instance.StartedAt, at: now})
	}
}
