package commander

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// stateReport is what the state commands print of a data folder.
type stateReport struct {
	Folder        string
	Identity      manager.ReplicaIdentity
	HardState     manager.HardState
	SnapshotIndex manager.Index
	SnapshotBytes int64
	FirstIndex    manager.Index
	LastIndex     manager.Index
	Segments      int
	SegmentBytes  int64
	Torn          *journaler.TornRecord `json:",omitempty"`
}

func newState(o *options) *cobra.Command {
	return newGroup("state", "Check a controller's data folder; nothing in it is changed",
		&cobra.Command{
			Use:   "verify DIR",
			Short: "Check every record of a replica's folder; fails with file and offset on damage",
			Args:  exactly(1),
			RunE: func(_ *cobra.Command, args []string) error {
				r, err := readState(args[0])
				if err != nil {
					return err
				}
				return o.print(r, stateTable(r))
			},
		},
		&cobra.Command{
			Use:   "inspect DIR",
			Short: "Show the entries of a replica's folder",
			Args:  exactly(1),
			RunE: func(_ *cobra.Command, args []string) error {
				c, err := journaler.ReadFolder(args[0])
				if err != nil {
					return fmt.Errorf("read %s: %w", args[0], err)
				}
				t := table{header: []string{"Index", "Term", "Entry"}}
				for _, e := range c.Stored.Entries {
					t.add(e.Index, e.Term, fmt.Sprintf("%s %s", e.Kind, e.Data))
				}
				return o.print(c.Stored, t)
			},
		},
	)
}

func readState(folder string) (stateReport, error) {
	r := stateReport{Folder: folder}
	id, ok, err := journaler.ReadIdentity(folder)
	if err != nil {
		return r, err
	}
	if !ok {
		return r, manager.ErrNotExist{Kind: "replica identity in folder", Name: folder}
	}
	c, err := journaler.ReadFolder(folder)
	if err != nil {
		return r, fmt.Errorf("read %s: %w", folder, err)
	}
	r.Identity, r.HardState, r.Torn = id, c.Stored.HardState, c.Torn
	r.SnapshotIndex, r.SnapshotBytes = c.Stored.Snapshot.Index, c.Stored.Snapshot.Bytes
	r.Segments, r.SegmentBytes = c.Files, c.Bytes
	if n := len(c.Stored.Entries); n > 0 {
		r.FirstIndex, r.LastIndex = c.Stored.Entries[0].Index, c.Stored.Entries[n-1].Index
	}
	return r, nil
}

func stateTable(r stateReport) table {
	t := table{header: []string{"Field", "Value", "Detail"}}
	t.add("replica", r.Identity.Replica, fmt.Sprintf("group %q, disk %s", r.Identity.Group, r.Identity.Disk))
	t.add("term", r.HardState.Term, fmt.Sprintf("vote for %d", r.HardState.Vote))
	t.add("snapshot", r.SnapshotIndex, fmt.Sprintf("%d bytes", r.SnapshotBytes))
	t.add("entries", r.LastIndex, fmt.Sprintf("from %d in %d segments, %d bytes", r.FirstIndex, r.Segments, r.SegmentBytes))
	if r.Torn != nil {
		t.add("torn", r.Torn.Offset, r.Torn.File+": cut off at the next start")
	}
	return t
}
