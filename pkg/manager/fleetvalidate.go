package manager

import (
	"fmt"
	"math"
	"slices"
)

// Validate returns an ErrInvalid for the first invalid value of the configuration, or nil.
func (c *FleetConfiguration) Validate() error {
	if c.Version == 0 {
		return ErrInvalid{Field: "Version", Reason: "must be greater than 0"}
	}
	pools := map[PoolID]bool{}
	for i, p := range c.Pools {
		if p.Pool == "" || pools[p.Pool] {
			return ErrInvalid{Field: fmt.Sprintf("Pools[%d].Pool", i), Reason: fmt.Sprintf("%q is empty or a duplicate", p.Pool)}
		}
		pools[p.Pool] = true
	}
	routes, names := map[string]bool{}, map[QueueID]bool{}
	for i, q := range c.Queues {
		field := fmt.Sprintf("Queues[%d]", i)
		route := q.Host + "\n" + q.Prefix
		switch {
		case q.Queue == "" || names[q.Queue]:
			return ErrInvalid{Field: field + ".Queue", Reason: fmt.Sprintf("%q is empty or a duplicate", q.Queue)}
		case !pools[q.Pool]:
			return ErrInvalid{Field: field + ".Pool", Reason: fmt.Sprintf("pool %q does not exist", q.Pool)}
		case q.Prefix == "" || q.Prefix[0] != '/':
			return ErrInvalid{Field: field + ".Prefix", Reason: fmt.Sprintf("%q does not start with a slash", q.Prefix)}
		case routes[route]:
			return ErrInvalid{Field: field, Reason: "another queue has the same host and prefix"}
		case q.TimeoutMs <= 0:
			return ErrInvalid{Field: field + ".TimeoutMs", Reason: "must be greater than 0"}
		}
		if err := q.validateTimes(field); err != nil {
			return err
		}
		routes[route], names[q.Queue] = true, true
	}
	return c.validateCustomers()
}

func (c *FleetConfiguration) validateCustomers() error {
	names, owners := map[CustomerID]bool{}, map[KeyDigest]CustomerID{}
	for i, s := range c.Customers {
		field := fmt.Sprintf("Customers[%d]", i)
		if s.Customer == "" || names[s.Customer] {
			return ErrInvalid{Field: field + ".Customer", Reason: fmt.Sprintf("%.*q is empty or a duplicate", maxQuotedBytes, s.Customer)}
		}
		names[s.Customer] = true
		for k, key := range s.Keys {
			if owner, ok := owners[key]; ok && owner != s.Customer {
				return ErrInvalid{Field: fmt.Sprintf("%s.Keys[%d]", field, k), Reason: fmt.Sprintf("is also a key of customer %q", owner)}
			}
			owners[key] = s.Customer
		}
		if err := s.validate(field); err != nil {
			return err
		}
	}
	return nil
}

func (s CustomerSettings) validate(field string) error {
	if len(s.Customer) > MaxIDBytes {
		return ErrInvalid{Field: field + ".Customer", Reason: fmt.Sprintf("has more than %d bytes", MaxIDBytes)}
	}
	if i := slices.Index(s.Keys, ""); i >= 0 {
		return ErrInvalid{Field: fmt.Sprintf("%s.Keys[%d]", field, i), Reason: "is empty"}
	}
	if s.Weight < 0 || math.IsNaN(s.Weight) || math.IsInf(s.Weight, 0) {
		return ErrInvalid{Field: field + ".Weight", Reason: fmt.Sprintf("is %g: expected a number of jobs per second", s.Weight)}
	}
	if r := s.Cap; r.ProcessorMilliCores < 0 || r.MemoryMegaBytes < 0 || r.Accelerators < 0 {
		return ErrInvalid{Field: field + ".Cap", Reason: "has a negative limit"}
	}
	return nil
}

func (q QueueSettings) validateTimes(field string) error {
	for _, d := range []struct {
		name  string
		value Duration
	}{
		{".TimeoutMs", q.TimeoutMs},
		{".SlackMs", q.SlackMs},
		{".Advice.DecisionMs", q.Advice.DecisionMs},
		{".Advice.PerWorkerMs", q.Advice.PerWorkerMs},
		{".Advice.ValidMs", q.Advice.ValidMs},
	} {
		if d.value < 0 || d.value > MaxDuration {
			return ErrInvalid{Field: field + d.name, Reason: fmt.Sprintf("is %d: expected 0 to %d", d.value, MaxDuration)}
		}
	}
	if q.Stretch < 0 {
		return ErrInvalid{Field: field + ".Stretch", Reason: "is negative"}
	}
	return nil
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
