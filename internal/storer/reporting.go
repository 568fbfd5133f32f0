package storer

import (
	"errors"
	"slices"
	"syscall"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// electionReportPeriod is the least time between two log lines about an election without a winner.
const electionReportPeriod = manager.Second

// reporter logs the changes of a replica's view of its group and sets the metrics about it.
type reporter struct {
	members []manager.ReplicaMember
	voters  []manager.ReplicaID
	// silent is the number of silent voters.
	silent int
	// seekingSince is when the replica began to seek a leader without finding one.
	seekingSince manager.Time
	reportedAt   manager.Time
}

// report compares the status with the last one.
func (p *reporter) report(now manager.Time, s replicator.Status) {
	if !slices.Equal(s.Members.List, p.members) {
		p.members = s.Members.List
		var learners []manager.ReplicaID
		p.voters, learners = splitMembers(s.Members)
		klog.InfoS(manager.LogReplicaMembersChanged, "Replica", s.Replica, "Term", s.Term, "Voters", p.voters, "Learners", learners)
		meter.ReplicaVoters().Set(uint64(len(p.voters)))
	}
	silent := 0
	for _, id := range s.Silent {
		if slices.Contains(p.voters, id) {
			silent++
		}
	}
	if silent != p.silent {
		p.silent = silent
		meter.ReplicaSilentVoters().Set(uint64(silent))
	}
	p.reportElection(now, s)
}

// reportElection logs which voters have answered while no candidate wins.
func (p *reporter) reportElection(now manager.Time, s replicator.Status) {
	if s.Role != replicator.RolePreCandidate && s.Role != replicator.RoleCandidate {
		if s.Leader != 0 {
			p.seekingSince = 0
		}
		return
	}
	if p.seekingSince == 0 {
		p.seekingSince, p.reportedAt = now, now
	}
	if now.Sub(p.reportedAt) < electionReportPeriod {
		return
	}
	p.reportedAt = now
	unheard := slices.DeleteFunc(slices.Clone(p.voters), func(id manager.ReplicaID) bool {
		return slices.Contains(s.Granted, id) || slices.Contains(s.Refused, id)
	})
	klog.InfoS(manager.LogElectionNotWon, "Replica", s.Replica, "Role", s.Role, "Term", s.Term, "ForMs", now.Sub(p.seekingSince),
		"Granted", s.Granted, "Refused", s.Refused, "Unheard", unheard)
}

func splitMembers(m manager.Members) (voters, learners []manager.ReplicaID) {
	for _, member := range m.List {
		if member.Learner {
			learners = append(learners, member.Replica)
			continue
		}
		voters = append(voters, member.Replica)
	}
	return voters, learners
}

// errorCause returns the operating system's error, which a log line that is cut at its end may lose.
func errorCause(err error) string {
	if errno, ok := errors.AsType[syscall.Errno](err); ok {
		return errno.Error()
	}
	return err.Error()
}

// reportStopped logs that the replica takes no part in its group any more.
func (r *Replicated) reportStopped(err error) {
	meter.ReplicaRunning().Set(0)
	klog.ErrorS(err, manager.LogReplicaStopped, "Cause", errorCause(err), "Replica", r.Replica)
}
