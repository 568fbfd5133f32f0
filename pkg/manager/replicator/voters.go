package replicator

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// missedHeartbeats is the number of heartbeats that others have answered meanwhile after which a voter counts as gone.
	missedHeartbeats = 3
	// demotionTimeouts is the number of election timeouts of silence after which one of an even number of voters loses its vote
	// beside a successor.
	demotionTimeouts = 2
	// leastVoters is the number of voters down to which those that are gone lose their vote.
	leastVoters = 3
)

// adjustVoters gives a vote to a learner or takes that of a voter that is gone, one at a time. A replica whose process stops
// or has ended may never return, so its vote passes to a learner before another replica is lost.
func (r *Replica) adjustVoters(now manager.Time) {
	if r.checkMemberChange() != nil || r.confirmMembers(now) || r.promoteLearner(now) {
		return
	}
	if r.Options.OddVoters && r.voterCount() > leastVoters {
		r.demoteGoneVoter(now)
	}
}

// promoteLearner makes a learner that holds all committed entries a voter, and reports whether it has done so.
func (r *Replica) promoteLearner(now manager.Time) bool {
	if r.voterCount() >= MaxVoters {
		return false
	}
	ready := r.readyLearners(now)
	if len(ready) == 0 || len(ready) == 1 && r.Options.OddVoters && r.voterCount()%2 == 1 && !r.hasSuccessor() &&
		!slices.ContainsFunc(r.members.List, r.isGoneVoter) {
		return false
	}
	return r.setLearner(now, ready[0], false)
}

// hasSuccessor reports whether the group has more members than at its first start, so that one may leave without notice and
// another one lose its disk right after it. Only a vote of the additional member leaves enough votes then.
func (r *Replica) hasSuccessor() bool {
	founders := len(r.members.Founders)
	return founders > 0 && len(r.members.List) > founders && r.voterCount() >= leastVoters
}

// demoteGoneVoter makes a voter that is gone a learner, which keeps its disk and may be promoted again.
func (r *Replica) demoteGoneVoter(now manager.Time) {
	for _, m := range r.members.List {
		if r.isGoneVoter(m) && r.isDemotable(m) && r.setLearner(now, m.Replica, true) {
			return
		}
	}
}

// isDemotable reports whether a voter that is gone should lose its vote now. Beside a successor, the voters bear its loss and that
// of a disk. A silent one then keeps its vote for so long that a leader in one half of a partition steps down before that:
// a change that the partition holds up would leave the next election without enough voters.
func (r *Replica) isDemotable(m manager.ReplicaMember) bool {
	p := r.lead.progressOf(m.Replica)
	return p.stopping || !allowsExclusion(r.members) || !r.hasSuccessor() || r.lastAnswer().Sub(p.heardAt) >= demotionTimeouts*r.Options.ElectionTimeout
}

// setLearner proposes the change of one member, unless the voters that are not gone are no quorum now or would be none after
// it. A change that can't be committed would only be in the way of the next election.
func (r *Replica) setLearner(now manager.Time, id manager.ReplicaID, learner bool) bool {
	list := slices.Clone(r.members.List)
	i := slices.IndexFunc(list, func(m manager.ReplicaMember) bool { return m.Replica == id })
	list[i].Learner = learner
	voters, gone := 0, 0
	for _, m := range list {
		if !m.Learner {
			voters++
		}
		if r.isGoneVoter(m) {
			gone++
		}
	}
	if (voters-gone)*2 <= voters || !r.hasQuorum(r.isHeard) {
		return false
	}
	r.changeMemberList(now, list)
	return true
}

// isGoneVoter reports whether a member is a voter other than this leader that has said it is stopping, or that has not
// answered while others have. The silence of all is no sign, as this replica may have stood still itself.
func (r *Replica) isGoneVoter(m manager.ReplicaMember) bool {
	p := r.lead.progressOf(m.Replica)
	return !m.Learner && m.Replica != r.ID && (p.stopping || r.lastAnswer().Sub(p.heardAt) >= missedHeartbeats*r.Options.HeartbeatPeriod)
}

// isHeard reports whether a voter is this leader or not gone.
func (r *Replica) isHeard(id manager.ReplicaID) bool {
	m, ok := r.member(id)
	return ok && !r.isGoneVoter(m)
}

// lastAnswer returns when the latest answer of a follower came.
func (r *Replica) lastAnswer() manager.Time {
	var last manager.Time
	for _, p := range r.lead.followers {
		if p.replica != r.ID {
			last = max(last, p.heardAt)
		}
	}
	return last
}

// readyLearners returns the learners that are not stopping, were heard within the election timeout and hold all committed
// entries.
func (r *Replica) readyLearners(now manager.Time) []manager.ReplicaID {
	var ready []manager.ReplicaID
	for _, m := range r.members.List {
		p := r.lead.progressOf(m.Replica)
		if m.Learner && !p.stopping && p.match >= r.commit && now.Sub(p.heardAt) < r.Options.ElectionTimeout {
			ready = append(ready, m.Replica)
		}
	}
	return ready
}

// lastEntryFor returns the last entry that a follower may get now. A voter gets the change that takes its vote only once it
// is committed, unless its vote still counts with the entry: as a learner it would start no election, although a group
// without its leader may need it for one.
func (r *Replica) lastEntryFor(id manager.ReplicaID) manager.Index {
	last := r.log.last()
	if r.isVoter(id) {
		return last
	}
	for i := r.commit + 1; i <= last; i++ {
		if r.log.entries[i-r.log.base-1].Members == nil {
			continue
		}
		before := r.log.membersAt(i - 1)
		if !allowsExclusion(before) && slices.ContainsFunc(before.List, func(m manager.ReplicaMember) bool { return m.Replica == id && !m.Learner }) {
			return i - 1
		}
	}
	return last
}
