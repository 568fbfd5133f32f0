package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/internal/translator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/decoder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/retrier"
)

// PathCall is the endpoint for calls between nodes.
const PathCall = "/fleet/call"

const (
	// attemptTimeout bounds one try at a leader; a commit takes a few disk syncs.
	attemptTimeout = 900 * time.Millisecond
	// documentTimeout bounds one try that carries a whole configuration.
	documentTimeout = 4 * time.Second
	// maxReplyBytes bounds a reply of the leader; a configuration is the largest.
	maxReplyBytes = 8 << 20
	// reportPatience is the age up to which a report is sent to the leader: workers drop an answer that comes later than
	// a second, of which the leader may hold the report for a part.
	reportPatience = 500 * manager.Millisecond
	// isolatedAge is how long a node goes without an answer of a leader before it counts as cut off, as elections
	// pass within it.
	isolatedAge = 1500 * manager.Millisecond
	// isolatedPatience bounds a call on a node that is cut off: other nodes may reach the leader.
	isolatedPatience = 300 * manager.Millisecond
)

// Node is the fleet API of one node: it answers calls if its replica leads and forwards them to the leader otherwise.
type Node struct {
	Clock  manager.Clock
	Finder *finder.Finder
	HTTP   *http.Client
	// Leader is nil on a node without a replica.
	Leader *Leader
	// Own is this node's peer address.
	Own manager.Address
	// Control is where this node answers operators; the port is the same on every node.
	Control manager.Address

	servedAt atomicTime
	// calledAt is when the first call came.
	calledAt atomicTime
	waiters  waiters
	reports  waitingReports
	shown    shownTerm
	packer   packer
}

var _ manager.FleetAPI = (*Node)(nil)

// Call forwards a call to the leader and tries again until ctx ends; every call may be repeated.
func (n *Node) Call(ctx context.Context, c manager.FleetCall) (manager.FleetReply, error) {
	start := n.Clock.Now()
	reply, err := n.call(ctx, c)
	err = n.addPause(ctx, c, err)
	meter.FleetCallSeconds(c.Kind).Update(n.Clock.Now().Sub(start).Std().Seconds())
	outcome := "taken"
	if err != nil {
		_, body := translator.FromError(err)
		outcome = string(body.Code)
	}
	meter.FleetCalls(c.Kind, outcome).Inc()
	return reply, err
}

func (n *Node) call(ctx context.Context, c manager.FleetCall) (manager.FleetReply, error) {
	start, sent := n.Clock.Now(), false
	n.calledAt.setOnce(start)
	if c.Kind == manager.CallReport {
		return n.report(ctx, start, c)
	}
	w, answered := n.waiters.join(start, c.Kind), false
	defer func() { n.waiters.leave(w, answered) }()
	var err error = manager.ErrNotLeader{}
	for n.pause(ctx, start, w) {
		var reply manager.FleetReply
		var reached bool
		reply, reached, err = n.attempt(ctx, start, c, w)
		if err == nil || final(err) {
			answered = true
			n.noteAnswer()
			if sent && manager.IsErrUnavailable(err) {
				// An earlier attempt may have been taken; this refusal speaks only of the latest one.
				n.noteUnanswered(c, sent, err)
				return reply, manager.ErrOutcomeUnknown{}
			}
			return reply, err
		}
		if ctx.Err() == nil {
			n.waiters.fail(w)
		}
		sent = sent || reached
		n.Finder.Refresh()
	}
	n.noteUnanswered(c, sent, err)
	if sent {
		return manager.FleetReply{}, manager.ErrOutcomeUnknown{}
	}
	return manager.FleetReply{}, manager.ErrUnavailable{Component: "leader", Reason: "none was reached in time"}
}

// addPause adds to a refusal when the caller should try again.
func (n *Node) addPause(ctx context.Context, c manager.FleetCall, err error) error {
	e, ok := errors.AsType[manager.ErrUnavailable](err)
	if !ok || e.RetryAfterMs > 0 {
		return err
	}
	now, remaining := n.Clock.Now(), manager.Duration(0)
	if end, ok := ctx.Deadline(); ok {
		remaining = manager.Duration(time.Until(end).Milliseconds())
	}
	e.RetryAfterMs = retrier.OutagePause(now.Sub(n.reachedAt()), remaining, c.Path)
	return e
}

func (n *Node) noteUnanswered(c manager.FleetCall, sent bool, err error) {
	klog.InfoS(manager.LogCallNotAnswered, "Kind", c.Kind, "Path", c.Path, "Sent", sent, "Leader", n.Finder.View().Leader,
		"Isolated", n.isolated(n.Clock.Now()), "Error", err.Error())
}

// attempt makes one try within a call's patience.
func (n *Node) attempt(
	ctx context.Context, start manager.Time, c manager.FleetCall, w *waitingCall,
) (manager.FleetReply, bool, error) {
	ctx, cancel := n.limit(ctx, start)
	defer cancel()
	leader := n.target()
	if !n.waiters.begin(w, leader, cancel) {
		// A leader was found meanwhile, maybe by the look at the view. Earlier calls may have joined the line.
		return manager.FleetReply{}, false, manager.ErrNotLeader{}
	}
	reply, term, reached, err := n.try(ctx, leader, c)
	if (err == nil || final(err)) && !n.shown.accept(n.Clock.Now(), term) {
		// The leader was replaced before it answered, or does not know it yet. It may have committed the call before.
		return manager.FleetReply{}, reached, manager.ErrOutcomeUnknown{}
	}
	return reply, reached, err
}

// target returns the leader's address, which is empty if none is known.
func (n *Node) target() manager.Address {
	if n.leads() {
		return n.Own
	}
	if leader := n.Finder.View().Leader; leader != n.Own {
		return leader
	}
	return ""
}

// leads reports whether this node's replica answers calls.
func (n *Node) leads() bool { return n.Leader != nil && n.Leader.Serving() }

// LeaderFound sends the waiting calls to a leader; the finder calls it when it has found one.
func (n *Node) LeaderFound(leader manager.Address) {
	if leader != n.Own || n.Leader != nil {
		n.waiters.found(leader)
		n.reports.wake()
	}
}

// pause waits until the next try and returns false if the call should end without one.
func (n *Node) pause(ctx context.Context, start manager.Time, w *waitingCall) bool {
	for {
		limited, cancel := n.limit(ctx, start)
		released := n.waiters.wait(limited, w)
		cancel()
		if released || ctx.Err() != nil {
			return released
		}
		if n.isolated(n.Clock.Now()) {
			return false
		}
	}
}

// limit bounds ctx by the patience of a call that came at start. On a node that is cut off it is short: without an
// answer the caller goes to another node, where its call can still be in time.
func (n *Node) limit(ctx context.Context, start manager.Time) (context.Context, context.CancelFunc) {
	until := max(start.Add(isolatedPatience), n.reachedAt().Add(isolatedAge))
	return context.WithTimeout(ctx, until.Sub(n.Clock.Now()).Std())
}

// answeredAt is when a leader answered last.
func (n *Node) answeredAt() manager.Time { return max(n.servedAt.get(), n.Finder.ReachedAt()) }

// reachedAt is when a leader answered last, or the first call came.
func (n *Node) reachedAt() manager.Time { return max(n.answeredAt(), n.calledAt.get()) }

// isolated reports whether no leader has answered for longer than an election takes.
func (n *Node) isolated(now manager.Time) bool { return now.Sub(n.reachedAt()) >= isolatedAge }

// final reports whether an error is the leader's own answer.
func final(err error) bool {
	return manager.IsErrInvalid(err) || manager.IsErrNotExist(err) || manager.IsErrConflict(err) ||
		manager.IsErrOverloaded(err) || manager.IsErrUnavailable(err) || manager.IsErrUnauthorized(err)
}

// try makes one attempt; reached says that the call may have been taken: a call for which no connection was obtained has
// not left this node.
func (n *Node) try(
	ctx context.Context, leader manager.Address, c manager.FleetCall,
) (reply manager.FleetReply, term manager.Term, reached bool, err error) {
	if leader == "" {
		return reply, 0, false, manager.ErrNotLeader{}
	}
	if leader == n.Own {
		reply, term, err = n.Leader.CallInTerm(ctx, c)
		return reply, term, !manager.IsErrNotLeader(err), err
	}
	limit := attemptTimeout
	if c.Kind == manager.CallConfigure || c.Kind == manager.CallReadBack {
		limit = documentTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	reply, term, err = n.post(ctx, leader, c)
	return reply, term, connected && !manager.IsErrNotLeader(err), err
}

func (n *Node) post(ctx context.Context, a manager.Address, c manager.FleetCall) (manager.FleetReply, manager.Term, error) {
	var reply manager.FleetReply
	data, err := json.Marshal(c)
	if err != nil {
		return reply, 0, fmt.Errorf("encode call: %w", err)
	}
	packed := len(data) >= minPackedBytes
	if packed {
		if data, err = n.packer.pack(data); err != nil {
			return reply, 0, err
		}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(a)+PathCall, bytes.NewReader(data))
	if err != nil {
		return reply, 0, fmt.Errorf("create call: %w", err)
	}
	if packed {
		r.Header.Set("Content-Encoding", "gzip")
	}
	// A body without GetBody keeps the transport from sending the call twice by itself.
	r.GetBody = nil
	response, err := n.HTTP.Do(r)
	if err != nil {
		return reply, 0, fmt.Errorf("call %s: %w", a, err)
	}
	defer response.Body.Close()
	term := readTerm(response.Header)
	if response.StatusCode != http.StatusOK {
		return reply, term, translator.ReadError(response)
	}
	if err := decoder.Read(response.Body, maxReplyBytes, &reply); err != nil {
		return reply, 0, fmt.Errorf("decode reply: %w", err)
	}
	return reply, term, nil
}

// Ready returns why no call can be taken now, or nil.
func (n *Node) Ready() error {
	if n.leads() {
		n.servedAt.set(n.Clock.Now())
	}
	if n.Clock.Now().Sub(n.answeredAt()) >= isolatedAge {
		return manager.ErrUnavailable{Component: "leader", Reason: "it does not answer"}
	}
	return nil
}

// RemoteLeader returns where operators reach the node that leads, or false.
func (n *Node) RemoteLeader() (manager.Address, bool) {
	leader := n.Finder.View().Leader
	if leader == "" || leader == n.Own {
		return "", false
	}
	host, _, err := net.SplitHostPort(string(leader))
	if err != nil {
		return "", false
	}
	_, port, err := net.SplitHostPort(string(n.Control))
	if err != nil {
		return "", false
	}
	return manager.Address(net.JoinHostPort(host, port)), true
}
