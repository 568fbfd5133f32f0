package registrar

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// oldAge is the packed age that says nothing.
	oldAge = 15
	// rumorTime is how long a change is sent with each message; the digests repair what it misses.
	rumorTime = 1 * manager.Second
	// maxRumors bounds the changes in one message; a wave of changes goes by the repair instead.
	maxRumors = 32
)

// ageSteps are the ages in milliseconds that half a byte can say, but for oldAge. Ages are rounded up,
// so coarser steps make upstreams look older with each gateway on the way; news on its way is young.
var ageSteps = [oldAge]manager.Duration{0, 100, 200, 300, 400, 500, 600, 700, 800, 900, 1100, 1300, 1600, 2000, 2500}

// packAge returns the smallest step that is not below age.
func packAge(age manager.Duration) byte {
	for i, step := range ageSteps {
		if age <= step {
			return byte(i)
		}
	}
	return oldAge
}

// echo is what a peer's clock said and when that was heard.
type echo struct {
	clock manager.Time
	start manager.StartID
	at    manager.Time
}

// rumor is a change that peers may not know yet.
type rumor struct {
	upstream manager.UpstreamID
	at       manager.Time
}

func (t *Table) rumor(now manager.Time, id manager.UpstreamID) {
	t.rumors = append(t.rumors, rumor{upstream: id, at: now})
	if len(t.rumors) > maxRumors {
		t.rumors = slices.Delete(t.rumors, 0, len(t.rumors)-maxRumors)
	}
}

// identity is the part of the digest that one upstream's incarnation and state make.
func identity(a manager.Announcement) manager.MembershipDigest {
	return manager.MembershipDigest(xxhash.Sum64String(fmt.Sprintf("%s\n%d\n%s", a.Upstream, a.Incarnation, a.State)))
}

func shortIdentity(a manager.Announcement) manager.EntryDigest {
	return manager.EntryDigest(identity(a) & 0xffffffff)
}

// Gossip returns the message that opens an exchange with a peer.
func (t *Table) Gossip(now manager.Time, peer manager.GatewayID) manager.GossipMessage {
	t.init()
	t.forget(now)
	m := t.message(now)
	if e, ok := t.echoes[peer]; ok {
		m.Echo, m.EchoStart, m.SinceMs = e.clock, e.start, now.Sub(e.at)
	}
	return m
}

// message returns what every message carries.
func (t *Table) message(now manager.Time) manager.GossipMessage {
	m := manager.GossipMessage{From: t.Gateway, Start: t.Start, Clock: now, Digest: t.digest, Ages: t.ages(now)}
	t.rumors = slices.DeleteFunc(t.rumors, func(r rumor) bool { return now.Sub(r.at) > rumorTime })
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

// ages packs the age of each upstream into half a byte, in the order of their ids.
func (t *Table) ages(now manager.Time) []byte {
	packed := make([]byte, (len(t.order)+1)/2)
	for i, id := range t.order {
		packed[i/2] |= packAge(now.Sub(t.members[id].AnnouncedAt)) << (4 * (i % 2))
	}
	return packed
}

// Answer takes a peer's message and returns the answer. What a message says of ages counts only if
// an echo of this gateway's clock bounds how long it was under way.
func (t *Table) Answer(now manager.Time, m manager.GossipMessage) manager.GossipMessage {
	t.init()
	t.forget(now)
	transit := now.Sub(m.Echo) - m.SinceMs
	if m.Echo > 0 && m.EchoStart == t.Start && m.SinceMs >= 0 && transit >= 0 {
		t.accept(now, transit, m)
	}
	a := t.message(now)
	t.addWanted(now, &a, m.Want)
	if t.digest != m.Digest {
		a.Summary = t.summary()
	}
	return a
}

// accept takes the entries of a message that was under way for at most transit, and its ages if both
// sides know the same.
func (t *Table) accept(now manager.Time, transit manager.Duration, m manager.GossipMessage) {
	for _, e := range m.Entries {
		age := e.AgeMs + transit
		if Validate(e.Announcement) != nil || e.AgeMs < 0 || age > forgetAfter {
			continue
		}
		t.take(now, manager.Member{Announcement: e.Announcement, AnnouncedAt: now.Add(-age)})
	}
	if m.Digest != t.digest || len(m.Ages) != (len(t.order)+1)/2 {
		return
	}
	for i, id := range t.order {
		packed := m.Ages[i/2] >> (4 * (i % 2)) & oldAge
		if packed == oldAge {
			continue
		}
		r := t.members[id]
		r.AnnouncedAt = max(r.AnnouncedAt, now.Add(-ageSteps[packed]-transit))
	}
}

// Merge takes the answer to a message that was sent at sent, and returns a second message if the two
// gateways still differ.
func (t *Table) Merge(now, sent manager.Time, peer manager.GatewayID, m manager.GossipMessage) (manager.GossipMessage, bool) {
	t.init()
	t.echoes[peer] = echo{clock: m.Clock, start: m.Start, at: now}
	t.accept(now, now.Sub(sent), m)
	if len(m.Summary) == 0 && m.Digest == t.digest {
		return manager.GossipMessage{}, false
	}
	next := t.Gossip(now, peer)
	known := make(map[manager.EntryDigest]bool, len(m.Summary))
	for _, d := range m.Summary {
		known[d] = true
	}
	sent32 := map[manager.UpstreamID]bool{}
	for _, e := range next.Entries {
		sent32[e.Announcement.Upstream] = true
	}
	for _, id := range t.order {
		d := shortIdentity(t.members[id].Announcement)
		if !known[d] && !sent32[id] {
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
		list = append(list, shortIdentity(t.members[id].Announcement))
	}
	return list
}

// addWanted adds the entries that a peer asked for.
func (t *Table) addWanted(now manager.Time, a *manager.GossipMessage, want []manager.EntryDigest) {
	if len(want) == 0 {
		return
	}
	wanted := make(map[manager.EntryDigest]bool, len(want))
	for _, d := range want {
		wanted[d] = true
	}
	for _, e := range a.Entries {
		delete(wanted, shortIdentity(e.Announcement))
	}
	for _, id := range t.order {
		if wanted[shortIdentity(t.members[id].Announcement)] {
			a.Entries = append(a.Entries, t.entry(now, id))
		}
	}
}
