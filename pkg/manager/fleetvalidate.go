package manager

import "fmt"

// Validate returns what is wrong with the configuration, or nil.
func (c *FleetConfiguration) Validate() error {
	if c.Version == 0 {
		return ErrInvalid{Field: "Version", Reason: "is missing or 0"}
	}
	pools := map[PoolID]bool{}
	for i, p := range c.Pools {
		if p.Pool == "" || pools[p.Pool] {
			return ErrInvalid{Field: fmt.Sprintf("Pools[%d].Pool", i), Reason: fmt.Sprintf("%q is empty or named twice", p.Pool)}
		}
		pools[p.Pool] = true
	}
	places, names := map[string]bool{}, map[QueueID]bool{}
	for i, q := range c.Queues {
		field := fmt.Sprintf("Queues[%d]", i)
		place := q.Host + "\n" + q.Prefix
		switch {
		case q.Queue == "" || names[q.Queue]:
			return ErrInvalid{Field: field + ".Queue", Reason: fmt.Sprintf("%q is empty or named twice", q.Queue)}
		case !pools[q.Pool]:
			return ErrInvalid{Field: field + ".Pool", Reason: fmt.Sprintf("%q is no pool", q.Pool)}
		case q.Prefix == "" || q.Prefix[0] != '/':
			return ErrInvalid{Field: field + ".Prefix", Reason: fmt.Sprintf("%q does not begin with a slash", q.Prefix)}
		case places[place]:
			return ErrInvalid{Field: field, Reason: "another queue has the same host and prefix"}
		case q.TimeoutMs <= 0:
			return ErrInvalid{Field: field + ".TimeoutMs", Reason: "is not above 0"}
		}
		places[place], names[q.Queue] = true, true
	}
	return nil
}
