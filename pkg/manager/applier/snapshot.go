package applier

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// SnapshotFormat is the format version of a snapshot; Restore refuses any other.
const SnapshotFormat = 1

// ErrSnapshotFormat reports a snapshot in a format that this version does not read.
var ErrSnapshotFormat = eris.New("snapshot has an unknown format")

type snapshot struct {
	Format        int
	Revision      manager.Revision
	Configuration manager.Revision
	Now           manager.Time
	// NextLease is the id of the last lease; the next one gets the id after it.
	NextLease manager.LeaseID
	Profiles  [][]manager.Profile
	Pools     []manager.Pool
	VMs       []manager.VM
	Waves     []manager.Wave
	Jobs      []manager.Job
	Results   []resultRecord
	Claims    []*claimRecord
	// Spent are the ids without a time whose claims have expired.
	Spent []fingerprint `json:",omitempty"`
}

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{
		Format: SnapshotFormat, Revision: s.revision, Configuration: s.configuration, Now: s.now, NextLease: s.lastLeaseID,
		Profiles: sortedValues(s.profiles), Pools: sortedValues(s.pools), VMs: sortedValues(s.vms),
		Waves: sortedValues(s.waves), Jobs: sortedValues(s.jobs),
		Results: s.results.order, Claims: s.claims.sortedClaims(), Spent: s.claims.sortedExpiredIDs(),
	}
	data, err := json.Marshal(snap)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state with that of a snapshot.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if snap.Format != SnapshotFormat {
		return fmt.Errorf("restore format %d: %w", snap.Format, ErrSnapshotFormat)
	}
	restored := New()
	restored.revision, restored.now, restored.lastLeaseID = snap.Revision, snap.Now, snap.NextLease
	restored.configuration = snap.Configuration
	for _, history := range snap.Profiles {
		if len(history) > 0 {
			restored.profiles[history[0].Profile] = history
			restored.budgets.SetProfile(history[len(history)-1])
		}
	}
	for _, p := range snap.Pools {
		restored.putPool(p)
	}
	for _, v := range snap.VMs {
		restored.putVM(v)
	}
	for _, w := range snap.Waves {
		restored.waves[w.Wave] = w
	}
	for _, j := range snap.Jobs {
		restored.putJob(j)
	}
	for _, r := range snap.Results {
		restored.results.add(r)
	}
	for _, r := range snap.Claims {
		restored.claims.add(r)
	}
	for _, id := range snap.Spent {
		restored.claims.expiredIDs[id] = struct{}{}
	}
	*s = *restored
	return nil
}
