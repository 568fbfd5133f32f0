package controller

import (
	"slices"
	"strings"
	"sync"

	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// reportAge is how long a gateway's report counts.
const reportAge = 5 * manager.Second

// DemandTable keeps the latest report of each gateway.
type DemandTable struct {
	mu      sync.Mutex
	reports map[manager.GatewayID]timedReport
}

type timedReport struct {
	report proposer.DemandReport
	at     manager.Time
}

// Take stores a report.
func (t *DemandTable) Take(now manager.Time, r proposer.DemandReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = map[manager.GatewayID]timedReport{}
	}
	t.reports[r.Gateway] = timedReport{report: r, at: now}
}

// Sum returns the demand of each service over all gateways, ordered by service.
func (t *DemandTable) Sum(now manager.Time) []manager.Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[manager.ServiceID]manager.Demand{}
	for _, r := range t.reports {
		if now.Sub(r.at) > reportAge {
			continue
		}
		for _, d := range r.report.Demand {
			sums[d.Service] = addDemand(sums[d.Service], d)
		}
	}
	list := make([]manager.Demand, 0, len(sums))
	for _, d := range sums {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b manager.Demand) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return list
}

func addDemand(a, b manager.Demand) manager.Demand {
	b.BusySlots += a.BusySlots
	b.WaitingRequests += a.WaitingRequests
	b.RefusedRequests += a.RefusedRequests
	b.SlotsPerVM = max(a.SlotsPerVM, b.SlotsPerVM)
	return b
}

// Gateways returns the status of each gateway, ordered by id.
func (t *DemandTable) Gateways(now manager.Time) []proposer.GatewayStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]proposer.GatewayStatus, 0, len(t.reports))
	for id, r := range t.reports {
		list = append(list, proposer.GatewayStatus{Gateway: id, Revision: r.report.Revision, HeardMsAgo: now.Sub(r.at)})
	}
	slices.SortFunc(list, func(a, b proposer.GatewayStatus) int { return strings.Compare(string(a.Gateway), string(b.Gateway)) })
	return list
}
