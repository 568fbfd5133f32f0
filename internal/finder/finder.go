package finder

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// PathView is the endpoint that returns a node's view.
const PathView = "/fleet/view"

const (
	// period is the pause between two looks at the leader; a new leader is found within about that.
	period = 700 * time.Millisecond
	// askTimeout bounds one look at a node on the same continent that does not answer.
	askTimeout = 400 * time.Millisecond
	// fresh is the age up to which a view of a leader counts.
	fresh = 3 * manager.Second
	// maxViewBytes bounds an answer.
	maxViewBytes = 64 << 10
)

// View is what a node knows of the replica group.
type View struct {
	Term manager.Term
	// Leader is empty while none is known.
	Leader  manager.Address `json:",omitempty"`
	Members []manager.ReplicaMember
}

// Finder keeps the latest view.
type Finder struct {
	Clock manager.Clock
	// Seeds returns the peer addresses of the settings, which may change.
	Seeds func() []manager.Address
	// Own is this node's peer address.
	Own  manager.Address
	HTTP *http.Client
	// Local returns the view of this node's own replica, or false on a node without one.
	Local func() (View, bool)

	mu     sync.Mutex
	view   View
	seenAt manager.Time
	// reachedAt is when the leader itself answered last.
	reachedAt manager.Time
	next      int
	wake      chan struct{}
}

// Run refreshes the view until ctx ends.
func (f *Finder) Run(ctx context.Context) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		f.Look(ctx)
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

// Refresh asks for a look at once, as the leader did not answer.
func (f *Finder) Refresh() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// View returns the latest view; its Leader is empty if it is too old to be used. A node names itself only while
// its own replica leads: a deposed leader would keep those that still reach it from the next one.
func (f *Finder) View() View {
	if f.Local != nil {
		if v, ok := f.Local(); ok && v.Leader != "" {
			f.take(v)
			return v
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view
	if v.Leader == f.Own || f.Clock.Now().Sub(f.seenAt) > fresh {
		v.Leader = ""
	}
	return v
}

// Look asks the leader, or else the members and seeds in turn.
func (f *Finder) Look(ctx context.Context) {
	if f.Local != nil {
		if v, ok := f.Local(); ok && v.Leader != "" {
			// A replica forgets a leader that it does not hear.
			f.take(v)
			f.reached()
			return
		}
	}
	for _, a := range f.candidates() {
		v, err := f.ask(ctx, a)
		if err != nil {
			klog.V(2).InfoS("Node not reached", "Address", a, "Error", err.Error())
			continue
		}
		f.take(v)
		if v.Leader == a {
			f.reached()
		}
		if v.Leader != "" {
			return
		}
	}
}

func (f *Finder) reached() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reachedAt = f.Clock.Now()
}

// ReachedAt returns when the leader itself answered last: others may name a leader that this node is cut
// off from.
func (f *Finder) ReachedAt() manager.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachedAt
}

// candidates returns the leader first, then members and seeds from another start each time.
func (f *Finder) candidates() []manager.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	var others []manager.Address
	add := func(a manager.Address) {
		if a != f.Own && a != f.view.Leader && !slices.Contains(others, a) {
			others = append(others, a)
		}
	}
	for _, m := range f.view.Members {
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

func (f *Finder) take(v View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v.Term < f.view.Term {
		return
	}
	if v.Leader != f.view.Leader && v.Leader != "" {
		klog.InfoS(manager.LogLeaderFound, "Leader", v.Leader, "Term", v.Term, "Before", f.view.Leader)
	}
	if v.Leader == "" && v.Term == f.view.Term {
		v.Leader = f.view.Leader
	} else if v.Leader != "" {
		f.seenAt = f.Clock.Now()
	}
	if len(v.Members) == 0 {
		v.Members = f.view.Members
	}
	f.view = v
}

func (f *Finder) ask(ctx context.Context, a manager.Address) (View, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(a)+PathView, nil)
	if err != nil {
		return View{}, fmt.Errorf("create look: %w", err)
	}
	response, err := f.HTTP.Do(r)
	if err != nil {
		return View{}, fmt.Errorf("look at %s: %w", a, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return View{}, eris.Errorf("%s answered with status %d", a, response.StatusCode)
	}
	var v View
	if err := json.NewDecoder(io.LimitReader(response.Body, maxViewBytes)).Decode(&v); err != nil {
		return View{}, fmt.Errorf("decode view of %s: %w", a, err)
	}
	return v, nil
}
