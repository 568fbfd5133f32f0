package registrar

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// DefaultTimeToLive is how long an announcement is valid. A leaving upstream gets new requests for at most this
	// long from a gateway that does not learn of its state.
	DefaultTimeToLive = 3 * manager.Second
	// DefaultPeriod is how often an upstream announces itself. Two consecutive lost announcements must not make it
	// expire.
	DefaultPeriod = 1 * manager.Second
	// DefaultMaxMembers bounds the upstreams in memory. It is more than twice the number that the system is
	// designed for.
	DefaultMaxMembers = 4096
	// memberExpiry is how long an upstream stays listed without an announcement. Gossip of older announcements is
	// ignored.
	memberExpiry = 60 * manager.Second
	// expiryCheckInterval is the shortest time between two checks for expired members.
	expiryCheckInterval = 1 * manager.Second
	// maxTombstones bounds the expired upstreams whose last announcement is kept.
	maxTombstones = 8192
	// maxLoadAge is how long a reported load is used.
	maxLoadAge = 2 * manager.Second
	// readyListLifetime is how long the list of a service's ready upstreams is cached. Reported loads and new
	// announcements of known upstreams take effect after this time at the latest.
	readyListLifetime = 100 * manager.Millisecond
	// maxReadyLists bounds the cached lists, because callers choose the names of services.
	maxReadyLists = 1024
)

// Table is a Registrar that keeps the latest announcement of each upstream in memory.
type Table struct {
	// Gateway is the ID of this gateway in gossip messages.
	Gateway manager.GatewayID
	// Start identifies this start of the gateway.
	Start manager.StartID
	// TimeToLive is how long an announcement is valid, in milliseconds; 0 means DefaultTimeToLive.
	TimeToLive manager.Duration
	// MaxMembers bounds the upstreams in memory; 0 means DefaultMaxMembers.
	MaxMembers int

	members map[manager.UpstreamID]*record
	// order holds the sorted IDs of members.
	order []manager.UpstreamID
	index index
	// nextExpiryCheck is when to check for expired members again.
	nextExpiryCheck manager.Time
	digest          manager.MembershipDigest
	version         uint64
	tombstones      tombstones
	echoes          map[manager.GatewayID]echo
	rumors          []rumor
	readyLists      map[manager.ServiceID]readyList
}

// record is what the table keeps for a known upstream.
type record struct {
	manager.Member
	// loadAt is the local time of the reported load.
	loadAt manager.Time
}

// readyList is a cached list of a service's ready upstreams. It is valid until validUntil while the table's version
// is the same.
type readyList struct {
	members    []manager.Member
	version    uint64
	createdAt  manager.Time
	validUntil manager.Time
}

var _ manager.Registrar = (*Table)(nil)

func (t *Table) init() {
	if t.members != nil {
		return
	}
	t.members = map[manager.UpstreamID]*record{}
	t.echoes = map[manager.GatewayID]echo{}
	t.readyLists = map[manager.ServiceID]readyList{}
	t.tombstones.init()
	t.index.init()
	if t.MaxMembers == 0 {
		t.MaxMembers = DefaultMaxMembers
	}
	if t.TimeToLive == 0 {
		t.TimeToLive = DefaultTimeToLive
	}
}

// Announce processes an announcement that an upstream sent to this gateway.
func (t *Table) Announce(now manager.Time, a manager.Announcement) error {
	t.init()
	if err := Validate(a); err != nil {
		return err
	}
	old, ok := t.members[a.Upstream]
	if ok && old.Incarnation == a.Incarnation {
		if err := checkSameIncarnation(old.Announcement, a); err != nil {
			return err
		}
	}
	t.expire(now)
	if !ok && len(t.members) >= t.MaxMembers {
		return manager.ErrUnavailable{Component: "membership", Reason: "there are too many upstreams"}
	}
	t.store(now, manager.Member{Announcement: a, AnnouncedAt: now})
	return nil
}

// store stores an announcement that is newer than the known one. If incarnation and state are the same, only
// the sequence, the load and the time are updated.
func (t *Table) store(now manager.Time, m manager.Member) {
	old, ok := t.members[m.Upstream]
	if !ok {
		if len(t.members) < t.MaxMembers && t.tombstones.allows(m.Announcement) {
			t.add(now, m)
		}
		return
	}
	if !supersedes(m.Announcement, old.Announcement) {
		return
	}
	if m.Incarnation == old.Incarnation && m.State == old.State {
		if checkSameIncarnation(old.Announcement, m.Announcement) != nil {
			return
		}
		old.Sequence = m.Sequence
		old.InFlight = m.InFlight
		old.loadAt = m.AnnouncedAt
		old.AnnouncedAt = max(old.AnnouncedAt, m.AnnouncedAt)
		return
	}
	t.recordChange(now, old.Announcement, m.Announcement)
	t.index.remove(old.Announcement)
	t.index.add(m.Announcement)
	*old = record{Member: m, loadAt: m.AnnouncedAt}
}

func (t *Table) add(now manager.Time, m manager.Member) {
	t.members[m.Upstream] = &record{Member: m, loadAt: m.AnnouncedAt}
	i, _ := slices.BinarySearch(t.order, m.Upstream)
	t.order = slices.Insert(t.order, i, m.Upstream)
	t.index.add(m.Announcement)
	t.digest ^= announcementDigest(m.Announcement)
	t.version++
	t.addRumor(now, m.Upstream)
}

func (t *Table) recordChange(now manager.Time, old, a manager.Announcement) {
	t.digest ^= announcementDigest(old) ^ announcementDigest(a)
	t.version++
	t.addRumor(now, a.Upstream)
}

// supersedes reports whether a replaces b, an announcement of the same upstream; within an incarnation leaving is
// final.
func supersedes(a, b manager.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.State != b.State {
		return a.State == manager.UpstreamLeaving
	}
	return a.Sequence > b.Sequence
}

// expire removes upstreams without a recent announcement and keeps tombstones for them.
func (t *Table) expire(now manager.Time) {
	if now < t.nextExpiryCheck && len(t.members) < t.MaxMembers {
		return
	}
	t.nextExpiryCheck = now.Add(expiryCheckInterval)
	t.order = slices.DeleteFunc(t.order, func(id manager.UpstreamID) bool {
		m := t.members[id]
		if now.Sub(m.AnnouncedAt) <= memberExpiry {
			return false
		}
		t.digest ^= announcementDigest(m.Announcement)
		t.version++
		t.index.remove(m.Announcement)
		t.tombstones.add(m.Announcement)
		delete(t.members, id)
		return true
	})
}

// Ready returns the upstreams of a service that may get new requests, ordered by ID. The caller must not modify the
// list.
func (t *Table) Ready(now manager.Time, s manager.ServiceID) []manager.Member {
	t.init()
	list, ok := t.readyLists[s]
	if ok && list.version == t.version && now >= list.createdAt && now < list.validUntil {
		return list.members
	}
	list = t.newReadyList(now, s)
	if !ok && len(t.readyLists) >= maxReadyLists {
		clear(t.readyLists)
	}
	t.readyLists[s] = list
	return list.members
}

func (t *Table) newReadyList(now manager.Time, s manager.ServiceID) readyList {
	list := readyList{version: t.version, createdAt: now, validUntil: now.Add(readyListLifetime)}
	for _, id := range t.index.services[s] {
		m := t.members[id]
		expiry := m.AnnouncedAt.Add(t.TimeToLive)
		if m.State != manager.UpstreamReady || expiry <= now || !t.latestAtAddress(m) {
			continue
		}
		list.validUntil = min(list.validUntil, expiry)
		list.members = append(list.members, m.withoutStaleLoad(now))
	}
	return list
}

// withoutStaleLoad returns the member with its load set to 0 if that was reported longer ago than maxLoadAge.
func (r *record) withoutStaleLoad(now manager.Time) manager.Member {
	m := r.Member
	if now.Sub(r.loadAt) > maxLoadAge {
		m.InFlight = 0
	}
	return m
}

// latestAtAddress reports whether no other upstream announced m's address later, because only one process can listen
// on an address. Of equally late announcements the one with the lower upstream ID wins.
func (t *Table) latestAtAddress(m *record) bool {
	for _, id := range t.index.addresses[m.Address] {
		other := t.members[id]
		if other.AnnouncedAt > m.AnnouncedAt || other.AnnouncedAt == m.AnnouncedAt && id < m.Upstream {
			return false
		}
	}
	return true
}

// All returns every known upstream, ordered by ID.
func (t *Table) All(now manager.Time) []manager.Member {
	t.init()
	list := make([]manager.Member, 0, len(t.order))
	for _, id := range t.order {
		list = append(list, t.members[id].withoutStaleLoad(now))
	}
	return list
}

// tombstones keeps the last announcements of expired upstreams, so that older ones are not accepted again.
type tombstones struct {
	last  map[manager.UpstreamID]manager.Announcement
	order []manager.UpstreamID
}

func (ts *tombstones) init() { ts.last = map[manager.UpstreamID]manager.Announcement{} }

func (ts *tombstones) add(a manager.Announcement) {
	if _, ok := ts.last[a.Upstream]; !ok {
		ts.order = append(ts.order, a.Upstream)
	}
	ts.last[a.Upstream] = a
	if len(ts.order) > maxTombstones {
		delete(ts.last, ts.order[0])
		ts.order = ts.order[1:]
	}
}

// allows reports whether an announcement is newer than the tombstone of its upstream, if there is one.
func (ts *tombstones) allows(a manager.Announcement) bool {
	last, ok := ts.last[a.Upstream]
	return !ok || supersedes(a, last)
}
