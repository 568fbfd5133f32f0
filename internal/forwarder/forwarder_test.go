package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func TestBadRequestsAreRefusedAsNotRun(t *testing.T) {
	u := newUpstream(t, nil)
	g := newGateway(t, newControllers(), u.address())
	large := strings.Repeat("a", 2<<20)
	cases := map[string]struct {
		body    string
		headers []string
		status  int
		code    manager.RefusalCode
	}{
		"two ids":         {"x", []string{"Request-Id", "a", "Request-Id", "b"}, 400, manager.RefusalBadRequest},
		"long id":         {"x", []string{"Request-Id", strings.Repeat("a", 200)}, 400, manager.RefusalBadRequest},
		"id with a space": {"x", []string{"Request-Id", "a b"}, 400, manager.RefusalBadRequest},
		"two marks":       {"x", []string{"Idempotent", "true", "Idempotent", "false"}, 400, manager.RefusalBadRequest},
		"wrong mark":      {"x", []string{"Idempotent", "maybe"}, 400, manager.RefusalBadRequest},
		"wrong deadline":  {"x", []string{"Request-Deadline-Ms", "soon"}, 400, manager.RefusalBadRequest},
		"two callers":     {"x", []string{"Authorization", "a", "Authorization", "b"}, 400, manager.RefusalBadRequest},
		"large headers":   {"x", []string{"A", strings.Repeat("a", 40<<10)}, 431, manager.RefusalHeadersTooLarge},
		"large body":      {large, nil, 413, manager.RefusalTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := g.call("POST", c.body, c.headers...)
			require.NoError(t, a.err)
			require.Equal(t, c.status, a.status, a.body)
			require.Equal(t, c.code, a.refusal.Code)
			require.Equal(t, manager.RunStateNotRun, a.state)
			require.Equal(t, manager.RunStateNotRun, a.refusal.RunState)
			require.NotEmpty(t, a.header.Get("Request-Id"))
		})
	}
	require.Empty(t, u.headers)
	require.Zero(t, g.forwarder.Memory.Used())
}

func TestOnlyTheGatewaySaysWhatRan(t *testing.T) {
	u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Run-State", "unknown")
		w.Header().Set("Request-Id", "of another")
		w.Header().Set("Keep-Alive", "timeout=9")
	})
	g := newGateway(t, newControllers(), u.address())
	a := g.call("GET", "", "Request-Id", "r1", "Run-State", "not-run", "Connection", "X-Hop", "X-Hop", "1", "Te", "trailers", "Expect", "")
	require.Equal(t, manager.RunStateRan, a.state)
	require.Equal(t, "r1", a.header.Get("Request-Id"))
	require.Empty(t, a.header.Get("Keep-Alive"))
	require.Equal(t, "r1", u.headers[0].Get("Request-Id"))
	for _, name := range []string{"Run-State", "X-Hop", "Te", "Expect", "Connection"} {
		require.Empty(t, u.headers[0].Values(name), name)
	}
}

func TestSmuggledRequestsDoNotReachUpstream(t *testing.T) {
	u := newUpstream(t, nil)
	g := newGateway(t, newControllers(), u.address())
	head := "POST /services/ledger/invoices HTTP/1.1\r\nHost: g\r\nIdempotent: true\r\nRequest-Id: outer\r\n"
	inner := "GET /services/ledger/x HTTP/1.1\r\nHost: g\r\nRequest-Id: inner\r\n\r\n"
	for name, text := range map[string]string{
		"both framings":   head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"two lengths":     head + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + inner,
		"other encoding":  head + "Transfer-Encoding: xchunked\r\n\r\n" + inner,
		"bad chunk":       head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + inner,
		"obsolete folded": head + "Transfer-Encoding:\r\n chunked, identity\r\n\r\n" + inner,
	} {
		t.Run(name, func(t *testing.T) {
			g.raw(t, text)
			require.Zero(t, u.ran("inner"))
		})
	}
}

func TestAnnouncedLargeBodyIsRefusedBeforeItIsSent(t *testing.T) {
	g := newGateway(t, newControllers(), newUpstream(t, nil).address())
	got := g.raw(t, "POST /services/ledger/x HTTP/1.1\r\nHost: g\r\nExpect: 100-continue\r\nContent-Length: 99999999\r\n\r\n")
	require.Contains(t, got, "413")
	require.NotContains(t, got, "100 Continue")
	got = g.raw(t, "POST /services/ledger/x HTTP/1.1\r\nHost: g\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n")
	require.Contains(t, got, "Run-State: ran")
}

func TestSlowBodyIsRefusedAtTheDeadline(t *testing.T) {
	u := newUpstream(t, nil)
	g := newGateway(t, newControllers(), u.address())
	got := g.raw(t, "POST /services/ledger/x HTTP/1.1\r\nHost: g\r\nRequest-Deadline-Ms: 50\r\nContent-Length: 10\r\n\r\nhalf")
	require.Contains(t, got, "408")
	require.Contains(t, got, "Run-State: not-run")
	require.Empty(t, u.headers)
}

func TestMemoryBoundRefusesAsNotRun(t *testing.T) {
	block := make(chan struct{})
	u := newUpstream(t, func(http.ResponseWriter, *http.Request) { <-block })
	g := newGateway(t, newControllers(), u.address())
	g.forwarder.Memory.Limit = 64 << 10
	done := make(chan answer, 1)
	go func() { done <- g.call("PUT", strings.Repeat("a", 30<<10)) }()
	require.Eventually(t, func() bool { return g.forwarder.Memory.Used() > 30<<10 }, 5*time.Second, time.Millisecond)
	a := g.call("PUT", strings.Repeat("a", 30<<10))
	require.Equal(t, manager.RefusalOverloaded, a.refusal.Code)
	require.Equal(t, manager.RunStateNotRun, a.state)
	close(block)
	require.Equal(t, manager.RunStateRan, (<-done).state)
	require.Eventually(t, func() bool { return g.forwarder.Memory.Used() == 0 }, 5*time.Second, time.Millisecond)
}

func TestAnswerIsWholeOrCut(t *testing.T) {
	const size = 3 << 20
	for _, cut := range []bool{false, true} {
		for _, chunked := range []bool{false, true} {
			u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
				if !chunked {
					w.Header().Set("Content-Length", fmt.Sprint(size))
				}
				_, _ = io.WriteString(w, strings.Repeat("a", size/2))
				if cut {
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, strings.Repeat("a", size/2))
			})
			g := newGateway(t, newControllers(), u.address())
			a := g.call("GET", "")
			require.Equal(t, cut, a.err != nil || a.state == manager.RunStateUnknown)
			if !cut {
				require.Len(t, a.body, size)
			}
		}
	}
}

func TestBodilessAnswersKeepTheirHeaders(t *testing.T) {
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "7")
		if r.Method == http.MethodGet {
			w.Header().Del("Content-Length")
			w.WriteHeader(http.StatusNoContent)
		}
	})
	g := newGateway(t, newControllers(), u.address())
	a := g.call("HEAD", "")
	require.NoError(t, a.err)
	require.Equal(t, "7", a.header.Get("Content-Length"))
	require.Equal(t, 204, g.call("GET", "").status)
}

func TestTrailersArePassedOn(t *testing.T) {
	u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", "Sum, Run-State")
		_, _ = io.WriteString(w, "four")
		w.Header().Set("Sum", "9")
		w.Header().Set("Run-State", "not-run")
	})
	g := newGateway(t, newControllers(), u.address())
	got := g.raw(t, "GET /services/ledger/x HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n")
	require.Contains(t, got, "Sum: 9")
	require.Contains(t, got, "Run-State: ran")
	require.NotContains(t, got, "not-run")
}

func TestRefusalAfterADoubtfulAttemptStaysDoubtful(t *testing.T) {
	fails := newUpstream(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	full := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Run-State", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	g := newGateway(t, newControllers(), fails.address(), full.address())
	a := g.call("GET", "")
	require.Equal(t, manager.RunStateUnknown, a.state)
	require.Equal(t, []manager.UpstreamID{"", manager.UpstreamID(fails.address())}, g.limiter.avoided)
}

func TestRefusedNonIdempotentRequestMayRunElsewhere(t *testing.T) {
	full := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Run-State", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	free := newUpstream(t, nil)
	g := newGateway(t, newControllers(), full.address(), free.address())
	a := g.call("POST", "x", "Request-Id", "invoice-1")
	require.Equal(t, manager.RunStateRan, a.state)
	require.Equal(t, "invoice-1 x", a.body)
	require.Equal(t, 1, free.ran("invoice-1"))
}

func TestGoneCallerGetsItsAnswerByResend(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-finish
		_, _ = io.WriteString(w, "done")
	})
	c := newControllers()
	first, second := newGateway(t, c, u.address()), newGateway(t, c, u.address())
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, first.server.URL+"/services/ledger/invoices", nil)
	require.NoError(t, err)
	r.Header.Set("Request-Id", "refund-1")
	gone := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(r)
		gone <- err
	}()
	<-started
	cancel()
	require.Error(t, <-gone)
	close(finish)
	require.Eventually(t, func() bool {
		a := second.call("POST", "", "Request-Id", "refund-1")
		return a.state == manager.RunStateRan && a.body == "done"
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, 1, u.ran("refund-1"))
	http.DefaultClient.CloseIdleConnections()
}

func TestResendOfAnotherCallerOrBodyIsRefused(t *testing.T) {
	u := newUpstream(t, nil)
	c := newControllers()
	first, second := newGateway(t, c, u.address()), newGateway(t, c, u.address())
	require.Equal(t, manager.RunStateRan, first.call("POST", "x", "Request-Id", "i", "Authorization", "trader").state)
	for _, a := range []answer{
		second.call("POST", "y", "Request-Id", "i", "Authorization", "trader"),
		second.call("POST", "x", "Request-Id", "i", "Authorization", "clerk"),
		second.call("PATCH", "x", "Request-Id", "i", "Authorization", "trader"),
	} {
		require.Equal(t, 409, a.status)
		require.Equal(t, manager.RefusalRequestReused, a.refusal.Code)
	}
	require.Equal(t, 1, u.ran("i"))
}

func TestClaimCommittedAfterTheDeadlineSendsNothing(t *testing.T) {
	u := newUpstream(t, nil)
	c := newControllers()
	c.hold = make(chan struct{})
	g := newGateway(t, c, u.address())
	a := g.call("POST", "x", "Request-Id", "late", "Request-Deadline-Ms", "50")
	require.Equal(t, manager.RunStateNotRun, a.state)
	close(c.hold)
	g.claims.Stop()
	require.Zero(t, u.ran("late"))
	a = g.call("POST", "x", "Request-Id", "late")
	require.Equal(t, manager.RunStateRan, a.state, "the late claim is given back")
	require.Equal(t, 1, u.ran("late"))
}

// A gateway that dies between the answer and its record leaves the claim held for good.
func TestResendAfterLostRecordNeverRunsAgain(t *testing.T) {
	u := newUpstream(t, nil)
	c := newControllers()
	commands := 0
	c.fate = func() (bool, bool) {
		commands++
		return commands != 2, commands != 2
	}
	first, second := newGateway(t, c, u.address()), newGateway(t, c, u.address())
	require.Equal(t, manager.RunStateRan, first.call("POST", "x", "Request-Id", "refund-2").state)
	first.claims.Stop()
	a := second.call("POST", "x", "Request-Id", "refund-2")
	require.Equal(t, manager.RunStateUnknown, a.state)
	require.Equal(t, manager.RefusalClaimUnresolved, a.refusal.Code)
	require.Equal(t, 1, u.ran("refund-2"))
}

func TestClaimsWithoutQuorumSendNothing(t *testing.T) {
	u := newUpstream(t, nil)
	c := newControllers()
	c.fate = func() (bool, bool) { return false, false }
	g := newGateway(t, c, u.address())
	a := g.call("POST", "x", "Request-Id", "refund-3")
	require.Equal(t, manager.RunStateNotRun, a.state)
	require.Equal(t, manager.RefusalClaimUnavailable, a.refusal.Code)
	require.Zero(t, u.ran("refund-3"))
}
