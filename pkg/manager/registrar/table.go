package registrar

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// DefaultTimeToLive is how long an announcement is believed; a leaving upstream gets new work
	// for at most this long from a gateway that can't hear of it.
	DefaultTimeToLive = 3 * manager.Second
	// DefaultPeriod is how often an upstream announces itself; two lost in a row must not end it.
	DefaultPeriod = 1 * manager.Second
	// DefaultMaxMembers bounds the upstreams in memory; more than twice the size that the system is
	// designed for.
	DefaultMaxMembers = 4096
	// forgetAfter is how long a silent upstream is listed; gossip of older announcements is refused.
	forgetAfter = 60 * manager.Second
	// forgetPause is the least time between two looks for silent upstreams.
	forgetPause = 1 * manager.Second
	// maxGraves bounds the forgotten upstreams whose last announcement is remembered.
	maxGraves = 8192
	// loadAge is how long a reported load counts.
	loadAge = 2 * manager.Second
	// viewAge is how long the list of a service's ready upstreams is kept; reported loads and new
	// announcements of known upstreams show after this long at the latest.
	viewAge = 100 * manager.Millisecond
	// maxViews bounds the kept lists, as callers choose the names of services.
	maxViews = 1024
)

// Table is a Registrar that keeps every announcement in memory.
type Table struct {
	// Gateway is the id under which this table gossips.
	Gateway manager.GatewayID
	// Start is unique to this start of the gateway.
	Start manager.StartID
	// TimeToLive is how long an announcement is believed, in milliseconds.
	TimeToLive manager.Duration
	// MaxMembers bounds the upstreams in memory.
	MaxMembers int

	members map[manager.UpstreamID]*record
	// order holds the ids of members, sorted.
	order []manager.UpstreamID
	index index
	// forgetAt is when to look for silent upstreams again.
	forgetAt manager.Time
	digest   manager.MembershipDigest
	version  uint64
	graves   graveyard
	echoes   map[manager.GatewayID]echo
	rumors   []rumor
	views    map[manager.ServiceID]view
}

// record is a known upstream.
type record struct {
	manager.Member
	// loadAt is the local time of the reported load.
	loadAt manager.Time
}

// view is the list of a service's ready upstreams, good until until.
type view struct {
	members []manager.Member
	version uint64
	made    manager.Time
	until   manager.Time
}

var _ manager.Registrar = (*Table)(nil)

func (t *Table) init() {
	if t.members != nil {
		return
	}
	t.members = map[manager.UpstreamID]*record{}
	t.echoes = map[manager.GatewayID]echo{}
	t.views = map[manager.ServiceID]view{}
	t.graves.init()
	t.index.init()
	if t.MaxMembers == 0 {
		t.MaxMembers = DefaultMaxMembers
	}
	if t.TimeToLive == 0 {
		t.TimeToLive = DefaultTimeToLive
	}
}

// Announce takes what an upstream said directly.
func (t *Table) Announce(now manager.Time, a manager.Announcement) error {
	t.init()
	if err := Validate(a); err != nil {
		return err
	}
	old, ok := t.members[a.Upstream]
	if ok && old.Incarnation == a.Incarnation {
		if err := sameIncarnation(old.Announcement, a); err != nil {
			return err
		}
	}
	t.forget(now)
	if !ok && len(t.members) >= t.MaxMembers {
		return manager.ErrUnavailable{Component: "membership", Reason: "there are too many upstreams"}
	}
	t.take(now, manager.Member{Announcement: a, AnnouncedAt: now})
	return nil
}

// take stores what is newer than the known; a known announcement only becomes fresher.
func (t *Table) take(now manager.Time, m manager.Member) {
	old, ok := t.members[m.Upstream]
	if !ok {
		if len(t.members) < t.MaxMembers && t.graves.allows(m.Announcement) {
			t.add(now, m)
		}
		return
	}
	if !newer(m.Announcement, old.Announcement) {
		return
	}
	if m.Incarnation == old.Incarnation && m.State == old.State {
		if sameIncarnation(old.Announcement, m.Announcement) != nil {
			return
		}
		old.Sequence = m.Sequence
		old.InFlight = m.InFlight
		old.loadAt = m.AnnouncedAt
		old.AnnouncedAt = max(old.AnnouncedAt, m.AnnouncedAt)
		return
	}
	t.changed(now, old.Announcement, m.Announcement)
	t.index.remove(old.Announcement)
	t.index.add(m.Announcement)
	*old = record{Member: m, loadAt: m.AnnouncedAt}
}

func (t *Table) add(now manager.Time, m manager.Member) {
	t.members[m.Upstream] = &record{Member: m, loadAt: m.AnnouncedAt}
	i, _ := slices.BinarySearch(t.order, m.Upstream)
	t.order = slices.Insert(t.order, i, m.Upstream)
	t.index.add(m.Announcement)
	t.digest ^= identity(m.Announcement)
	t.version++
	t.rumor(now, m.Upstream)
}

func (t *Table) changed(now manager.Time, old, a manager.Announcement) {
	t.digest ^= identity(old) ^ identity(a)
	t.version++
	t.rumor(now, a.Upstream)
}

// newer orders announcements of one upstream; within an incarnation leaving is final.
func newer(a, b manager.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.State != b.State {
		return a.State == manager.UpstreamLeaving
	}
	return a.Sequence > b.Sequence
}

// forget buries upstreams that were silent for long.
func (t *Table) forget(now manager.Time) {
	if now < t.forgetAt && len(t.members) < t.MaxMembers {
		return
	}
	t.forgetAt = now.Add(forgetPause)
	t.order = slices.DeleteFunc(t.order, func(id manager.UpstreamID) bool {
		m := t.members[id]
		if now.Sub(m.AnnouncedAt) <= forgetAfter {
			return false
		}
		t.digest ^= identity(m.Announcement)
		t.version++
		t.index.remove(m.Announcement)
		t.graves.bury(m.Announcement)
		delete(t.members, id)
		return true
	})
}

// Ready returns the upstreams of a service that may get new work, ordered by id; the list must not
// be changed.
func (t *Table) Ready(now manager.Time, s manager.ServiceID) []manager.Member {
	t.init()
	v, ok := t.views[s]
	if ok && v.version == t.version && now >= v.made && now < v.until {
		return v.members
	}
	v = t.view(now, s)
	if !ok && len(t.views) >= maxViews {
		clear(t.views)
	}
	t.views[s] = v
	return v.members
}

func (t *Table) view(now manager.Time, s manager.ServiceID) view {
	v := view{version: t.version, made: now, until: now.Add(viewAge)}
	for _, id := range t.index.services[s] {
		m := t.members[id]
		expiry := m.AnnouncedAt.Add(t.TimeToLive)
		if m.State != manager.UpstreamReady || expiry <= now || !t.latestAtAddress(m) {
			continue
		}
		v.until = min(v.until, expiry)
		v.members = append(v.members, m.current(now))
	}
	return v
}

// current returns the member without a load that was reported long ago.
func (r *record) current(now manager.Time) manager.Member {
	m := r.Member
	if now.Sub(r.loadAt) > loadAge {
		m.InFlight = 0
	}
	return m
}

// latestAtAddress tells whether no other upstream announced the address of m later: only one process
// listens there.
func (t *Table) latestAtAddress(m *record) bool {
	for _, id := range t.index.addresses[m.Address] {
		other := t.members[id]
		if other.AnnouncedAt > m.AnnouncedAt || other.AnnouncedAt == m.AnnouncedAt && id < m.Upstream {
			return false
		}
	}
	return true
}

// All returns every known upstream, ordered by id.
func (t *Table) All(now manager.Time) []manager.Member {
	t.init()
	list := make([]manager.Member, 0, len(t.order))
	for _, id := range t.order {
		list = append(list, t.members[id].current(now))
	}
	return list
}

// graveyard remembers the last announcement of forgotten upstreams.
type graveyard struct {
	last  map[manager.UpstreamID]manager.Announcement
	order []manager.UpstreamID
}

func (g *graveyard) init() { g.last = map[manager.UpstreamID]manager.Announcement{} }

func (g *graveyard) bury(a manager.Announcement) {
	if _, ok := g.last[a.Upstream]; !ok {
		g.order = append(g.order, a.Upstream)
	}
	g.last[a.Upstream] = a
	if len(g.order) > maxGraves {
		delete(g.last, g.order[0])
		g.order = g.order[1:]
	}
}

// allows tells whether an announcement is newer than the last one of its forgotten upstream.
func (g *graveyard) allows(a manager.Announcement) bool {
	last, ok := g.last[a.Upstream]
	return !ok || newer(a, last)
}
