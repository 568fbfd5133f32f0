package replicator

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// leastExclusionVoters is the least even number of voters of which one with a lost disk may be left out.
const leastExclusionVoters = 4

// votersOf returns the voters among members.
func votersOf(m manager.Members) []manager.ReplicaMember {
	return slices.DeleteFunc(slices.Clone(m.List), func(m manager.ReplicaMember) bool { return m.Learner })
}

// allowsExclusion reports whether a majority of all voters but one overlaps each majority of all voters, as it does for an
// even number of them: n/2 of n-1 and n/2+1 of n.
func allowsExclusion(m manager.Members) bool {
	n := len(votersOf(m))
	return n >= leastExclusionVoters && n%2 == 0
}

// quorumGroup is a set of replicas of which more than half are needed.
type quorumGroup []manager.ReplicaMember

// groupsKey is what the quorum groups depend on besides the members.
type groupsKey struct {
	committed bool
	excluded  manager.ReplicaID
}

// quorumGroups returns the groups that elections, commits and confirmations of the leadership need a majority of: the
// voters among the latest members and, while the change to these may not be committed, the voters before it if one of them
// may be left out. A majority that leaves one out need not overlap the majorities of the next members.
func (r *Replica) quorumGroups() []quorumGroup {
	key := groupsKey{committed: r.latestCommitted(), excluded: r.excluded}
	if r.groups != nil && r.groupsKey == key {
		return r.groups
	}
	r.groupsKey, r.groups = key, []quorumGroup{r.quorumGroup(r.members, key.committed)}
	if !key.committed && allowsExclusion(r.priorMembers) {
		// A change is proposed only after the one before it has been committed.
		r.groups = append(r.groups, r.quorumGroup(r.priorMembers, true))
	}
	return r.groups
}

func (r *Replica) quorumGroup(m manager.Members, committed bool) quorumGroup {
	voters := votersOf(m)
	if !committed || !allowsExclusion(m) {
		return voters
	}
	return slices.DeleteFunc(voters, func(m manager.ReplicaMember) bool { return m.Replica == r.excluded })
}

// hasQuorum reports whether more than half of each quorum group pass.
func (r *Replica) hasQuorum(pass func(manager.ReplicaID) bool) bool {
	for _, g := range r.quorumGroups() {
		passed := 0
		for _, m := range g {
			if pass(m.Replica) {
				passed++
			}
		}
		if passed <= len(g)/2 {
			return false
		}
	}
	return true
}

// quorumMatch returns the last entry that a quorum holds.
func (r *Replica) quorumMatch() manager.Index {
	least := r.log.last()
	for _, g := range r.quorumGroups() {
		if len(g) == 0 {
			return 0
		}
		matches := make([]manager.Index, len(g))
		for i, m := range g {
			matches[i] = r.lead.progressOf(m.Replica).match
		}
		slices.Sort(matches)
		least = min(least, matches[(len(matches)-1)/2])
	}
	return least
}

// electors returns the voters of all quorum groups, with those that are left out.
func (r *Replica) electors() []manager.ReplicaMember {
	electors := votersOf(r.members)
	if r.latestCommitted() || !allowsExclusion(r.priorMembers) {
		return electors
	}
	for _, m := range votersOf(r.priorMembers) {
		if !slices.ContainsFunc(electors, func(e manager.ReplicaMember) bool { return e.Replica == m.Replica }) {
			electors = append(electors, m)
		}
	}
	return electors
}

// isElector reports whether a replica is a voter or loses its vote by a change that may not be committed.
func (r *Replica) isElector(id manager.ReplicaID) bool {
	return slices.ContainsFunc(r.electors(), func(m manager.ReplicaMember) bool { return m.Replica == id })
}

// latestCommitted reports whether the latest members are known to be committed.
func (r *Replica) latestCommitted() bool { return r.members.Confirmed || r.membersIndex <= r.commit }

// confirmMembers appends the members once more when their change is committed, and reports whether it has done so. A
// restarted replica doesn't know which of its entries are committed; the second entry shows that the first one was.
func (r *Replica) confirmMembers(now manager.Time) bool {
	if r.members.Confirmed {
		return false
	}
	m := r.members
	m.Confirmed = true
	r.appendMembers(now, m)
	return true
}
