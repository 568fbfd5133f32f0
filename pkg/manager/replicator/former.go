package replicator

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// IdentityFormat is the format version of a replica's identity file.
const IdentityFormat = 1

// Bootstrapper decides whether a replica with a fresh disk may bootstrap the group. Only the one with the
// lowest ID may, once, and only while every other initial replica has a fresh disk too. All others join
// when the group writes to their disk, so that a replica which lost its disk never votes under its old ID.
type Bootstrapper struct {
	ID   manager.ReplicaID
	Disk manager.DiskID
	// Initial are the members named in the settings; their disk IDs are not known yet.
	Initial []manager.ReplicaMember

	freshDisks map[manager.ReplicaID]manager.DiskID
	diskLost   bool
}

// AddAnswer records another replica's answer to a probe.
func (f *Bootstrapper) AddAnswer(a manager.BootstrapAnswer) {
	if f.freshDisks == nil {
		f.freshDisks = map[manager.ReplicaID]manager.DiskID{}
	}
	if !a.Bootstrapped {
		f.freshDisks[a.Replica] = a.Disk
		return
	}
	delete(f.freshDisks, a.Replica)
	for _, m := range a.Members.List {
		if m.Replica == f.ID && m.Disk != f.Disk {
			f.diskLost = true
		}
	}
}

// DiskLost reports whether the group knows this replica ID with another disk.
func (f *Bootstrapper) DiskLost() bool { return f.diskLost }

// InitialMembers returns the members of the new group, or false while this replica may not bootstrap it.
func (f *Bootstrapper) InitialMembers() (manager.Members, bool) {
	var members manager.Members
	for _, m := range f.Initial {
		if m.Replica < f.ID {
			return members, false
		}
		m.Disk = f.freshDisks[m.Replica]
		if m.Replica == f.ID {
			m.Disk = f.Disk
		}
		if m.Disk == "" {
			return members, false
		}
		members.List = append(members.List, m)
		members.LastReplica = max(members.LastReplica, m.Replica)
	}
	for _, m := range members.List {
		members.Founders = append(members.Founders, m.Address)
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
