package applier

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// SnapshotFormat is the version of the snapshot's layout; another version is refused on restore.
const SnapshotFormat = 1

// ErrSnapshotFormat reports a snapshot of a layout that this program does not read.
var ErrSnapshotFormat = eris.New("snapshot has an unknown format")

type snapshot struct {
	Format        int
	Revision      manager.Revision
	Configuration manager.Revision
	Now           manager.Time
	NextLease     manager.LeaseID
	Profiles      [][]manager.Profile
	Pools         []manager.Pool
	VMs           []manager.VM
	Waves         []manager.Wave
	Jobs          []manager.Job
	Results       []resultRecord
	Claims        []*claimRecord
	// Spent are the ids without a time that were claimed once.
	Spent []fingerprint `json:",omitempty"`
}

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{
		Format: SnapshotFormat, Revision: s.revision, Configuration: s.configuration, Now: s.now, NextLease: s.nextID,
		Profiles: values(s.profiles), Pools: values(s.pools), VMs: values(s.vms),
		Waves: values(s.waves), Jobs: values(s.jobs),
		Results: s.results.order, Claims: s.claims.live(), Spent: s.claims.spentIDs(),
	}
	data, err := json.Marshal(snap)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state by a snapshot.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if snap.Format != SnapshotFormat {
		return fmt.Errorf("restore format %d: %w", snap.Format, ErrSnapshotFormat)
	}
	fresh := New()
	fresh.revision, fresh.now, fresh.nextID = snap.Revision, snap.Now, snap.NextLease
	fresh.configuration = snap.Configuration
	for _, history := range snap.Profiles {
		if len(history) > 0 {
			fresh.profiles[history[0].Profile] = history
			fresh.book.SetProfile(history[len(history)-1])
		}
	}
	for _, p := range snap.Pools {
		fresh.putPool(p)
	}
	for _, v := range snap.VMs {
		fresh.putVM(v)
	}
	for _, w := range snap.Waves {
		fresh.waves[w.Wave] = w
	}
	for _, j := range snap.Jobs {
		fresh.putJob(j)
	}
	for _, r := range snap.Results {
		fresh.results.add(r)
	}
	for _, r := range snap.Claims {
		fresh.claims.add(r)
	}
	for _, id := range snap.Spent {
		fresh.claims.spent[id] = struct{}{}
	}
	*s = *fresh
	return nil
}
