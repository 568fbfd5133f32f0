package replicator

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// IdentityFormat is the layout of a replica's identity.
const IdentityFormat = 1

// Former decides whether a replica with a fresh disk may found the group: only the one with the
// lowest id does, once, and only while every other initial replica has a fresh disk too. All
// others join when the group writes to their disk, so that a replica which lost its disk never
// votes under its old id.
type Former struct {
	ID   manager.ReplicaID
	Disk manager.DiskID
	// Initial are the members that the settings name; their disks are not known yet.
	Initial []manager.ReplicaMember

	fresh map[manager.ReplicaID]manager.DiskID
	lost  bool
}

// Take takes the answer of another replica.
func (f *Former) Take(a manager.BootstrapAnswer) {
	if f.fresh == nil {
		f.fresh = map[manager.ReplicaID]manager.DiskID{}
	}
	if !a.Formed {
		f.fresh[a.Replica] = a.Disk
		return
	}
	delete(f.fresh, a.Replica)
	for _, m := range a.Members.List {
		if m.Replica == f.ID && m.Disk != f.Disk {
			f.lost = true
		}
	}
}

// DiskLost tells whether the group knows this replica id with another disk.
func (f *Former) DiskLost() bool { return f.lost }

// Found returns the members of the new group, or false while this replica may not found it.
func (f *Former) Found() (manager.Members, bool) {
	var members manager.Members
	for _, m := range f.Initial {
		if m.Replica < f.ID {
			return members, false
		}
		m.Disk = f.fresh[m.Replica]
		if m.Replica == f.ID {
			m.Disk = f.Disk
		}
		if m.Disk == "" {
			return members, false
		}
		members.List = append(members.List, m)
		members.LastReplica = max(members.LastReplica, m.Replica)
	}
	slices.SortFunc(members.List, func(a, b manager.ReplicaMember) int { return int(a.Replica) - int(b.Replica) })
	return members, true
}

// Founded returns what the founder's disk must hold before it sends anything to the others.
func Founded(m manager.Members) Stored {
	return Stored{
		HardState: manager.HardState{Term: 1},
		Entries:   []manager.Entry{{Index: 1, Term: 1, Kind: manager.EntryMembers, Members: &m}},
	}
}

// Belongs tells whether a message proves that the group has taken in this fresh disk. A disk without
// a replica id takes the one that the group has given it.
func Belongs(id manager.ReplicaIdentity, m manager.ReplicaMessage) bool {
	return id.Group == "" && m.Group != "" && m.Disk == id.Disk && (id.Replica == 0 && m.To != 0 || m.To == id.Replica)
}
