package replicator

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// Status is a replica's view of itself and its group.
type Status struct {
	Replica manager.ReplicaID
	Role    Role
	Term    manager.Term
	Leader  manager.ReplicaID
	Commit  manager.Index
	Last    manager.Index
	// First is the oldest entry that the log still holds.
	First   manager.Index
	Members manager.Members
	// MembersPending means that the latest change of the members is not committed, so that it may be undone.
	MembersPending bool
	// Silent are the members that a leader has not heard for silentAfter.
	Silent []manager.ReplicaID
	// Granted and Refused are the voters that have answered a candidate's latest request.
	Granted []manager.ReplicaID
	Refused []manager.ReplicaID
}

// silentAfter is the time without an answer after which a leader reports a member as silent.
const silentAfter = 5 * manager.Second

// Silent returns the members that this leader has not heard for silentAfter.
func (r *Replica) Silent(now manager.Time) []manager.ReplicaID {
	if r.role != RoleLeader {
		return nil
	}
	var list []manager.ReplicaID
	for _, p := range r.lead.followers {
		if p.replica != r.ID && now.Sub(p.heardAt) > silentAfter {
			list = append(list, p.replica)
		}
	}
	return list
}

// Status returns the current status, except for Silent.
func (r *Replica) Status() Status {
	s := Status{
		Replica: r.ID, Role: r.role, Term: r.hardState.Term, Leader: r.leader, Commit: r.commit,
		Last: r.log.last(), First: r.log.base + 1, Members: r.members,
		MembersPending: r.memberChangePending(),
	}
	if r.role != RolePreCandidate && r.role != RoleCandidate {
		return s
	}
	for _, m := range r.members.List {
		switch {
		case r.votes[m.Replica]:
			s.Granted = append(s.Granted, m.Replica)
		case r.refusals[m.Replica]:
			s.Refused = append(s.Refused, m.Replica)
		}
	}
	return s
}
