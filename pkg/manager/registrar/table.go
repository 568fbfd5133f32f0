package registrar

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// DefaultTimeToLive is how long an announcement is believed; a leaving upstream gets new work
	// for at most this long from a gateway that can't hear of it.
	DefaultTimeToLive = 3 * manager.Second
	// DefaultPeriod is how often an upstream announces itself; two lost in a row must not end it.
	DefaultPeriod = 1 * manager.Second
	// forgetAfter is how long a dead incarnation is remembered; late gossip older than this is refused by age.
	forgetAfter = 60 * manager.Second
)

// Table is a Registrar that keeps every announcement in memory.
type Table struct {
	// Gateway is the id under which this table gossips.
	Gateway manager.GatewayID
	// TimeToLive is how long an announcement is believed, in milliseconds.
	TimeToLive manager.Duration

	members map[manager.UpstreamID]manager.Member
}

var _ manager.Registrar = (*Table)(nil)

// Announce takes what an upstream said directly.
func (t *Table) Announce(now manager.Time, a manager.Announcement) error {
	if err := Validate(a); err != nil {
		return err
	}
	t.take(manager.Member{Announcement: a, AnnouncedAt: now})
	return nil
}

// Validate returns the first field of an announcement that breaks a rule.
func Validate(a manager.Announcement) error {
	switch {
	case a.Upstream == "":
		return manager.ErrInvalid{Field: "Upstream", Reason: "is missing"}
	case a.Service == "":
		return manager.ErrInvalid{Field: "Service", Reason: "is missing"}
	case a.Slots < 1:
		return manager.ErrInvalid{Field: "Slots", Reason: "must be at least 1"}
	case a.Connections < 1:
		return manager.ErrInvalid{Field: "Connections", Reason: "must be at least 1"}
	case a.State != manager.UpstreamReady && a.State != manager.UpstreamLeaving:
		return manager.ErrInvalid{Field: "State", Reason: `must be "ready" or "leaving"`}
	}
	if _, err := netip.ParseAddrPort(string(a.Address)); err != nil {
		return manager.ErrInvalid{Field: "Address", Reason: "must be an IP address and port"}
	}
	return nil
}

// Merge takes a peer's message.
func (t *Table) Merge(now manager.Time, m manager.GossipMessage) {
	for _, e := range m.Entries {
		if Validate(e.Announcement) != nil || e.AgeMs < 0 || e.AgeMs > forgetAfter {
			continue
		}
		t.take(manager.Member{Announcement: e.Announcement, AnnouncedAt: now.Add(-e.AgeMs)})
	}
}

func (t *Table) take(m manager.Member) {
	if t.members == nil {
		t.members = map[manager.UpstreamID]manager.Member{}
	}
	old, ok := t.members[m.Upstream]
	if ok && !newer(m.Announcement, old.Announcement) {
		return
	}
	t.members[m.Upstream] = m
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

// Gossip returns the message for a peer.
func (t *Table) Gossip(now manager.Time) manager.GossipMessage {
	t.forget(now)
	m := manager.GossipMessage{From: t.Gateway}
	for _, member := range t.All(now) {
		m.Entries = append(m.Entries, manager.GossipEntry{
			Announcement: member.Announcement,
			AgeMs:        now.Sub(member.AnnouncedAt),
		})
	}
	return m
}

func (t *Table) forget(now manager.Time) {
	for id, m := range t.members {
		if now.Sub(m.AnnouncedAt) > forgetAfter {
			delete(t.members, id)
		}
	}
}

// Ready returns the upstreams of a service that may get new work, ordered by id.
func (t *Table) Ready(now manager.Time, s manager.ServiceID) []manager.Member {
	list := make([]manager.Member, 0, len(t.members))
	for _, m := range t.members {
		fresh := now.Sub(m.AnnouncedAt) < t.timeToLive()
		if m.Service == s && m.State == manager.UpstreamReady && fresh {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, byID)
	return list
}

// All returns every known upstream, ordered by id.
func (t *Table) All(manager.Time) []manager.Member {
	list := make([]manager.Member, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, m)
	}
	slices.SortFunc(list, byID)
	return list
}

func (t *Table) timeToLive() manager.Duration {
	if t.TimeToLive == 0 {
		return DefaultTimeToLive
	}
	return t.TimeToLive
}

func byID(a, b manager.Member) int {
	return strings.Compare(string(a.Upstream), string(b.Upstream))
}
