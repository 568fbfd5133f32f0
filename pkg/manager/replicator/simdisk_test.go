package replicator_test

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// disk is what survives a crash.
type disk struct {
	id       manager.DiskID
	hard     manager.HardState
	snapshot replicator.Snapshot
	entries  []manager.Entry
}

func (d *disk) write(r replicator.Ready) {
	if r.HardState != nil {
		d.hard = *r.HardState
	}
	if r.Snapshot != nil {
		d.snapshot, d.entries = *r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		keep := slices.IndexFunc(d.entries, func(e manager.Entry) bool { return e.Index >= first })
		if keep >= 0 {
			d.entries = d.entries[:keep:keep]
		}
		d.entries = append(d.entries, r.Entries...)
	}
}

// fillPiece reads a snapshot piece from the sender's disk.
func fillPiece(n *simNode, m *manager.ReplicaMessage) bool {
	p := *m.Snapshot
	if n.disk.snapshot.Meta.Index != p.Meta.Index {
		return false
	}
	const piece = 16
	end := min(p.Offset+piece, int64(len(n.disk.snapshot.Data)))
	p.Data = n.disk.snapshot.Data[p.Offset:end]
	m.Snapshot = &p
	return true
}
