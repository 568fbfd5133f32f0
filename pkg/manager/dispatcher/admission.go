package dispatcher

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/retrier"
)

const (
	// refusalRetention is how long a duplicate of a refused submit may still arrive.
	refusalRetention = 10 * manager.Second
	// warmUpTime is how long a new dispatcher refuses no job, as it doesn't know all workers and VMs yet.
	warmUpTime = 5 * manager.Second
	// minRetryAfter is the least pause that a refused caller is asked for.
	minRetryAfter = 1 * manager.Second
	// maxRetryAfter is the longest pause: the capacity of a pool may have changed by then.
	maxRetryAfter = 10 * manager.Second
)

// refusal is a job that was refused. Until its time a delayed duplicate of its submit is refused too.
type refusal struct {
	until   manager.Time
	surplus bool
	// reason is set if the replicated state had no room for the job.
	reason string
}

// handleSubmit accepts a job, or refuses it at once if it can't be served in time.
func (d *Dispatcher) handleSubmit(now manager.Time, call CallID, g manager.Graph, c *recorder.Changes) []Answer {
	refuse := func(err error) []Answer { return []Answer{{Call: call, Err: err}} }
	if j := d.State.Jobs[g.Graph]; j != nil {
		if j.Customer != g.Customer {
			return refuse(errOtherCustomer(g.Graph))
		}
		return []Answer{{Call: call}}
	}
	if owner, ok := d.submitted[g.Graph]; ok {
		if owner != g.Customer {
			return refuse(errOtherCustomer(g.Graph))
		}
		return d.awaitCommit(call)
	}
	if r, ok := d.refused[g.Graph]; ok && now < r.until {
		return refuse(manager.ErrOverloaded{RetryAfterMs: r.until.Sub(now), Reason: r.reason})
	}
	if d.State.Configuration == nil {
		return refuse(manager.ErrUnavailable{Component: "configuration", Reason: "no configuration received yet"})
	}
	q, ok := d.State.Configuration.Queue(g.Queue)
	if !ok {
		return refuse(manager.ErrNotExist{Kind: "queue", Name: string(g.Queue)})
	}
	if err := g.Validate(); err != nil {
		return refuse(err)
	}
	if err := d.checkCustomer(g, c); err != nil {
		if c.Configure == nil {
			return refuse(err)
		}
		// The configuration that refuses the job may still be lost.
		d.awaitingCommit = append(d.awaitingCommit, waitingCaller{call: call, err: err})
		return nil
	}
	g.Surplus = d.isSurplus(now, g, c)
	if wait := d.overloadDelay(now, g, q, c); wait > 0 {
		d.refused[g.Graph] = refusal{until: now.Add(wait), surplus: g.Surplus}
		d.logJob(g.Customer, manager.LogJobRefused, "RequestID", g.Graph, "Queue", g.Queue, "RetryAfterMs", wait, "Outcome", "not-run", "Surplus", g.Surplus,
			"Load", d.lending.loads[q.Pool], "LoadAgeMs", now.Sub(d.lending.balancedAt), "ConfigurationVersion", d.State.Configuration.Version)
		return refuse(manager.ErrOverloaded{RetryAfterMs: wait})
	}
	if reason := d.takeJobRoom(now, &g, q.Pool); reason != "" {
		wait := retrier.Spread(maxRetryAfter/2, maxRetryAfter, string(g.Graph))
		d.refused[g.Graph] = refusal{until: now.Add(wait), surplus: g.Surplus, reason: reason}
		d.logJob(g.Customer, manager.LogJobRefused, "RequestID", g.Graph, "Queue", g.Queue, "RetryAfterMs", wait, "Outcome", "not-run", "Reason", reason,
			"StateBytes", d.State.Bytes(), "LimitBytes", d.Options.StateBytes, "HeldBytes", d.room.held.total, "ReadyBytes", d.room.ready.total)
		return refuse(manager.ErrOverloaded{RetryAfterMs: wait, Reason: reason})
	}
	c.Submit = append(c.Submit, g)
	d.submitted[g.Graph] = g.Customer
	if g.Repeat.Count == 0 && !g.Surplus {
		d.recordDemand(now, q.Pool, g)
	}
	d.logJob(g.Customer, manager.LogJobAccepted, "RequestID", g.Graph, "Queue", g.Queue, "Pool", q.Pool, "Steps", len(g.Steps), "Surplus", g.Surplus, "ConfigurationVersion", d.State.Configuration.Version)
	return d.awaitCommit(call)
}

// overloadDelay returns how long the caller of a job that can't be served in time should wait before it retries, or 0.
func (d *Dispatcher) overloadDelay(now manager.Time, g manager.Graph, q manager.QueueSettings, c *recorder.Changes) manager.Duration {
	for id, r := range d.refused {
		if now.Sub(r.until) > refusalRetention {
			delete(d.refused, id)
		}
	}
	if !g.HasFinite() || g.Repeat.Count > 0 || now.Sub(d.StartedAt) < warmUpTime {
		return 0
	}
	free := d.freeCapacity(now, q.Pool)
	if free == (manager.Resources{}) {
		return 0
	}
	shortest := max(d.times.graphCriticalPath(g), d.shortestWithinCap(g))
	objective := manager.DurationOf(q.Stretch*float64(shortest)) + q.SlackMs
	slack, capacity := overdueFactor*objective-shortest, free.Add(d.lending.lendable)
	if g.Surplus {
		// Late surplus would only take capacity that its customer is entitled to a moment later.
		slack, capacity = objective-shortest, free
	}
	var backlog work
	for _, j := range d.State.Active() {
		if !j.Unreleased() && d.poolOf(j) == q.Pool && (g.Surplus || !j.Surplus && !d.catchesUp(now, j)) {
			backlog.plus(d.runnableWork(j, max(slack, 0)))
		}
	}
	wait := max(manager.DurationOf(backlog.over(capacity)), d.capWait(g, c)-shortest)
	if wait <= slack {
		return 0
	}
	pause := wait - slack
	if g.Surplus {
		pause = max(pause, d.Options.Shares.ReturnAfter(now, g.Customer, d.weight(g.Customer, c)))
	}
	if g.Customer != "" && pause > maxRetryAfter {
		// The callers of a flood would otherwise all return after the longest pause.
		return retrier.Spread(maxRetryAfter/2, maxRetryAfter, string(g.Graph))
	}
	return min(maxRetryAfter, max(minRetryAfter, pause))
}

// freeCapacity returns the capacity of a pool's available workers that long-running tasks don't use.
func (d *Dispatcher) freeCapacity(now manager.Time, p manager.PoolID) manager.Resources {
	if d.freeByPool == nil {
		d.freeByPool = map[manager.PoolID]manager.Resources{}
		for _, w := range d.workers {
			if w.latest.Draining || w.health.excluded(now) || now > w.leaseExpiresAt {
				continue
			}
			free := w.latest.Capacity.Sub(d.usageOf(w).longRunning).Max(manager.Resources{})
			d.freeByPool[w.latest.Pool] = d.freeByPool[w.latest.Pool].Add(free)
		}
	}
	return d.freeByPool[p]
}
