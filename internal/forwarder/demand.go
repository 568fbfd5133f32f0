package forwarder

import (
	"slices"
	"strings"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// demandCounter counts what each service's requests do at this gateway.
type demandCounter struct {
	services map[manager.ServiceID]*manager.Demand
}

func (d *demandCounter) of(s manager.ServiceID) *manager.Demand {
	if d.services == nil {
		d.services = map[manager.ServiceID]*manager.Demand{}
	}
	if d.services[s] == nil {
		d.services[s] = &manager.Demand{Service: s}
	}
	return d.services[s]
}

// Demand returns what each service's queue asks for. It forgets the refusals counted so far and the
// services without requests, as callers may name any.
func (d *Dispatcher) Demand() []manager.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]manager.Demand, 0, len(d.demand.services))
	for s, demand := range d.demand.services {
		list = append(list, *demand)
		demand.RefusedRequests = 0
		if demand.BusySlots == 0 && demand.WaitingRequests == 0 {
			delete(d.demand.services, s)
		}
	}
	slices.SortFunc(list, func(a, b manager.Demand) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return list
}
