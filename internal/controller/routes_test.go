package controller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/listener"
	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
)

// barred is a Maintainer that can make no plan.
type barred struct{ manager.Maintainer }

func (barred) Plan(manager.Time, manager.Fleet, manager.WaveSpec) (manager.Wave, error) {
	return manager.Wave{}, manager.ErrConflict{Kind: "pool", Name: "pricing", Reason: "budget is spent"}
}

// TestPlanKnowsResend lets the resend of a plan through when no new plan can be made.
func TestPlanKnowsResend(t *testing.T) {
	store := &memoryStore{state: applier.New()}
	first := manager.Command{Command: "plan-1", Digest: "spec", PlanWave: &manager.PlanWave{Wave: manager.Wave{Wave: "kernel"}}}
	_, err := store.Propose(t.Context(), first)
	require.NoError(t, err)
	s := &Service{Clock: &manager.ManualClock{}, Store: store, Maintainer: barred{}}
	e := listener.NewEcho()
	s.addRoutes(e.Group("/control"))
	plan := func(r proposer.PlanRequest) (int, proposer.PlanAnswer) {
		body, err := json.Marshal(r)
		require.NoError(t, err)
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, proposer.PathPlan, strings.NewReader(string(body))))
		var a proposer.PlanAnswer
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &a))
		return w.Code, a
	}
	status, answer := plan(proposer.PlanRequest{Command: "plan-1", Digest: "spec"})
	require.Equal(t, http.StatusOK, status)
	require.True(t, answer.Resent)
	status, _ = plan(proposer.PlanRequest{Command: "plan-2", Digest: "spec"})
	require.Equal(t, http.StatusConflict, status, "another change needs a plan")
	status, _ = plan(proposer.PlanRequest{Command: "plan-1", Digest: "other"})
	require.Equal(t, http.StatusConflict, status, "another body is no resend")
}
