package applier

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/budgeter"
)

const (
	// MaxResults limits the command results kept for resends. A resend that is older than this many
	// commands is applied as a new command and fails on its version.
	MaxResults = 20_000
	// MaxProfiles limits the profiles; each keeps up to MaxHistory versions in memory.
	MaxProfiles = 1_000
	// MaxHistory limits the versions kept of one profile; older ones are no longer available.
	MaxHistory = 50
)

// State is the replicated state; it is not safe for concurrent use.
type State struct {
	revision manager.Revision
	// configuration is the revision of the last change to a profile or a pool.
	configuration manager.Revision
	view          view
	now           manager.Time
	lastLeaseID   manager.LeaseID

	profiles map[manager.ProfileID][]manager.Profile
	pools    map[manager.PoolID]manager.Pool
	vms      map[manager.VMID]manager.VM
	waves    map[manager.WaveID]manager.Wave
	jobs     map[manager.JobID]manager.Job
	results  *resultTable
	claims   *claimTable
	tasks    *taskIndex
	// budgets counts the unavailable VMs; settling holds those that wait for their settle time.
	budgets  *budgeter.Book
	settling map[manager.VMID]bool
}

var _ manager.Applier = (*State)(nil)

// New returns an empty state.
func New() *State {
	return &State{
		profiles: map[manager.ProfileID][]manager.Profile{},
		pools:    map[manager.PoolID]manager.Pool{},
		vms:      map[manager.VMID]manager.VM{},
		waves:    map[manager.WaveID]manager.Wave{},
		jobs:     map[manager.JobID]manager.Job{},
		results:  newResultTable(),
		claims:   newClaimTable(),
		tasks:    newTaskIndex(),
		budgets:  budgeter.New(),
		settling: map[manager.VMID]bool{},
	}
}

// Digest returns the digest that the command carries, or else that of its body without the time of the
// proposal.
func Digest(c manager.Command) string {
	if c.Digest != "" {
		return c.Digest
	}
	c.At = 0
	data, err := json.Marshal(c)
	if err != nil {
		// Commands hold only plain data, which can always be encoded.
		panic(err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Apply applies a committed command and returns its result; a resend gets the first result.
func (s *State) Apply(c manager.Command) manager.Result {
	s.now = max(s.now, c.At)
	s.endSettling()
	if c.Command == "" {
		return s.applyNew(c)
	}
	digest := Digest(c)
	if first, ok := s.results.find(c.Command); ok {
		if first.Digest != digest {
			return s.fail(manager.Failure{Kind: manager.FailureReused, Name: string(c.Command)})
		}
		return first.Result
	}
	result := s.applyNew(c)
	s.results.add(resultRecord{Command: c.Command, Digest: digest, Result: result})
	return result
}

func (s *State) applyNew(c manager.Command) manager.Result {
	if c.MakeClaim != nil || c.RecordAnswer != nil || c.ClaimBatch != nil {
		return s.applyClaim(c)
	}
	before := s.revision
	s.revision++
	result, failure := s.applyBody(c)
	if failure != nil {
		s.revision = before
		return s.fail(*failure)
	}
	result.Revision = s.revision
	return result
}

func (s *State) applyBody(c manager.Command) (manager.Result, *manager.Failure) {
	switch {
	case c.ApplyProfile != nil:
		return s.applyProfile(*c.ApplyProfile)
	case c.LoadFleet != nil:
		return manager.Result{}, s.loadFleet(*c.LoadFleet)
	case c.ObserveVM != nil:
		return s.observeVM(*c.ObserveVM)
	case c.QuarantineVM != nil:
		return s.quarantineVM(*c.QuarantineVM)
	case c.StartMove != nil:
		return s.startMove(*c.StartMove)
	case c.CommitMove != nil:
		return s.commitMove(*c.CommitMove)
	case c.AbandonMove != nil:
		return s.abandonMove(*c.AbandonMove)
	case c.PlanWave != nil:
		return s.planWave(*c.PlanWave)
	case c.ApproveWave != nil:
		return s.approveWave(*c.ApproveWave)
	case c.SetWaveState != nil:
		return s.setWaveState(*c.SetWaveState)
	case c.AdvanceStep != nil:
		return s.advanceStep(*c.AdvanceStep)
	case c.Batch != nil:
		return s.applyBatch(*c.Batch)
	default:
		return s.applyJobCommand(c)
	}
}

func (s *State) fail(f manager.Failure) manager.Result {
	return manager.Result{Revision: s.revision, Failure: &f}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func sortedValues[K ~string, V any](m map[K]V) []V {
	list := make([]V, 0, len(m))
	for _, id := range sortedKeys(m) {
		list = append(list, m[id])
	}
	return list
}

func invalid(field, reason string) *manager.Failure {
	return &manager.Failure{Kind: manager.FailureInvalid, Field: field, Reason: reason}
}

func notExist(object, name string) *manager.Failure {
	return &manager.Failure{Kind: manager.FailureNotExist, Object: object, Name: name}
}

func conflict(object, name, reason string) *manager.Failure {
	return &manager.Failure{Kind: manager.FailureConflict, Object: object, Name: name, Reason: reason}
}
