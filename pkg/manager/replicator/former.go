package replicator

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// IdentityFormat is the format version of a replica's identity file.
const IdentityFormat = 1

const (
	// partialDelay is how long a replica waits for the other initial ones before it forms the group without some of them, or
	// forms it instead of one with a lower ID. Each further one waits takeoverDelay longer.
	partialDelay  = 2 * manager.Second
	takeoverDelay = 1500 * manager.Millisecond
	// consentTime is how long a consent binds a replica, and maxAnswerAge the age up to which an answer with a consent counts.
	// The difference covers the way of the answer.
	consentTime  = 1500 * manager.Millisecond
	maxAnswerAge = 1 * manager.Second
)

// Bootstrapper decides whether a replica with a fresh disk may bootstrap the group. The one with the lowest ID does it as soon
// as every other initial replica has answered with a fresh disk too. All others join when the group writes to their disk,
// so that a replica which lost its disk never votes under its old ID.
//
// With Partial, more than half of the initial replicas suffice after a while, and another one may take over. A replica
// consents to one at a time. Should two form a group all the same, only one of them gets a quorum: each has more than half
// of the initial replicas as members, and a disk belongs to one group for good.
type Bootstrapper struct {
	ID   manager.ReplicaID
	Disk manager.DiskID
	// Initial are the members named in the settings; their disk IDs are not known yet.
	Initial   []manager.ReplicaMember
	Partial   bool
	StartedAt manager.Time

	answers     map[manager.ReplicaID]freshAnswer
	consentedTo manager.ReplicaID
	consentedAt manager.Time
	diskLost    bool
}

// freshAnswer is the latest answer of a replica with a fresh disk.
type freshAnswer struct {
	disk    manager.DiskID
	at      manager.Time
	consent bool
}

// Forming reports whether this replica may bootstrap the group now, if enough others consent.
func (f *Bootstrapper) Forming(now manager.Time) bool {
	rank := 0
	own := slices.ContainsFunc(f.Initial, func(m manager.ReplicaMember) bool { return m.Replica == f.ID })
	for _, m := range f.Initial {
		if m.Replica < f.ID {
			rank++
		}
	}
	if rank == 0 || !own {
		return own
	}
	return f.Partial && now.Sub(f.StartedAt) >= partialDelay+manager.Duration(rank)*takeoverDelay && !f.bound(now, f.ID)
}

// bound reports whether this replica has consented to another one than the given one.
func (f *Bootstrapper) bound(now manager.Time, but manager.ReplicaID) bool {
	return f.consentedTo != 0 && f.consentedTo != but && now.Sub(f.consentedAt) < consentTime
}

// Consent reports whether another replica may bootstrap the group as far as this one, which has a fresh disk, is concerned. Of
// two that may, the one with the lower ID goes first.
func (f *Bootstrapper) Consent(now manager.Time, to manager.ReplicaID) bool {
	if f.bound(now, to) || to > f.ID && f.Forming(now) {
		return false
	}
	f.consentedTo, f.consentedAt = to, now
	return true
}

// AddAnswer records another replica's answer to a probe.
func (f *Bootstrapper) AddAnswer(now manager.Time, a manager.BootstrapAnswer) {
	if f.answers == nil {
		f.answers = map[manager.ReplicaID]freshAnswer{}
	}
	if !a.Bootstrapped {
		f.answers[a.Replica] = freshAnswer{disk: a.Disk, at: now, consent: a.Consent}
		return
	}
	delete(f.answers, a.Replica)
	for _, m := range a.Members.List {
		if m.Replica == f.ID && m.Disk != f.Disk {
			f.diskLost = true
		}
	}
}

// DiskLost reports whether the group knows this replica ID with another disk.
func (f *Bootstrapper) DiskLost() bool { return f.diskLost }

// InitialMembers returns the members of the new group, or false while this replica may not bootstrap it.
func (f *Bootstrapper) InitialMembers(now manager.Time) (manager.Members, bool) {
	var members manager.Members
	if !f.Forming(now) {
		return members, false
	}
	for _, m := range f.Initial {
		members.LastReplica = max(members.LastReplica, m.Replica)
		members.Founders = append(members.Founders, m.Address)
		a := f.answers[m.Replica]
		m.Disk = a.disk
		if m.Replica == f.ID {
			m.Disk = f.Disk
		} else if f.Partial && (!a.consent || now.Sub(a.at) > maxAnswerAge) {
			continue
		}
		if m.Disk != "" {
			members.List = append(members.List, m)
		}
	}
	if n := len(members.List); n < len(f.Initial) && (!f.Partial || now.Sub(f.StartedAt) < partialDelay || n*2 <= len(f.Initial)) {
		return members, false
	}
	slices.SortFunc(members.List, func(a, b manager.ReplicaMember) int { return int(a.Replica) - int(b.Replica) })
	return members, true
}

// BootstrapState returns what the disk of the bootstrapping replica must hold before it sends anything to
// the others.
func BootstrapState(m manager.Members) PersistentState {
	return PersistentState{
		HardState: manager.HardState{Term: 1},
		Entries:   []manager.Entry{{Index: 1, Term: 1, Kind: manager.EntryMembers, Members: &m}},
	}
}

// ProvesMembership reports whether a message proves that the group has added this fresh disk as a member. A
// disk without a replica ID takes the one that the group assigned to it.
func ProvesMembership(id manager.ReplicaIdentity, m manager.ReplicaMessage) bool {
	return id.Group == "" && m.Group != "" && m.Disk == id.Disk && (id.Replica == 0 && m.To != 0 || m.To == id.Replica)
}
