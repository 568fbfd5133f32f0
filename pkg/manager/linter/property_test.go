package linter

import (
	"fmt"
	"math"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// drawConfiguration draws from few values, so that duplicates and limits are met often.
func drawConfiguration(t *rapid.T) *manager.FleetConfiguration {
	name := rapid.SampledFrom([]string{"a", "a", "b", "c", "d", "e", "A", ""})
	ms := func(label string) manager.Duration {
		return rapid.SampledFrom([]manager.Duration{1, 1, 1, 3000, 3000, 3000, 0, -1, manager.MaxDuration, manager.MaxDuration + 1}).Draw(t, label)
	}
	size := func(label string) int {
		return rapid.SampledFrom([]int{0, 0, 0, 1, 63, 64, 999, 1000, -1}).Draw(t, label)
	}
	c := &manager.FleetConfiguration{
		Version:      manager.Version(rapid.IntRange(0, 9).Draw(t, "version")),
		RequiresKeys: rapid.Bool().Draw(t, "requires keys"),
	}
	for range rapid.IntRange(0, 3).Draw(t, "pools") {
		c.Pools = append(c.Pools, manager.PoolSettings{Pool: manager.PoolID(name.Draw(t, "pool")), Standby: rapid.Bool().Draw(t, "standby")})
	}
	for range rapid.IntRange(0, 3).Draw(t, "queues") {
		q := manager.QueueSettings{
			Queue: manager.QueueID(name.Draw(t, "queue")), Host: rapid.SampledFrom([]string{"h", "h", "h", "H", "h:1", "/", ""}).Draw(t, "host"),
			Prefix: rapid.SampledFrom([]string{"/a/", "/a/", "/a/", "/", "/a", "/%41", "", "a"}).Draw(t, "prefix"), Pool: manager.PoolID(name.Draw(t, "of pool")),
			TimeoutMs: ms("timeout"), SlackMs: ms("slack"), Stretch: rapid.SampledFrom([]float64{1.6, 1.6, 1, 0, 0.5, -1}).Draw(t, "stretch"),
			MaxAttempts: rapid.IntRange(-1, 3).Draw(t, "attempts"), AllowsAnonymous: rapid.Bool().Draw(t, "anonymous"),
		}
		if rapid.Bool().Draw(t, "advice") {
			q.Advice = manager.AdviceSettings{DecisionMs: ms("decision"), PerWorkerMs: ms("per worker"), ValidMs: ms("valid")}
		}
		c.Queues = append(c.Queues, q)
	}
	for range rapid.IntRange(0, 3).Draw(t, "customers") {
		s := manager.CustomerSettings{
			Customer: manager.CustomerID(name.Draw(t, "customer")), Weight: rapid.SampledFrom([]float64{1, 2, 0, -1, math.NaN(), math.Inf(1)}).Draw(t, "weight"),
			Cap: manager.Resources{
				ProcessorMilliCores: manager.MilliCores(size("cpu")), MemoryMegaBytes: manager.MegaBytes(size("memory")),
				Accelerators: manager.Accelerators(size("accelerators")),
			},
		}
		if rapid.IntRange(0, 9).Draw(t, "long name") == 0 {
			s.Customer = manager.CustomerID(strings.Repeat("x", manager.MaxIDBytes+1))
		}
		for range rapid.IntRange(0, 2).Draw(t, "keys") {
			s.Keys = append(s.Keys, rapid.SampledFrom([]manager.KeyDigest{"k1", "k2", "k3", "k4", "k5", ""}).Draw(t, "key"))
		}
		c.Customers = append(c.Customers, s)
	}
	return c
}

var index = regexp.MustCompile(`\[\d+\]`)

// The check and the node must agree: a document that passes here and is refused there fails only once it is sent.
func TestCheckHasErrorsIfAndOnlyIfValidateRefuses(t *testing.T) {
	refused, accepted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfiguration(t)
		found := Check(c)
		i := slices.IndexFunc(found, func(f Finding) bool { return f.Severity == Error })
		err := c.Validate()
		require.Equal(t, formerValidate(c), err, "the first error or its message has changed")
		if err == nil {
			accepted++
			require.Negative(t, i, "%v", found)
		} else {
			refused++
			require.Zero(t, i, "errors come first: %v", found)
			require.Equal(t, manager.ErrInvalid{Field: found[0].Path, Reason: found[0].Reason}, err)
		}
		seen := map[Finding]bool{}
		for _, f := range found {
			require.False(t, seen[f], "found twice: %v", f)
			seen[f] = true
			requireField(t, reflect.TypeFor[manager.FleetConfiguration](), f.Path)
		}
	})
	require.Greater(t, refused, 100)
	require.Greater(t, accepted, 100)
}

// A path that names no field sends the operator to the wrong place.
func requireField(t *rapid.T, typ reflect.Type, path string) {
	for part := range strings.SplitSeq(index.ReplaceAllString(path, ""), ".") {
		if typ.Kind() == reflect.Slice {
			typ = typ.Elem()
		}
		f, ok := typ.FieldByName(part)
		require.True(t, ok, "%s names no field", path)
		typ = f.Type
	}
}

// No document may bring the check down, and applying a difference to nothing leaves none.
func TestDiffOfDrawnConfigurations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawConfiguration(t), drawConfiguration(t)
		for i := range a.Customers {
			// NaN differs from itself.
			a.Customers[i].Weight = 1
		}
		require.Empty(t, Diff(a, a))
		added, removed := map[string]bool{}, map[string]bool{}
		for _, c := range Diff(a, b) {
			added[c.Path+c.Name] = added[c.Path+c.Name] || c.Kind == Added
		}
		for _, c := range Diff(b, a) {
			removed[c.Path+c.Name] = removed[c.Path+c.Name] || c.Kind == Removed
		}
		require.Equal(t, added, removed, "what one direction adds the other removes")
		for _, f := range CheckChange(a, b) {
			requireField(t, reflect.TypeFor[manager.FleetConfiguration](), f.Path)
		}
	})
}

// formerValidate is Validate as it was before it shared its code with the check, to compare with.
func formerValidate(c *manager.FleetConfiguration) error {
	if c.Version == 0 {
		return manager.ErrInvalid{Field: "Version", Reason: "must be greater than 0"}
	}
	pools := map[manager.PoolID]bool{}
	for i, p := range c.Pools {
		if p.Pool == "" || pools[p.Pool] {
			return manager.ErrInvalid{Field: fmt.Sprintf("Pools[%d].Pool", i), Reason: fmt.Sprintf("%q is empty or a duplicate", p.Pool)}
		}
		pools[p.Pool] = true
	}
	routes, names := map[string]bool{}, map[manager.QueueID]bool{}
	for i, q := range c.Queues {
		field := fmt.Sprintf("Queues[%d]", i)
		route := q.Host + "\n" + q.Prefix
		switch {
		case q.Queue == "" || names[q.Queue]:
			return manager.ErrInvalid{Field: field + ".Queue", Reason: fmt.Sprintf("%q is empty or a duplicate", q.Queue)}
		case !pools[q.Pool]:
			return manager.ErrInvalid{Field: field + ".Pool", Reason: fmt.Sprintf("pool %q does not exist", q.Pool)}
		case q.Prefix == "" || q.Prefix[0] != '/':
			return manager.ErrInvalid{Field: field + ".Prefix", Reason: fmt.Sprintf("%q does not start with a slash", q.Prefix)}
		case routes[route]:
			return manager.ErrInvalid{Field: field, Reason: "another queue has the same host and prefix"}
		case q.TimeoutMs <= 0:
			return manager.ErrInvalid{Field: field + ".TimeoutMs", Reason: "must be greater than 0"}
		}
		if err := formerValidateTimes(q, field); err != nil {
			return err
		}
		routes[route], names[q.Queue] = true, true
	}
	return formerValidateCustomers(c)
}

func formerValidateCustomers(c *manager.FleetConfiguration) error {
	names, owners := map[manager.CustomerID]bool{}, map[manager.KeyDigest]manager.CustomerID{}
	for i, s := range c.Customers {
		field := fmt.Sprintf("Customers[%d]", i)
		if s.Customer == "" || names[s.Customer] {
			return manager.ErrInvalid{Field: field + ".Customer", Reason: fmt.Sprintf("%.*q is empty or a duplicate", 80, s.Customer)}
		}
		names[s.Customer] = true
		for k, key := range s.Keys {
			if owner, ok := owners[key]; ok && owner != s.Customer {
				return manager.ErrInvalid{Field: fmt.Sprintf("%s.Keys[%d]", field, k), Reason: fmt.Sprintf("is also a key of customer %q", owner)}
			}
			owners[key] = s.Customer
		}
		if err := formerValidateCustomer(s, field); err != nil {
			return err
		}
	}
	return nil
}

func formerValidateCustomer(s manager.CustomerSettings, field string) error {
	if len(s.Customer) > manager.MaxIDBytes {
		return manager.ErrInvalid{Field: field + ".Customer", Reason: fmt.Sprintf("has more than %d bytes", manager.MaxIDBytes)}
	}
	if i := slices.Index(s.Keys, ""); i >= 0 {
		return manager.ErrInvalid{Field: fmt.Sprintf("%s.Keys[%d]", field, i), Reason: "is empty"}
	}
	if s.Weight < 0 || math.IsNaN(s.Weight) || math.IsInf(s.Weight, 0) {
		return manager.ErrInvalid{Field: field + ".Weight", Reason: fmt.Sprintf("is %g: expected a number of jobs per second", s.Weight)}
	}
	if r := s.Cap; r.ProcessorMilliCores < 0 || r.MemoryMegaBytes < 0 || r.Accelerators < 0 {
		return manager.ErrInvalid{Field: field + ".Cap", Reason: "has a negative limit"}
	}
	return nil
}

func formerValidateTimes(q manager.QueueSettings, field string) error {
	for _, d := range []struct {
		name  string
		value manager.Duration
	}{
		{".TimeoutMs", q.TimeoutMs},
		{".SlackMs", q.SlackMs},
		{".Advice.DecisionMs", q.Advice.DecisionMs},
		{".Advice.PerWorkerMs", q.Advice.PerWorkerMs},
		{".Advice.ValidMs", q.Advice.ValidMs},
	} {
		if d.value < 0 || d.value > manager.MaxDuration {
			return manager.ErrInvalid{Field: field + d.name, Reason: fmt.Sprintf("is %d: expected 0 to %d", d.value, manager.MaxDuration)}
		}
	}
	if q.Stretch < 0 {
		return manager.ErrInvalid{Field: field + ".Stretch", Reason: "is negative"}
	}
	return nil
}
