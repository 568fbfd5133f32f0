package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/internal/translator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// PathJoin is the endpoint where a node with a disk requests to become a replica.
const PathJoin = "/fleet/join"

const (
	// joinPeriod is the interval between two checks of the membership.
	joinPeriod = time.Second
	// joinTimeout bounds one request to join; the change has to be committed.
	joinTimeout = 2 * time.Second
)

// JoinRequest asks the leader to add a replica.
type JoinRequest struct {
	Address          manager.Address
	AvailabilityZone manager.AvailabilityZone
	Disk             manager.DiskID
	// Replica is the id that the disk holds, 0 for an empty one.
	Replica manager.ReplicaID
	// Founder means that the node belongs to the first start of the group.
	Founder bool `json:",omitempty"`
}

// KindRemoved is the kind of the conflict that is returned to a replica that was removed.
const KindRemoved = "removed replica"

// Join adds a replica to the group. Membership changes are made one at a time, so the node repeats the request until it is
// a member.
func (l *Leader) Join(ctx context.Context, q JoinRequest) error {
	s := l.Store.Status()
	for _, m := range s.Members.List {
		if m.Disk == q.Disk {
			return nil
		}
	}
	if err := checkRemoved(s, q); err != nil {
		return err
	}
	for _, m := range s.Members.List {
		if m.Address == q.Address {
			klog.InfoS(manager.LogReplicaLostDisk, "Replica", m.Replica, "Address", m.Address, "Disk", m.Disk, "NewDisk", q.Disk)
			return l.Store.RemoveReplica(ctx, m.Replica)
		}
	}
	add := l.Store.AddReplica
	if q.Founder {
		add = l.Store.AddFounder
	}
	err := add(ctx, manager.ReplicaMember{
		Replica: s.Members.LastReplica + 1, Address: q.Address, AvailabilityZone: q.AvailabilityZone, Disk: q.Disk,
	})
	if err != nil {
		// The node that asks logs why it has not joined.
		return fmt.Errorf("add replica: %w", err)
	}
	klog.InfoS(manager.LogReplicaAdded, "Replica", s.Members.LastReplica+1, "Address", q.Address, "Disk", q.Disk)
	return nil
}

// checkRemoved returns a conflict if the disk belongs to a replica that was removed: its node then empties the disk. A
// removal that is not committed may be undone by the next leader, which needs the disk.
func checkRemoved(s replicator.Status, q JoinRequest) error {
	if q.Replica == 0 || q.Replica > s.Members.LastReplica {
		return nil
	}
	if s.MembersPending {
		return manager.ErrUnavailable{Component: "replicas", Reason: "a membership change is not committed yet"}
	}
	return manager.ErrConflict{Kind: KindRemoved, Name: strconv.FormatUint(uint64(q.Replica), 10), Reason: "it needs an empty disk"}
}

// removeReplaced removes a silent replica if another voter has replaced it, so that it no longer counts for a quorum, or if
// it is a learner.
func (l *Leader) removeReplaced(ctx context.Context, founded int) {
	s := l.Store.Status()
	gone, ok := replaced(s.Members, s.Silent, founded)
	if !ok {
		return
	}
	klog.InfoS(manager.LogUnreachableReplicaRemoved, "Replica", gone, "Members", len(s.Members.List), "Silent", len(s.Silent))
	if err := l.Store.RemoveReplica(ctx, gone); err != nil {
		klog.InfoS(manager.LogUnreachableReplicaNotRemoved, "Replica", gone, "Reason", err.Error())
	}
}

// replaced returns a silent replica that can be removed, if there is one.
func replaced(m manager.Members, silent []manager.ReplicaID, founded int) (manager.ReplicaID, bool) {
	var voters int
	var silentVoters []manager.ReplicaID
	for _, member := range m.List {
		isSilent := slices.Contains(silent, member.Replica)
		switch {
		case member.Learner && isSilent:
			return member.Replica, true
		case member.Learner:
		case isSilent:
			voters++
			silentVoters = append(silentVoters, member.Replica)
		default:
			voters++
		}
	}
	if voters <= founded || len(silentVoters) == 0 || (voters-len(silentVoters))*2 <= voters {
		return 0, false
	}
	return silentVoters[0], true
}

// Joiner keeps the replica on the local disk a member of the group.
type Joiner struct {
	Request JoinRequest
	Store   *storer.Replicated
	Leader  *Leader
	Finder  *finder.Finder
	HTTP    *http.Client
	// Removed is called once the group has removed this disk.
	Removed func()
	// Founded is the number of voters at the bootstrap, the least number to keep.
	Founded int
}

// Run requests membership until ctx ends.
func (j *Joiner) Run(ctx context.Context) {
	t := time.NewTicker(joinPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if j.Leader.Serving() {
			j.Leader.removeReplaced(ctx, j.Founded)
			continue
		}
		j.requestJoin(ctx)
	}
}

// requestJoin asks the leader to add this disk unless it is a member.
func (j *Joiner) requestJoin(ctx context.Context) {
	v := j.Finder.View()
	if v.Leader == "" || v.Leader == j.Request.Address || len(v.Members) == 0 {
		return
	}
	p := j.Store.Probe()
	q := j.Request
	q.Disk, q.Replica = p.Disk, p.Replica
	if slices.ContainsFunc(v.Members, func(m manager.ReplicaMember) bool { return m.Disk == q.Disk }) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	err := j.post(ctx, v.Leader, q)
	if err == nil {
		return
	}
	klog.InfoS(manager.LogNotJoinedYet, "Leader", v.Leader, "Disk", q.Disk, "Reason", err.Error())
	if manager.IsErrConflict(err) && isRemoved(err) {
		j.Removed()
	}
}

func (j *Joiner) post(ctx context.Context, a manager.Address, q JoinRequest) error {
	data, err := json.Marshal(q)
	if err != nil {
		return fmt.Errorf("encode request to join: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(a)+PathJoin, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("create request to join: %w", err)
	}
	response, err := j.HTTP.Do(r)
	if err != nil {
		return fmt.Errorf("ask %s to join: %w", a, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return translator.ReadError(response)
	}
	return nil
}
