package manager

import (
	"fmt"
	"iter"
	"math"
)

// Validate returns an ErrInvalid for the first invalid value of the configuration, or nil.
func (c *FleetConfiguration) Validate() error {
	for e := range c.Errors() {
		return e
	}
	return nil
}

// Errors yields an ErrInvalid for each invalid value of the configuration. They are made one by one: a node
// needs only the first, and the list of a hostile document's errors takes 110 MB.
func (c *FleetConfiguration) Errors() iter.Seq[ErrInvalid] {
	return func(yield func(ErrInvalid) bool) {
		if c.Version == 0 && !yield(ErrInvalid{Field: "Version", Reason: "must be greater than 0"}) {
			return
		}
		pools := map[PoolID]bool{}
		for i, p := range c.Pools {
			if p.Pool == "" || pools[p.Pool] {
				e := ErrInvalid{Field: fmt.Sprintf("Pools[%d].Pool", i), Reason: fmt.Sprintf("%q is empty or a duplicate", p.Pool)}
				if !yield(e) {
					return
				}
				continue
			}
			pools[p.Pool] = true
		}
		_ = c.eachQueueError(pools, yield) && c.eachCustomerError(yield)
	}
}

// eachQueueError yields the errors of the queues and reports whether to go on.
func (c *FleetConfiguration) eachQueueError(pools map[PoolID]bool, yield func(ErrInvalid) bool) bool {
	routes, names := map[string]bool{}, map[QueueID]bool{}
	for i, q := range c.Queues {
		field := fmt.Sprintf("Queues[%d]", i)
		route := q.Host + "\n" + q.Prefix
		var list []ErrInvalid
		if q.Queue == "" || names[q.Queue] {
			list = append(list, ErrInvalid{Field: field + ".Queue", Reason: fmt.Sprintf("%q is empty or a duplicate", q.Queue)})
		}
		if !pools[q.Pool] {
			list = append(list, ErrInvalid{Field: field + ".Pool", Reason: fmt.Sprintf("pool %q does not exist", q.Pool)})
		}
		if q.Prefix == "" || q.Prefix[0] != '/' {
			list = append(list, ErrInvalid{Field: field + ".Prefix", Reason: fmt.Sprintf("%q does not start with a slash", q.Prefix)})
		}
		if routes[route] {
			list = append(list, ErrInvalid{Field: field, Reason: "another queue has the same host and prefix"})
		}
		if q.TimeoutMs <= 0 {
			list = append(list, ErrInvalid{Field: field + ".TimeoutMs", Reason: "must be greater than 0"})
		}
		if !yieldAll(append(list, q.timeErrors(field)...), yield) {
			return false
		}
		routes[route], names[q.Queue] = true, true
	}
	return true
}

// eachCustomerError yields the errors of the customers and reports whether to go on.
func (c *FleetConfiguration) eachCustomerError(yield func(ErrInvalid) bool) bool {
	names, owners := map[CustomerID]bool{}, map[KeyDigest]CustomerID{}
	for i, s := range c.Customers {
		field := fmt.Sprintf("Customers[%d]", i)
		if s.Customer == "" || names[s.Customer] {
			e := ErrInvalid{Field: field + ".Customer", Reason: fmt.Sprintf("%.*q is empty or a duplicate", maxQuotedBytes, s.Customer)}
			if !yield(e) {
				return false
			}
		}
		names[s.Customer] = true
		for k, key := range s.Keys {
			owner, ok := owners[key]
			if ok && owner != s.Customer {
				e := ErrInvalid{Field: fmt.Sprintf("%s.Keys[%d]", field, k), Reason: fmt.Sprintf("is also a key of customer %q", owner)}
				if !yield(e) {
					return false
				}
			}
			owners[key] = s.Customer
		}
		if !s.eachError(field, yield) {
			return false
		}
	}
	return true
}

// eachError yields the errors of a customer's own values and reports whether to go on.
func (s CustomerSettings) eachError(field string, yield func(ErrInvalid) bool) bool {
	if len(s.Customer) > MaxIDBytes {
		if !yield(ErrInvalid{Field: field + ".Customer", Reason: fmt.Sprintf("has more than %d bytes", MaxIDBytes)}) {
			return false
		}
	}
	for i, key := range s.Keys {
		if key == "" && !yield(ErrInvalid{Field: fmt.Sprintf("%s.Keys[%d]", field, i), Reason: "is empty"}) {
			return false
		}
	}
	if s.Weight < 0 || math.IsNaN(s.Weight) || math.IsInf(s.Weight, 0) {
		e := ErrInvalid{Field: field + ".Weight", Reason: fmt.Sprintf("is %g: expected a number of jobs per second", s.Weight)}
		if !yield(e) {
			return false
		}
	}
	if r := s.Cap; r.ProcessorMilliCores < 0 || r.MemoryMegaBytes < 0 || r.Accelerators < 0 {
		return yield(ErrInvalid{Field: field + ".Cap", Reason: "has a negative limit"})
	}
	return true
}

func yieldAll(list []ErrInvalid, yield func(ErrInvalid) bool) bool {
	for _, e := range list {
		if !yield(e) {
			return false
		}
	}
	return true
}

// timeErrors returns the errors of a queue's times, except a TimeoutMs of 0 or less.
func (q QueueSettings) timeErrors(field string) []ErrInvalid {
	var list []ErrInvalid
	for _, d := range []struct {
		name  string
		value Duration
	}{
		{".TimeoutMs", max(0, q.TimeoutMs)},
		{".SlackMs", q.SlackMs},
		{".Advice.DecisionMs", q.Advice.DecisionMs},
		{".Advice.PerWorkerMs", q.Advice.PerWorkerMs},
		{".Advice.ValidMs", q.Advice.ValidMs},
	} {
		if d.value < 0 || d.value > MaxDuration {
			list = append(list, ErrInvalid{Field: field + d.name, Reason: fmt.Sprintf("is %d: expected 0 to %d", d.value, MaxDuration)})
		}
	}
	if q.Stretch < 0 {
		list = append(list, ErrInvalid{Field: field + ".Stretch", Reason: "is negative"})
	}
	return list
}

// Validate returns an ErrInvalid for the first invalid value of the request, or nil.
func (m *MaintenanceRequest) Validate() error {
	if len(m.VMs) == 0 || m.Cap < 1 {
		return ErrInvalid{Field: "Wave", Reason: "names no VMs or no cap"}
	}
	for _, vm := range m.VMs {
		if err := validateID("VMs", string(vm)); err != nil {
			return err
		}
	}
	if m.DurationMs < 0 || m.DurationMs > MaxDuration {
		return ErrInvalid{Field: "DurationMs", Reason: fmt.Sprintf("is %d: expected 0 to %d", m.DurationMs, MaxDuration)}
	}
	return nil
}
