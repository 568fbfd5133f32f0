package finder

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// HeaderNode names the node that asks for a view, by its peer address.
const HeaderNode = "Node-Address"

const (
	// maxCallers limits the nodes that are remembered.
	maxCallers = 4096
	// callerSilence is how long a node has not asked before it is told who leads; a node that knows the leader asks it more
	// often.
	callerSilence = 2 * manager.Second
	// maxToldAtOnce limits the silent nodes that are told with one update; a zone of a hundred may be back at once.
	maxToldAtOnce = 32
	// callerRetention is how long a node that does not ask is remembered.
	callerRetention = 10 * manager.Minute
)

// callerRecord is when a node asked for the view, and when it was told of it, last.
type callerRecord struct {
	heardAt manager.Time
	toldAt  manager.Time
}

// Heard records that a node asks for the view. A node that restarts while all its seeds are down is found again only by
// those that remember it.
func (f *Finder) Heard(a manager.Address) {
	if p, err := netip.ParseAddrPort(string(a)); err != nil || p.Port() == 0 || a == f.Own {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.callers == nil {
		f.callers = map[manager.Address]callerRecord{}
	}
	if _, ok := f.callers[a]; ok || len(f.callers) < maxCallers {
		f.callers[a] = callerRecord{heardAt: f.Clock.Now()}
	}
}

// silentCallers returns the nodes that were told least recently among those that have stopped asking, and forgets those that
// stopped long ago.
func (f *Finder) silentCallers(now manager.Time) []manager.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	var silent []manager.Address
	for a, r := range f.callers {
		switch {
		case now.Sub(r.heardAt) > callerRetention:
			delete(f.callers, a)
		case now.Sub(max(r.heardAt, r.toldAt)) > callerSilence:
			silent = append(silent, a)
		}
	}
	slices.SortFunc(silent, func(a, b manager.Address) int {
		return cmp.Or(cmp.Compare(f.callers[a].toldAt, f.callers[b].toldAt), cmp.Compare(a, b))
	})
	silent = silent[:min(len(silent), maxToldAtOnce)]
	for _, a := range silent {
		f.callers[a] = callerRecord{heardAt: f.callers[a].heardAt, toldAt: now}
	}
	return silent
}

// forgetCaller forgets a node that has learned that another node leads: it asks that one from now on.
func (f *Finder) forgetCaller(a manager.Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.callers, a)
}
