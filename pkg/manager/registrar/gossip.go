package registrar

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// unknownAge is the packed age of an entry that is older than the largest step; the receiver ignores it.
	unknownAge = 15
	// rumorLifetime is how long a change is sent with each message. Changes that a peer misses in this time are
	// repaired by anti-entropy, which compares digests.
	rumorLifetime = 1 * manager.Second
	// maxRumors bounds the changes in one message; if there are more, the older ones spread by anti-entropy.
	maxRumors = 32
)

// ageSteps are the ages in milliseconds that four bits can encode besides unknownAge. Ages are rounded up, so with
// coarser steps an upstream would look older after each gateway that relays its age. The steps are finest for low
// ages, because announcements are young while they spread.
var ageSteps = [unknownAge]manager.Duration{0, 100, 200, 300, 400, 500, 600, 700, 800, 900, 1100, 1300, 1600, 2000, 2500}

// packAge returns the index of the smallest step that is not below age, or unknownAge.
func packAge(age manager.Duration) byte {
	for i, step := range ageSteps {
		if age <= step {
			return byte(i)
		}
	}
	return unknownAge
}

// echo is the clock reading of a peer's last answer, and when it was received. Sent back to the peer, it bounds how
// long a message was in transit.
type echo struct {
	clock manager.Time
	start manager.StartID
	at    manager.Time
}

// rumor is a recent change that peers may not know yet.
type rumor struct {
	upstream manager.UpstreamID
	at       manager.Time
}

func (t *Table) addRumor(now manager.Time, id manager.UpstreamID) {
	t.rumors = append(t.rumors, rumor{upstream: id, at: now})
	if len(t.rumors) > maxRumors {
		t.rumors = slices.Delete(t.rumors, 0, len(t.rumors)-maxRumors)
	}
}

// announcementDigest returns the hash of an upstream's incarnation and state. The membership digest is the XOR of
// these hashes.
func announcementDigest(a manager.Announcement) manager.MembershipDigest {
	return manager.MembershipDigest(xxhash.Sum64String(fmt.Sprintf("%s\n%d\n%s", a.Upstream, a.Incarnation, a.State)))
}

func entryDigest(a manager.Announcement) manager.EntryDigest {
	return manager.EntryDigest(announcementDigest(a) & 0xffffffff)
}

// Gossip returns the message that starts an exchange with a peer.
func (t *Table) Gossip(now manager.Time, peer manager.GatewayID) manager.GossipMessage {
	t.init()
	t.expire(now)
	m := t.message(now)
	if e, ok := t.echoes[peer]; ok {
		m.Echo, m.EchoStart, m.SinceMs = e.clock, e.start, now.Sub(e.at)
	}
	return m
}

// message returns a message with the content that all messages have: digest, ages and recent changes.
func (t *Table) message(now manager.Time) manager.GossipMessage {
	m := manager.GossipMessage{From: t.Gateway, Start: t.Start, Clock: now, Digest: t.digest, Ages: t.ages(now)}
	t.rumors = slices.DeleteFunc(t.rumors, func(r rumor) bool { return now.Sub(r.at) > rumorLifetime })
	sent := map[manager.UpstreamID]bool{}
	for _, r := range t.rumors {
		if _, ok := t.members[r.upstream]; ok && !sent[r.upstream] {
			sent[r.upstream] = true
			m.Entries = append(m.Entries, t.entry(now, r.upstream))
		}
	}
	return m
}

func (t *Table) entry(now manager.Time, id manager.UpstreamID) manager.GossipEntry {
	r := t.members[id]
	return manager.GossipEntry{Announcement: r.Announcement, AgeMs: now.Sub(r.AnnouncedAt)}
}

// ages packs the age of each upstream into four bits, in the order of upstream IDs.
func (t *Table) ages(now manager.Time) []byte {
	packed := make([]byte, (len(t.order)+1)/2)
	for i, id := range t.order {
		packed[i/2] |= packAge(now.Sub(t.members[id].AnnouncedAt)) << (4 * (i % 2))
	}
	return packed
}

// Answer processes a peer's message and returns the answer. The entries and ages of a message are accepted only if
// an echo of this gateway's clock bounds its transit time.
func (t *Table) Answer(now manager.Time, m manager.GossipMessage) manager.GossipMessage {
	t.init()
	t.expire(now)
	transit := now.Sub(m.Echo) - m.SinceMs
	if m.Echo > 0 && m.Echo <= now && m.EchoStart == t.Start && m.SinceMs >= 0 && transit >= 0 {
		t.acceptEntries(now, transit, m)
	}
	a := t.message(now)
	t.addWanted(now, &a, m.Want)
	if t.digest != m.Digest {
		a.Summary = t.summary()
	}
	return a
}

// acceptEntries stores the entries of a message whose transit time was at most transit, and applies its ages if the
// digests of both sides are equal.
func (t *Table) acceptEntries(now manager.Time, transit manager.Duration, m manager.GossipMessage) {
	for _, e := range m.Entries {
		age := e.AgeMs + transit
		if Validate(e.Announcement) != nil || e.AgeMs < 0 || e.AgeMs > memberExpiry || age > memberExpiry {
			continue
		}
		t.store(now, manager.Member{Announcement: e.Announcement, AnnouncedAt: now.Add(-age)})
	}
	if m.Digest != t.digest || len(m.Ages) != (len(t.order)+1)/2 {
		return
	}
	for i, id := range t.order {
		packed := m.Ages[i/2] >> (4 * (i % 2)) & unknownAge
		if packed == unknownAge {
			continue
		}
		r := t.members[id]
		r.AnnouncedAt = max(r.AnnouncedAt, now.Add(-ageSteps[packed]-transit))
	}
}

// Merge processes the answer to a message that was sent at sent, and returns a second message if the two
// gateways still differ.
func (t *Table) Merge(now, sent manager.Time, peer manager.GatewayID, m manager.GossipMessage) (manager.GossipMessage, bool) {
	t.init()
	t.echoes[peer] = echo{clock: m.Clock, start: m.Start, at: now}
	t.acceptEntries(now, now.Sub(sent), m)
	if len(m.Summary) == 0 && m.Digest == t.digest {
		return manager.GossipMessage{}, false
	}
	next := t.Gossip(now, peer)
	known := make(map[manager.EntryDigest]bool, len(m.Summary))
	for _, d := range m.Summary {
		known[d] = true
	}
	included := map[manager.UpstreamID]bool{}
	for _, e := range next.Entries {
		included[e.Announcement.Upstream] = true
	}
	for _, id := range t.order {
		d := entryDigest(t.members[id].Announcement)
		if !known[d] && !included[id] {
			next.Entries = append(next.Entries, t.entry(now, id))
		}
		delete(known, d)
	}
	for _, d := range m.Summary {
		if known[d] {
			next.Want = append(next.Want, d)
		}
	}
	return next, true
}

func (t *Table) summary() []manager.EntryDigest {
	list := make([]manager.EntryDigest, 0, len(t.order))
	for _, id := range t.order {
		list = append(list, entryDigest(t.members[id].Announcement))
	}
	return list
}

// addWanted adds the entries that a peer requested.
func (t *Table) addWanted(now manager.Time, a *manager.GossipMessage, want []manager.EntryDigest) {
	if len(want) == 0 {
		return
	}
	wanted := make(map[manager.EntryDigest]bool, len(want))
	for _, d := range want {
		wanted[d] = true
	}
	for _, e := range a.Entries {
		delete(wanted, entryDigest(e.Announcement))
	}
	for _, id := range t.order {
		if wanted[entryDigest(t.members[id].Announcement)] {
			a.Entries = append(a.Entries, t.entry(now, id))
		}
	}
}
