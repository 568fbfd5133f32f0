package coordinator

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/internal/listener"
	"github.com/mulberryhaven/mulberryhaven/internal/translator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// A configuration of hundreds of queues goes packed between nodes, and arrives as it was sent.
func TestLargeCallsArePacked(t *testing.T) {
	document := []byte(strings.Repeat(`{"name":"r-8pjbvk9","host":"jepu9.example"},`, 5000))
	var received int64
	var got manager.FleetCall
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.ContentLength
		unpacked, err := gzip.NewReader(r.Body)
		if err != nil || json.NewDecoder(unpacked).Decode(&got) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(manager.FleetReply{Document: document})
	}))
	defer s.Close()
	caller := &Node{HTTP: s.Client()}
	address := manager.Address(strings.TrimPrefix(s.URL, "http://"))
	call := manager.FleetCall{Kind: manager.CallConfigure, Configuration: &manager.FleetConfiguration{Version: 1, Document: document}}
	reply, _, err := caller.post(context.Background(), address, call)
	require.NoError(t, err)
	require.True(t, bytes.Equal(document, reply.Document))
	require.True(t, bytes.Equal(document, got.Configuration.Document))
	require.Less(t, received, int64(len(document)/10))
}

func TestPackedCallIsUnpacked(t *testing.T) {
	e := listener.NewEcho()
	(&Node{}).AddRoutes(e)
	data, err := json.Marshal(manager.FleetCall{Kind: manager.CallReadBack})
	require.NoError(t, err)
	packed, err := (&packer{}).pack(data)
	require.NoError(t, err)
	r := httptest.NewRequest(http.MethodPost, PathCall, bytes.NewReader(packed))
	r.Header.Set("Content-Encoding", "gzip")
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	require.Equal(t, http.StatusMisdirectedRequest, w.Code, "a node without a replica names no leader")
}

func TestOperatorsAreSentToTheLeader(t *testing.T) {
	f := &finder.Finder{
		Clock: &manager.ManualClock{}, Own: "10.0.0.1:7060",
		Local: func() (finder.View, bool) { return finder.View{Term: 1, Leader: "10.0.0.2:7060"}, true },
	}
	n := &Node{Finder: f, Own: "10.0.0.1:7060", Control: "10.0.0.1:8623"}
	a, ok := n.RemoteLeader()
	require.True(t, ok)
	require.Equal(t, manager.Address("10.0.0.2:8623"), a)
	n.Own = "10.0.0.2:7060"
	_, ok = n.RemoteLeader()
	require.False(t, ok)
}

// A node that hears of a leader from others but does not reach it takes no callers.
func TestNodeCutOffFromTheLeaderIsNotReady(t *testing.T) {
	clock := &manager.ManualClock{At: 100_000}
	var leader string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(finder.View{Term: 1, Leader: manager.Address(leader)})
	}))
	defer s.Close()
	other := manager.Address(strings.TrimPrefix(s.URL, "http://"))
	f := &finder.Finder{Clock: clock, HTTP: s.Client(), Own: "127.0.0.1:1", Seeds: func() []manager.Address { return []manager.Address{other} }}
	f.Init()
	n := &Node{Clock: clock, Finder: f, Own: "127.0.0.1:1"}
	leader = "127.0.0.1:2"
	f.Update(context.Background())
	require.Equal(t, manager.Address(leader), f.View().Leader)
	require.Error(t, n.Ready())
	leader = string(other)
	f.Update(context.Background())
	f.Update(context.Background())
	require.NoError(t, n.Ready())
	clock.Advance(3 * manager.Second)
	require.Error(t, n.Ready())
}

// A refusal must not say that a job never runs after an attempt that may have been taken.
func TestRefusalAfterAnUnansweredAttemptIsNotCertain(t *testing.T) {
	calls := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		if calls == 1 {
			panic(http.ErrAbortHandler)
		}
		status, body := translator.FromError(manager.ErrUnavailable{Component: "dispatcher", Reason: "too many calls wait"})
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}))
	defer s.Close()
	leader := manager.Address(strings.TrimPrefix(s.URL, "http://"))
	f := &finder.Finder{
		Clock: &manager.ManualClock{}, Own: "127.0.0.1:1",
		Local: func() (finder.View, bool) { return finder.View{Term: 1, Leader: leader}, true },
	}
	f.Init()
	n := &Node{Clock: &manager.ManualClock{}, Finder: f, HTTP: s.Client(), Own: "127.0.0.1:1"}
	_, err := n.Call(t.Context(), manager.FleetCall{Kind: manager.CallSubmit})
	require.True(t, manager.IsErrOutcomeUnknown(err), "%v", err)
	require.Equal(t, 2, calls)
	_, err = n.Call(t.Context(), manager.FleetCall{Kind: manager.CallSubmit})
	require.True(t, manager.IsErrUnavailable(err), "%v", err)
}

func TestSilentReplicasAreRemovedOnlyWhereOthersStandIn(t *testing.T) {
	members := func(learners ...bool) manager.Members {
		var m manager.Members
		for i, l := range learners {
			m.List = append(m.List, manager.ReplicaMember{Replica: manager.ReplicaID(i + 1), Learner: l})
		}
		return m
	}
	const founded = 3
	for _, c := range []struct {
		what    string
		members manager.Members
		silent  []manager.ReplicaID
		gone    manager.ReplicaID
	}{
		{"all are heard", members(false, false, false, false), nil, 0},
		{"nobody stands in", members(false, false, false), []manager.ReplicaID{2}, 0},
		{"a learner has no vote yet", members(false, false, false, true), []manager.ReplicaID{2}, 0},
		{"another voter stands in", members(false, false, false, false), []manager.ReplicaID{2}, 2},
		{"half of the voters are silent", members(false, false, false, false), []manager.ReplicaID{2, 3}, 0},
		{"a learner waits beside", members(false, false, false, false, true), []manager.ReplicaID{2}, 2},
		{"the silent one has no vote", members(false, false, false, true), []manager.ReplicaID{4}, 4},
	} {
		gone, ok := replaced(c.members, c.silent, founded)
		require.Equal(t, c.gone, gone, c.what)
		require.Equal(t, c.gone != 0, ok, c.what)
	}
}
