package manager

import "fmt"

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
		routes[route], names[q.Queue] = true, true
	}
	return nil
}
