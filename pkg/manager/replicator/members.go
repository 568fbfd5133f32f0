package replicator

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// MaxVoters limits the voters of a group; more would only make commits slower.
const MaxVoters = 7

// transferState is a transfer of leadership in progress.
type transferState struct {
	target manager.ReplicaID
	until  manager.Time
	sent   bool
}

func (r *Replica) member(id manager.ReplicaID) (manager.ReplicaMember, bool) {
	for _, m := range r.members.List {
		if m.Replica == id {
			return m, true
		}
	}
	return manager.ReplicaMember{}, false
}

// loadMembers takes the members from the log.
func (r *Replica) loadMembers() {
	r.groups = nil
	r.members, r.membersIndex = r.log.members()
	r.priorMembers = r.log.membersAt(r.membersIndex - 1)
}

func (r *Replica) isVoter(id manager.ReplicaID) bool {
	m, ok := r.member(id)
	return ok && !m.Learner
}

// AddFounder adds a replica of the group's first start that is none of its initial members.
func (r *Replica) AddFounder(now manager.Time, m manager.ReplicaMember) error {
	return r.addMember(now, m, true)
}

// AddMember adds a replica as a learner; it is promoted to a voter once it has caught up.
func (r *Replica) AddMember(now manager.Time, m manager.ReplicaMember) error {
	return r.addMember(now, m, false)
}

func (r *Replica) addMember(now manager.Time, m manager.ReplicaMember, founder bool) error {
	if err := r.checkMemberChange(); err != nil {
		return err
	}
	name := strconv.FormatUint(uint64(m.Replica), 10)
	switch {
	case m.Replica <= r.members.LastReplica:
		reason := fmt.Sprintf("ids up to %d were used before; a replica that lost its disk needs a new id", r.members.LastReplica)
		return manager.ErrConflict{Kind: "replica", Name: name, Reason: reason}
	case m.Address == "":
		return manager.ErrInvalid{Field: "Address", Reason: "is missing"}
	case m.Disk == "":
		return manager.ErrInvalid{Field: "Disk", Reason: "is missing"}
	case len(r.members.List) >= MaxVoters+1:
		return manager.ErrConflict{Kind: "replica", Name: name, Reason: fmt.Sprintf("the group has %d replicas already", len(r.members.List))}
	}
	m.Learner = true
	next := r.members
	next.List, next.LastReplica = append(slices.Clone(next.List), m), m.Replica
	if founder && len(next.Founders) > 0 && !slices.Contains(next.Founders, m.Address) {
		next.Founders = append(slices.Clone(next.Founders), m.Address)
	}
	r.changeMembers(now, next)
	return nil
}

// RemoveMember removes a replica; a leader that removes itself steps down once the removal is committed.
func (r *Replica) RemoveMember(now manager.Time, id manager.ReplicaID) error {
	if err := r.checkMemberChange(); err != nil {
		return err
	}
	name := strconv.FormatUint(uint64(id), 10)
	m, ok := r.member(id)
	if !ok {
		return manager.ErrNotExist{Kind: "replica", Name: name}
	}
	if !m.Learner && r.voterCount() == 1 {
		return manager.ErrConflict{Kind: "replica", Name: name, Reason: "is the last voter"}
	}
	list := slices.DeleteFunc(slices.Clone(r.members.List), func(m manager.ReplicaMember) bool { return m.Replica == id })
	r.changeMemberList(now, list)
	return nil
}

func (r *Replica) voterCount() int { return len(votersOf(r.members)) }

// checkMemberChange allows one membership change at a time, and none before an entry of the leader's own
// term is committed: otherwise the changes of two leaders could have quorums that do not overlap.
func (r *Replica) checkMemberChange() error {
	if r.role != RoleLeader {
		return r.notLeader()
	}
	if r.commit < r.lead.termStart || r.memberChangePending() {
		return manager.ErrUnavailable{Component: "replicas", Reason: "another membership change is not committed yet"}
	}
	return nil
}

func (r *Replica) memberChangePending() bool {
	for _, e := range r.log.entries[r.commit-r.log.base:] {
		if e.Members != nil {
			return true
		}
	}
	return false
}

// changeMemberList proposes another list of members.
func (r *Replica) changeMemberList(now manager.Time, list []manager.ReplicaMember) {
	next := r.members
	next.List = list
	r.changeMembers(now, next)
}

func (r *Replica) changeMembers(now manager.Time, m manager.Members) {
	m.Confirmed = false
	r.appendMembers(now, m)
}

func (r *Replica) appendMembers(now manager.Time, m manager.Members) {
	r.appendEntry(manager.Entry{Kind: manager.EntryMembers, Members: &m})
	r.loadMembers()
	r.updateProgress(now)
}

// stepDownIfRemoved makes a leader step down once its own removal is committed.
func (r *Replica) stepDownIfRemoved(now manager.Time) {
	if _, ok := r.member(r.ID); !ok && !r.memberChangePending() {
		r.becomeFollower(now, r.hardState.Term, 0)
	}
}

// TransferLeadership starts a transfer of leadership to the active voter that holds most of the log and is not about to
// stop; proposals are refused meanwhile.
func (r *Replica) TransferLeadership(now manager.Time) {
	if r.role != RoleLeader || r.transfer.target != 0 {
		return
	}
	var best *progress
	for _, p := range r.lead.followers {
		alive := now.Sub(p.heardAt) < r.Options.ElectionTimeout
		if p.replica != r.ID && r.isVoter(p.replica) && alive && !p.stopping && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if best == nil {
		return
	}
	r.transfer = transferState{target: best.replica, until: now.Add(r.Options.ElectionTimeout)}
	r.sendTransferIfCaughtUp()
}

// sendTransferIfCaughtUp tells the target of a transfer to start an election once it holds the whole log.
func (r *Replica) sendTransferIfCaughtUp() {
	if r.transfer.target == 0 || r.transfer.sent || r.lead.progressOf(r.transfer.target).match != r.log.last() {
		return
	}
	r.transfer.sent = true
	r.sendBeforeSync(manager.ReplicaMessage{Kind: manager.MessageTransfer, To: r.transfer.target})
}

func (r *Replica) handleTransfer(now manager.Time, m manager.ReplicaMessage) {
	if r.role == RoleFollower && r.leader == m.From && r.isVoter(r.ID) {
		r.campaign(now, true)
	}
}
