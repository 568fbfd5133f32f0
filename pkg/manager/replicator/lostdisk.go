package replicator

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// NoteDisk records which disk the process at a member's address has. Another disk than the member's shows that the member
// has ended: its process is gone, and it can't return without its disk.
func (r *Replica) NoteDisk(now manager.Time, id manager.ReplicaID, disk manager.DiskID) {
	isOther := func(m manager.ReplicaMember) bool { return m.Replica == id && m.Disk != disk }
	if disk == "" || id == r.ID || !slices.ContainsFunc(r.electors(), isOther) {
		return
	}
	if r.lostDisks == nil {
		r.lostDisks = map[manager.ReplicaID]bool{}
	}
	r.lostDisks[id] = true
	if r.role == RolePreCandidate {
		r.excluded = r.lostVoter()
		if r.preVoteWon() {
			r.campaign(now, false)
		}
	}
}

// lostVoter returns a voter with a lost disk that an election may leave out, or 0.
//
// An election that leaves out a voter, and the leader that it elects, need a majority of the others in each step. All of
// these steps follow the loss, so that no two elections can leave out each other's voters.
func (r *Replica) lostVoter() manager.ReplicaID {
	for _, m := range r.electors() {
		if r.lostDisks[m.Replica] {
			return m.Replica
		}
	}
	return 0
}

// UnheardVoters returns the voters that may have lost their disks: those that a leader has not heard for some heartbeats, or
// all others while no leader is heard. It returns none if no voter can be left out.
func (r *Replica) UnheardVoters(now manager.Time) []manager.ReplicaMember {
	if !slices.ContainsFunc([]manager.Members{r.members, r.priorMembers}, allowsExclusion) {
		return nil
	}
	limit := missedHeartbeats * r.Options.HeartbeatPeriod
	if r.role != RoleLeader && r.leader != 0 && now.Sub(r.heardAt) < limit {
		return nil
	}
	var list []manager.ReplicaMember
	for _, m := range r.electors() {
		heard := r.role == RoleLeader && now.Sub(r.lead.progressOf(m.Replica).heardAt) < limit
		if m.Replica != r.ID && !heard && !r.lostDisks[m.Replica] {
			list = append(list, m)
		}
	}
	return list
}

// mustExclude reports whether a leader hears too few voters but would hear enough in an election that leaves out a voter with
// a lost disk. It can't change the quorums of its own term, as entries were acknowledged under them before the loss.
func (r *Replica) mustExclude(now manager.Time) bool {
	lost := r.lostVoter()
	if lost == 0 || r.excluded != 0 || r.transfer.target != 0 {
		return false
	}
	heard := func(id manager.ReplicaID) bool {
		return id == r.ID || now.Sub(r.lead.progressOf(id).heardAt) < missedHeartbeats*r.Options.HeartbeatPeriod
	}
	if r.hasQuorum(heard) {
		return false
	}
	r.excluded = lost
	defer func() { r.excluded = 0 }()
	return r.hasQuorum(heard)
}
