package coordinator

import (
	"context"
	"strings"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// Call answers a call on the replica that leads.
func (l *Leader) Call(ctx context.Context, c manager.FleetCall) (manager.FleetReply, error) {
	if !l.Serving() {
		return manager.FleetReply{}, manager.ErrNotLeader{}
	}
	if err := c.Validate(); err != nil {
		return manager.FleetReply{}, err
	}
	switch c.Kind {
	case manager.CallSubmit, manager.CallState, manager.CallCancel, manager.CallPending:
		return l.callQueue(ctx, c)
	case manager.CallReport:
		return l.await(ctx, dispatcher.Event{Report: c.Report, Forwarded: c.Forwarded})
	case manager.CallLeave:
		return l.await(ctx, dispatcher.Event{Leave: c.Instance})
	case manager.CallConfigure:
		return l.await(ctx, dispatcher.Event{Configure: c.Configuration})
	case manager.CallWave:
		return l.await(ctx, dispatcher.Event{Wave: c.Wave})
	default:
		return l.read(c)
	}
}

// await queues an event and waits for its answer.
func (l *Leader) await(ctx context.Context, e dispatcher.Event) (manager.FleetReply, error) {
	done := make(chan outcome, 1)
	if err := l.inbox.add(e, done); err != nil {
		return manager.FleetReply{}, err
	}
	select {
	case o := <-done:
		return o.reply, o.err
	case <-ctx.Done():
		return manager.FleetReply{}, manager.ErrOutcomeUnknown{}
	}
}

// callQueue finds the queue of a caller's request and answers it.
func (l *Leader) callQueue(ctx context.Context, c manager.FleetCall) (manager.FleetReply, error) {
	var queue manager.QueueSettings
	var id manager.GraphID
	var err error
	var customer manager.CustomerID
	l.Store.Inspect(func() {
		queue, id, err = locate(l.State.Configuration, c.Host, c.Path)
		if err == nil {
			customer, err = l.State.Configuration.Authorize(queue, c.Key)
		}
	})
	if err != nil {
		return l.checked(manager.FleetReply{}, err)
	}
	switch c.Kind {
	case manager.CallSubmit:
		g := *c.Graph
		g.Graph, g.Queue, g.Customer = id, queue.Queue, customer
		return l.await(ctx, dispatcher.Event{Submit: &g})
	case manager.CallCancel:
		l.Store.Inspect(func() { _, err = l.job(id, customer) })
		if err != nil {
			return l.checked(manager.FleetReply{}, err)
		}
		return l.await(ctx, dispatcher.Event{Cancel: &id})
	}
	var reply manager.FleetReply
	l.Store.Inspect(func() {
		if id == "" {
			reply.Pending = l.State.Pending(queue.Queue)
			return
		}
		var j *recorder.Job
		if j, err = l.job(id, customer); err == nil {
			reply.State = j.State
		}
	})
	return l.checked(reply, err)
}

// job returns a job that a customer may see. Another customer's job does not exist for it. A call without a key sees a
// customer's job only if the job's own queue takes calls without keys: the queue of the call may be another one.
func (l *Leader) job(id manager.GraphID, customer manager.CustomerID) (*recorder.Job, error) {
	j := l.State.Jobs[id]
	if j == nil || !l.visible(j, customer) {
		return nil, manager.ErrNotExist{Kind: "job", Name: string(id)}
	}
	return j, nil
}

func (l *Leader) visible(j *recorder.Job, customer manager.CustomerID) bool {
	if j.Customer == "" || j.Customer == customer || !l.State.Configuration.RequiresKeys {
		return true
	}
	queue, ok := l.State.Configuration.Queue(j.Queue)
	return customer == "" && ok && queue.AllowsAnonymous
}

// read answers from the replicated state.
func (l *Leader) read(c manager.FleetCall) (manager.FleetReply, error) {
	var reply manager.FleetReply
	var err error
	l.Store.Inspect(func() {
		switch c.Kind {
		case manager.CallReadBack:
			if l.State.Configuration == nil {
				err = manager.ErrUnavailable{Component: "configuration", Reason: "none is known yet"}
				return
			}
			reply.Document = l.State.Configuration.Document
		case manager.CallWaveState:
			w := l.State.Waves[c.Wave.Wave]
			if w == nil {
				err = manager.ErrNotExist{Kind: "wave", Name: c.Path}
				return
			}
			reply.Completed = w.Completed()
		default:
			err = manager.ErrInvalid{Field: "Kind", Reason: "is unknown: " + string(c.Kind)}
		}
	})
	return l.checked(reply, err)
}

// checked returns what was read if the leadership still holds after the reading.
func (l *Leader) checked(reply manager.FleetReply, err error) (manager.FleetReply, error) {
	if !l.Serving() {
		return manager.FleetReply{}, manager.ErrNotLeader{}
	}
	return reply, err
}

// locate returns the queue with the longest prefix of the path, and the rest of the path.
func locate(f *manager.FleetConfiguration, host, path string) (manager.QueueSettings, manager.GraphID, error) {
	if f == nil {
		return manager.QueueSettings{}, "", manager.ErrUnavailable{Component: "configuration", Reason: "none is known yet"}
	}
	best := -1
	for i, q := range f.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best < 0 || len(q.Prefix) > len(f.Queues[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return manager.QueueSettings{}, "", manager.ErrNotExist{Kind: "queue", Name: host + path}
	}
	return f.Queues[best], manager.GraphID(path[len(f.Queues[best].Prefix):]), nil
}
