package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/internal/listener"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// A node whose finder goes back to a leader that does not know yet that it was replaced must not pass on its answers, which
// show an older configuration than it has shown.
func TestAnswerOfAReplacedLeaderIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{leaders: map[string]*fakeLeader{"10.0.0.1:1": {version: 4, term: 1}, "10.0.0.2:1": {version: 8, term: 2}}}
		n := g.node()
		n.Finder.Learn(finder.View{Term: 2, Leader: "10.0.0.2:1"})
		require.Equal(t, 8, callPath(t.Context(), n, ""))
		// Nobody has confirmed the view of the leader for a while, so that the finder takes a lower term.
		time.Sleep(4 * time.Second)
		n.Finder.Learn(finder.View{Term: 1, Leader: "10.0.0.1:1"})
		time.AfterFunc(200*time.Millisecond, func() { n.Finder.Learn(finder.View{Term: 2, Leader: "10.0.0.2:1"}) })
		shown := callPath(t.Context(), n, "")
		time.Sleep(time.Second)
		require.Equal(t, 8, shown)
	})
}

// A late answer of the previous leader comes after the next one has answered a call.
func TestLateAnswerOfThePreviousLeaderIsNotPassedOn(t *testing.T) {
	var s shownTerm
	require.True(t, s.accept(1_000, 2))
	require.True(t, s.accept(1_001, 0), "a leader of a version that names no term")
	require.False(t, s.accept(1_002, 1))
	require.True(t, s.accept(1_003, 2))
	require.True(t, s.accept(1_004, 3))
	require.False(t, s.accept(1_005, 2))
}

// All disks were lost and the group was bootstrapped again: its terms start anew, and nodes that ran on must follow.
func TestTermsThatStartAnewAreAccepted(t *testing.T) {
	var s shownTerm
	require.True(t, s.accept(1_000, 900))
	require.False(t, s.accept(manager.Time(1_000).Add(shownTermAge-1), 1))
	require.True(t, s.accept(manager.Time(1_000).Add(shownTermAge), 1))
}

func TestOddTermsAreNotRead(t *testing.T) {
	for _, text := range []string{"", "x", "-1", "1e3", "99999999999999999999"} {
		h := http.Header{}
		h.Set(HeaderTerm, text)
		require.Zero(t, readTerm(h), text)
	}
	h := http.Header{}
	writeTerm(h, 7)
	require.Equal(t, manager.Term(7), readTerm(h))
}

// A submit that a replaced leader has refused may have been taken by the next one before.
func TestRefusalAfterAnAnswerThatIsNotPassedOnIsNotCertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{leaders: map[string]*fakeLeader{"10.0.0.1:1": {version: 4, term: 1}}}
		n := g.node()
		n.shown.accept(n.Clock.Now(), 2)
		n.Finder.Learn(finder.View{Term: 1, Leader: "10.0.0.1:1"})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := n.Call(ctx, manager.FleetCall{Kind: manager.CallPending})
		require.True(t, manager.IsErrOutcomeUnknown(err), "%v", err)
	})
}

// An answer without the header is passed on unchecked, so that it must be set on real answers, those that refuse a call too.
func TestLeaderNamesItsTermInAnswers(t *testing.T) {
	const own manager.Address = "127.0.0.1:1"
	clock := timekeeper.New()
	state := recorder.New()
	store := &storer.Replicated{
		Clock: clock, Folder: t.TempDir(), HTTP: http.DefaultClient, Machine: Machine{State: state}, Replica: 1,
		Initial: []manager.ReplicaMember{{Replica: 1, Address: own}},
	}
	require.NoError(t, store.Open())
	t.Cleanup(func() { store.Close() })
	l := &Leader{Clock: clock, Store: store, State: state, Wall: clock.Now}
	l.Init()
	go l.Run()
	t.Cleanup(l.Close)
	require.Eventually(t, l.Serving, 10*time.Second, 5*time.Millisecond)
	e := listener.NewEcho()
	(&Node{Clock: clock, Own: own, Leader: l}).AddRoutes(e)
	for kind, status := range map[manager.FleetCallKind]int{
		manager.CallReadBack: http.StatusServiceUnavailable, manager.CallSubmit: http.StatusBadRequest,
	} {
		data, err := json.Marshal(manager.FleetCall{Kind: kind})
		require.NoError(t, err)
		r := httptest.NewRequest(http.MethodPost, PathCall, bytes.NewReader(data))
		r.Header.Set("Content-Type", "application/json")
		w := httptest.NewRecorder()
		e.ServeHTTP(w, r)
		require.Equal(t, status, w.Code, kind)
		term, _, _ := store.Leadership()
		require.NotZero(t, term)
		require.Equal(t, term, readTerm(w.Header()), kind)
	}
}
