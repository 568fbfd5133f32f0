package finder

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/decoder"
)

// PathView is the endpoint that returns a node's view.
const PathView = "/fleet/view"

const (
	// period is the interval between two queries of the leader; a new leader is found after about that time.
	period = 700 * time.Millisecond
	// queryTimeout limits one query of a node that does not answer; nodes are on the same continent.
	queryTimeout = 400 * time.Millisecond
	// maxViewAge is the age up to which a view that names a leader is used.
	maxViewAge = 3 * manager.Second
	// freshAge is the age up to which a view ends a search; a leader that has answered is asked more often.
	freshAge = 1500 * manager.Millisecond
	// maxTerm limits the term of a view: no later one could follow a term near the maximum.
	maxTerm manager.Term = 1 << 48
	// maxViewBytes limits the size of an answer.
	maxViewBytes = 64 << 10
)

// View is a node's knowledge of the replica group.
type View struct {
	Term manager.Term
	// Leader is empty while none is known.
	Leader  manager.Address `json:",omitempty"`
	Members []manager.ReplicaMember
	// AgeMs is the time since the leader, or a replica that hears from it, confirmed the view. Nodes that ask only each
	// other would otherwise keep a lost leader for ever.
	AgeMs manager.Duration `json:",omitempty"`
}

// Finder queries other nodes for the leader and keeps the latest view.
type Finder struct {
	Clock manager.Clock
	// Seeds returns the peer addresses of the settings, which may change.
	Seeds func() []manager.Address
	// Own is this node's peer address.
	Own  manager.Address
	HTTP *http.Client
	// Local returns the view of this node's own replica, or false on a node without one.
	Local func() (View, bool)
	// OnLeader is called, unless it is nil, when a leader is found: another one than before, one of another term, or any
	// after a time without one.
	OnLeader func(leader manager.Address)

	mu   sync.Mutex
	view View
	// confirmedAt is when the leader of the view, or a replica that hears from it, confirmed it.
	confirmedAt manager.Time
	// reachedAt is the time of the last answer from the leader itself.
	reachedAt manager.Time
	next      int
	wake      chan struct{}
	search    search
	announced announcer
	callers   map[manager.Address]callerRecord
}

// Run refreshes the view until ctx ends. Announcements have a goroutine of their own, as a seed that hangs must not delay the
// search for the next leader.
func (f *Finder) Run(ctx context.Context) {
	due := make(chan struct{}, 1)
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-due:
				f.announce(ctx)
			}
		}
	})
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		f.look(ctx)
		select {
		case due <- struct{}{}:
		default:
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-f.wake:
		}
	}
}

// Init prepares the finder; it must be called before any other method.
func (f *Finder) Init() { f.wake = make(chan struct{}, 1) }

// Refresh triggers an immediate update; it is called when the leader did not answer.
func (f *Finder) Refresh() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// View returns the latest view; its Leader is empty if the view is too old. A node names itself only while its
// own replica is the leader: a deposed leader would otherwise keep the nodes that still reach it from finding
// the next leader.
func (f *Finder) View() View {
	if f.Local != nil {
		if v, ok := f.Local(); ok && v.Leader != "" {
			f.merge(v)
			return v
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view
	v.AgeMs = f.Clock.Now().Sub(f.confirmedAt)
	if v.Leader == f.Own || v.AgeMs > maxViewAge {
		v.Leader, v.AgeMs = "", 0
	}
	return v
}

// Update looks for the leader and tells others who leads.
func (f *Finder) Update(ctx context.Context) {
	f.look(ctx)
	f.announce(ctx)
}

// look takes the leader from the node's own replica, or else queries the last leader, the members and the seeds until
// one of them names a leader that was confirmed recently.
func (f *Finder) look(ctx context.Context) {
	var logged []manager.ReplicaMember
	if f.Local != nil {
		v, ok := f.Local()
		if ok && v.Leader != "" {
			// A replica names a leader only while it hears from it.
			f.merge(v)
			f.recordReached()
			f.search.end()
			return
		}
		logged = v.Members
	}
	var unreached, unaware []manager.Address
	found := false
	for _, a := range f.candidates(logged) {
		v, err := f.query(ctx, a)
		if err != nil {
			klog.V(2).InfoS("Node not reached", "Address", a, "Error", err.Error())
			unreached = append(unreached, a)
			continue
		}
		f.merge(v)
		if v.Leader == a {
			f.recordReached()
		}
		// A view that names this node or was not taken over brings no leader.
		known := f.View()
		if v.Leader == "" || known.Leader == "" {
			unaware = append(unaware, a)
			continue
		}
		found = true
		if max(v.AgeMs, known.AgeMs) <= freshAge {
			break
		}
	}
	if found {
		f.search.end()
		return
	}
	f.search.fail(f.Clock.Now(), unreached, unaware)
}

func (f *Finder) recordReached() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reachedAt = f.Clock.Now()
}

// ReachedAt returns the time of the last answer from the leader itself: other nodes may name a leader that this
// node can't reach.
func (f *Finder) ReachedAt() manager.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachedAt
}

// candidates returns the leader first, then the members, those of the own replica's log and the seeds, rotated by one at
// each call.
func (f *Finder) candidates(logged []manager.ReplicaMember) []manager.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	var others []manager.Address
	add := func(a manager.Address) {
		if a != f.Own && a != f.view.Leader && !slices.Contains(others, a) {
			others = append(others, a)
		}
	}
	for _, m := range slices.Concat(f.view.Members, logged) {
		add(m.Address)
	}
	for _, a := range f.Seeds() {
		add(a)
	}
	f.next++
	if n := len(others); n > 0 {
		k := f.next % n
		others = append(slices.Clone(others[k:]), others[:k]...)
	}
	if f.view.Leader != "" && f.view.Leader != f.Own {
		others = append([]manager.Address{f.view.Leader}, others...)
	}
	return others
}

// merge takes over a view, if it is not older than the present one.
func (f *Finder) merge(v View) {
	if leader, ok := f.update(v); ok && f.OnLeader != nil {
		f.OnLeader(leader)
	}
}

// update is merge without the call of OnLeader. It returns the leader and whether it was found by this view.
func (f *Finder) update(v View) (leader manager.Address, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, known := f.view, f.current()
	if v.Term < f.view.Term && (v.Leader == "" || v.AgeMs > maxViewAge || f.current()) {
		return "", false
	}
	if v.Leader != f.view.Leader && v.Leader != "" {
		klog.InfoS(manager.LogLeaderFound, "Leader", v.Leader, "Term", v.Term, "Before", f.view.Leader)
	}
	confirmedAt := f.Clock.Now().Add(-max(0, v.AgeMs))
	switch {
	case v.Leader == "" && v.Term == f.view.Term:
		v.Leader = f.view.Leader
	case v.Leader != "" && v.Leader == f.view.Leader && v.Term == f.view.Term:
		f.confirmedAt = max(f.confirmedAt, confirmedAt)
	case v.Leader != "":
		f.confirmedAt = confirmedAt
	}
	if len(v.Members) == 0 {
		v.Members = f.view.Members
	}
	f.view = v
	return v.Leader, f.current() && (!known || v.Leader != before.Leader || v.Term != before.Term)
}

// current tells whether the view names a leader that was confirmed within the limit; mu is held. A term that nobody confirms
// gives way to a lower one, as one node with a wrong view would end the search of all others for good.
func (f *Finder) current() bool {
	return f.view.Leader != "" && f.Clock.Now().Sub(f.confirmedAt) <= maxViewAge
}

func (f *Finder) query(ctx context.Context, a manager.Address) (View, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(a)+PathView, nil)
	if err != nil {
		return View{}, fmt.Errorf("create view request: %w", err)
	}
	r.Header.Set(HeaderNode, string(f.Own))
	return f.exchange(r)
}

// exchange sends a request to a node and returns the view in its answer.
func (f *Finder) exchange(r *http.Request) (View, error) {
	response, err := f.HTTP.Do(r)
	if err != nil {
		return View{}, fmt.Errorf("call %s: %w", r.URL.Host, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return View{}, eris.Errorf("%s answered with status %d", r.URL.Host, response.StatusCode)
	}
	var v View
	if err := decoder.Read(response.Body, maxViewBytes, &v); err != nil {
		return View{}, fmt.Errorf("decode view of %s: %w", r.URL.Host, err)
	}
	if v.Term > maxTerm {
		return View{}, eris.Errorf("view of %s has term %d, which is out of range", r.URL.Host, v.Term)
	}
	return v, nil
}
