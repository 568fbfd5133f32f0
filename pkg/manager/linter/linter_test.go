package linter

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// sound returns a configuration without findings.
func sound() *manager.FleetConfiguration {
	return &manager.FleetConfiguration{
		Version: 7,
		Queues: []manager.QueueSettings{
			{Queue: "short", Host: "desk.example", Prefix: "/a/", Pool: "p", TimeoutMs: 3000, SlackMs: 3600, Stretch: 1.6, MaxAttempts: 4},
			{
				Queue: "long", Host: "desk.example", Prefix: "/a/b/", Pool: "p", TimeoutMs: 900_000, Stretch: 1.6, MaxAttempts: 1,
				Advice: manager.AdviceSettings{DecisionMs: 120, PerWorkerMs: 4, ValidMs: 9000}, AllowsAnonymous: true,
			},
		},
		Pools:        []manager.PoolSettings{{Pool: "p"}, {Pool: "spare", Standby: true}},
		RequiresKeys: true,
		Customers: []manager.CustomerSettings{
			{Customer: "cugo130", Keys: []manager.KeyDigest{"k1", "k2"}, Weight: 162, Cap: manager.Resources{ProcessorMilliCores: 9_385_742}},
			{Customer: "tivo9", Keys: []manager.KeyDigest{"k3"}, Weight: 2.5},
		},
	}
}

// A check that finds fault with a sound document teaches operators to ignore it.
func TestSoundConfigurationHasNoFindings(t *testing.T) {
	require.Empty(t, Check(sound()))
	next := sound()
	next.Version++
	require.Empty(t, CheckChange(sound(), next))
	require.Equal(t, []Change{{Kind: Changed, Fields: []FieldChange{{Field: "Version", From: "7", To: "8"}}}}, Diff(sound(), next))
	require.Empty(t, Diff(sound(), sound()))
	// Without customers no key is required, and nothing is said about keys.
	next.RequiresKeys, next.Customers = false, nil
	require.Empty(t, Check(next))
}

func TestFindings(t *testing.T) {
	tests := []struct {
		name   string
		change func(*manager.FleetConfiguration)
		want   []string
	}{
		{"all errors, not only the first", func(c *manager.FleetConfiguration) {
			c.Version, c.Queues[0].Pool, c.Queues[1].TimeoutMs, c.Customers[1].Keys = 0, "q", -1, []manager.KeyDigest{"k2", ""}
			c.Queues[0].Prefix, c.Queues[1].SlackMs, c.Queues[1].Stretch = "a", manager.MaxDuration+1, -1
			c.Customers[0].Weight, c.Customers[0].Cap.Accelerators = math.NaN(), -1
		}, []string{
			"error Version: must be greater than 0",
			`error Queues[0].Pool: pool "q" does not exist`,
			`error Queues[0].Prefix: "a" does not start with a slash`,
			"error Queues[1].TimeoutMs: must be greater than 0",
			"error Queues[1].SlackMs: is 1099511627777: expected 0 to 1099511627776",
			"error Queues[1].Stretch: is negative",
			"error Customers[0].Weight: is NaN: expected a number of jobs per second",
			"error Customers[0].Cap: has a negative limit",
			`error Customers[1].Keys[0]: is also a key of customer "cugo130"`,
			"error Customers[1].Keys[1]: is empty",
		}},
		{"equal prefix on the same host", func(c *manager.FleetConfiguration) { c.Queues[1].Prefix = "/a/" }, []string{
			"error Queues[1]: another queue has the same host and prefix",
		}},
		{"equal prefix on another host", func(c *manager.FleetConfiguration) { c.Queues[1].Prefix, c.Queues[1].Host = "/a/", "b.example" }, nil},
		{"longer prefix before a shorter one", func(c *manager.FleetConfiguration) { c.Queues[0], c.Queues[1] = c.Queues[1], c.Queues[0] }, nil},
		{"empty host", func(c *manager.FleetConfiguration) { c.Queues[0].Host = "" }, []string{
			"warning Queues[0].Host: is empty: only requests without a host match",
		}},
		{"URL as a host", func(c *manager.FleetConfiguration) { c.Queues[0].Host = "http://desk.example" }, []string{
			`warning Queues[0].Host: "http://desk.example" can't match: no Host header has the character '/'`,
		}},
		{"letter outside ASCII", func(c *manager.FleetConfiguration) { c.Queues[0].Host = "niño.example" }, []string{
			`warning Queues[0].Host: "niño.example" can't match: no Host header has the character 'ñ'`,
		}},
		{"upper case", func(c *manager.FleetConfiguration) { c.Queues[0].Host = "Desk.example" }, []string{
			`warning Queues[0].Host: "Desk.example" has upper-case letters: requests whose Host header is in lower case don't match`,
		}},
		{"port", func(c *manager.FleetConfiguration) { c.Queues[0].Host = "desk.example:8080" }, []string{
			`warning Queues[0].Host: "desk.example:8080" has a port: requests whose Host header has none don't match`,
		}},
		{"IPv6 address", func(c *manager.FleetConfiguration) { c.Queues[0].Host = "[fd00::7]" }, nil},
		{"IPv6 address with a port", func(c *manager.FleetConfiguration) { c.Queues[0].Host = "[fd00::7]:80" }, []string{
			`warning Queues[0].Host: "[fd00::7]:80" has a port: requests whose Host header has none don't match`,
		}},
		{"escaped prefix", func(c *manager.FleetConfiguration) { c.Queues[0].Prefix = "/a%20b/" }, []string{
			`warning Queues[0].Prefix: "/a%20b/" has the escape "%20": it is compared with the decoded path`,
		}},
		{"percent sign that escapes nothing", func(c *manager.FleetConfiguration) { c.Queues[0].Prefix = "/100%/" }, nil},
		{"query in a prefix", func(c *manager.FleetConfiguration) { c.Queues[0].Prefix = "/a?b=" }, []string{
			`warning Queues[0].Prefix: "/a?b=" has a ? or #, which ends the path of a URL: only requests that escape it match`,
		}},
		{"queue on a standby pool", func(c *manager.FleetConfiguration) { c.Queues[0].Pool = "spare" }, []string{
			`warning Queues[0].Pool: pool "spare" is on standby: its VMs are switched off, so no job of the queue runs`,
		}},
		{"names that differ in case", func(c *manager.FleetConfiguration) {
			c.Pools[1].Pool, c.Queues[1].Queue, c.Customers[1].Customer = "P", "Short", "CUGO130"
		}, []string{
			`warning Pools[1].Pool: "P" differs from "p" in case only`,
			`warning Queues[1].Queue: "Short" differs from "short" in case only`,
			`warning Customers[1].Customer: "CUGO130" differs from "cugo130" in case only`,
		}},
		{"attempts", func(c *manager.FleetConfiguration) { c.Queues[0].MaxAttempts, c.Queues[1].MaxAttempts = 0, -2 }, []string{
			"warning Queues[0].MaxAttempts: is 0: the node treats it as 1",
			"warning Queues[1].MaxAttempts: is -2: the node treats it as 1",
		}},
		{"objective of 0", func(c *manager.FleetConfiguration) { c.Queues[1].Stretch = 0 }, []string{
			"warning Queues[1].Stretch: is 0 with a constant part of 0: the objective is shorter than the critical path of any job, so none is in time",
		}},
		{"objective below the critical path", func(c *manager.FleetConfiguration) { c.Queues[1].Stretch = 0.9 }, []string{
			"warning Queues[1].Stretch: is 0.9 with a constant part of 0: the objective is shorter than the critical path of any job, so none is in time",
		}},
		{"objective with a constant part only", func(c *manager.FleetConfiguration) { c.Queues[0].Stretch = 0 }, nil},
		{"advisor without validity", func(c *manager.FleetConfiguration) { c.Queues[1].Advice.ValidMs = 0 }, []string{
			"warning Queues[1].Advice.ValidMs: is 0: the advisor is never asked",
		}},
		{"advisor slower than its validity", func(c *manager.FleetConfiguration) { c.Queues[1].Advice.DecisionMs = 9001 }, []string{
			"warning Queues[1].Advice.DecisionMs: is 9001, longer than a permit is valid (9000): permits expire before the next decision",
		}},
		{"advisor as slow as its validity", func(c *manager.FleetConfiguration) { c.Queues[1].Advice.DecisionMs = 9000 }, nil},
		{"weight 0 with keys", func(c *manager.FleetConfiguration) { c.Customers[1].Weight = 0 }, []string{
			`warning Customers[1].Weight: is 0: all that customer "tivo9" sends is surplus`,
		}},
		{"weight 0 with a cap only", func(c *manager.FleetConfiguration) {
			c.Customers[1] = manager.CustomerSettings{Customer: "tivo9", Cap: manager.Resources{Accelerators: 1}}
		}, []string{
			`warning Customers[1].Keys: is empty: customer "tivo9" can't call`,
			`warning Customers[1].Weight: is 0: all that customer "tivo9" sends is surplus`,
		}},
		{"small caps", func(c *manager.FleetConfiguration) {
			c.Customers[0].Cap = manager.Resources{ProcessorMilliCores: 999, MemoryMegaBytes: 63}
			c.Customers[1].Cap = manager.Resources{ProcessorMilliCores: 1000, MemoryMegaBytes: 64}
		}, []string{
			"warning Customers[0].Cap.ProcessorMilliCores: is 999 thousandths of a core, less than one core",
			"warning Customers[0].Cap.MemoryMegaBytes: is 63 MB, less than 64 MB",
		}},
		{"key twice with one customer", func(c *manager.FleetConfiguration) { c.Customers[0].Keys[1] = "k1" }, []string{
			"warning Customers[0].Keys[1]: is a key that the customer already has: removing one of the two does not remove the key",
		}},
		{"keys where all queues allow anonymous calls", func(c *manager.FleetConfiguration) { c.Queues[0].AllowsAnonymous = true }, []string{
			"warning Customers: has keys, but all queues allow anonymous calls: the limits of a customer hold only for calls that name its key",
		}},
		{"no customers, but keys are required", func(c *manager.FleetConfiguration) { c.Customers = nil }, []string{
			"warning Customers: is empty: nobody can call the queues that allow no anonymous calls, which are 1",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := sound()
			tt.change(c)
			require.Equal(t, tt.want, lines(Check(c)))
		})
	}
}

func lines(list []Finding) []string {
	var out []string
	for _, f := range list {
		out = append(out, string(f.Severity)+" "+f.Path+": "+f.Reason)
	}
	return out
}

func TestFindingsOfChanges(t *testing.T) {
	tests := []struct {
		name   string
		change func(old, next *manager.FleetConfiguration)
		want   []string
	}{
		{"same version", func(_, next *manager.FleetConfiguration) { next.Version = 7 }, []string{
			"error Version: is 7, not higher than 7, which is in force: the node ignores the document",
		}},
		{"older version", func(_, next *manager.FleetConfiguration) { next.Version = 6 }, []string{
			"error Version: is 6, not higher than 7, which is in force: the node ignores the document",
		}},
		{"queue removed", func(_, next *manager.FleetConfiguration) { next.Queues = next.Queues[:1] }, []string{
			`warning Queues: "long" is removed: its callers are refused, and its unfinished jobs may fail`,
		}},
		{"queue renamed at its place", func(_, next *manager.FleetConfiguration) { next.Queues[1].Queue = "longer" }, []string{
			`warning Queues: "long" is removed: its callers are refused, and its unfinished jobs may fail`,
		}},
		{"queue at another prefix", func(_, next *manager.FleetConfiguration) { next.Queues[0].Prefix = "/c/" }, []string{
			`warning Queues[0]: "short" leaves host "desk.example" and prefix "/a/", which no other queue takes`,
		}},
		{"queues exchanged", func(_, next *manager.FleetConfiguration) {
			next.Queues[0].Prefix, next.Queues[1].Prefix = next.Queues[1].Prefix, next.Queues[0].Prefix
		}, nil},
		{"customer removed", func(_, next *manager.FleetConfiguration) { next.Customers = next.Customers[1:] }, []string{
			`warning Customers: "cugo130" is removed (keys: 2)`,
		}},
		{"customer loses its keys", func(_, next *manager.FleetConfiguration) { next.Customers[0].Keys = nil }, []string{
			`warning Customers[0].Keys: loses all 2 keys of customer "cugo130"`,
		}},
		{"keys exchanged", func(_, next *manager.FleetConfiguration) { next.Customers[0].Keys = []manager.KeyDigest{"k9"} }, nil},
		{"cap a tenth", func(old, next *manager.FleetConfiguration) {
			old.Customers[0].Cap = manager.Resources{ProcessorMilliCores: 100_001, MemoryMegaBytes: 10_000, Accelerators: 100}
			next.Customers[0].Cap = manager.Resources{ProcessorMilliCores: 10_000, MemoryMegaBytes: 1000, Accelerators: 9}
		}, []string{
			"warning Customers[0].Cap.ProcessorMilliCores: drops from 100001 to 10000, below a tenth",
			"warning Customers[0].Cap.Accelerators: drops from 100 to 9, below a tenth",
		}},
		{"cap lifted", func(_, next *manager.FleetConfiguration) { next.Customers[0].Cap = manager.Resources{} }, nil},
		{"cap where there was none", func(_, next *manager.FleetConfiguration) { next.Customers[1].Cap.MemoryMegaBytes = 64 }, nil},
		{"anonymous calls turned off", func(_, next *manager.FleetConfiguration) { next.Queues[1].AllowsAnonymous = false }, []string{
			`warning Queues[1].AllowsAnonymous: is turned off for "long": calls without a key are refused from now on`,
		}},
		{"anonymous calls turned off where no key is required", func(old, next *manager.FleetConfiguration) {
			for _, c := range []*manager.FleetConfiguration{old, next} {
				c.RequiresKeys, c.Customers = false, nil
			}
			next.Queues[1].AllowsAnonymous = false
		}, nil},
		{"keys required from now on", func(old, _ *manager.FleetConfiguration) { old.RequiresKeys, old.Customers = false, nil }, []string{
			"warning RequiresKeys: is new: calls without a key, which are accepted now, are refused except on queues that allow them",
		}},
		{"keys required no longer", func(_, next *manager.FleetConfiguration) { next.RequiresKeys, next.Customers = false, nil }, []string{
			"warning RequiresKeys: is gone: anyone may call every queue without a key",
			`warning Customers: "cugo130" is removed (keys: 2)`,
			`warning Customers: "tivo9" is removed (keys: 1)`,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			old, next := sound(), sound()
			next.Version++
			tt.change(old, next)
			require.Equal(t, tt.want, lines(CheckChange(old, next)))
		})
	}
}

func TestDiff(t *testing.T) {
	next := sound()
	next.Version = 9
	next.Queues = []manager.QueueSettings{next.Queues[1], {Queue: "new"}, {Queue: "new", Host: "duplicate"}}
	next.Queues[0].Host, next.Queues[0].TimeoutMs, next.Queues[0].Advice.ValidMs = "b.example", 2000, 1
	next.Pools[0].EnforcesCapacity = true
	next.Customers[0].Keys = []manager.KeyDigest{"k2", "k7", "k8", "k8"}
	next.Customers[0].Cap.Accelerators = 3
	next.Customers[1].Customer = "tivo10"
	changes := Diff(sound(), next)
	require.Equal(t, []Change{
		{Kind: Changed, Fields: []FieldChange{{"Version", "7", "9"}}},
		{Kind: Changed, Path: "Queues", Name: "long", Fields: []FieldChange{
			{"Host", `"desk.example"`, `"b.example"`}, {"TimeoutMs", "900000", "2000"}, {"Advice.ValidMs", "9000", "1"},
		}},
		{Kind: Added, Path: "Queues", Name: "new"},
		{Kind: Removed, Path: "Queues", Name: "short"},
		{Kind: Changed, Path: "Pools", Name: "p", Fields: []FieldChange{{"EnforcesCapacity", "false", "true"}}},
		{Kind: Changed, Path: "Customers", Name: "cugo130", Fields: []FieldChange{
			{"Cap.Accelerators", "0", "3"}, {"Keys", "2", "3 (2 added, 1 removed)"},
		}},
		{Kind: Added, Path: "Customers", Name: "tivo10"},
		{Kind: Removed, Path: "Customers", Name: "tivo9"},
	}, changes)
	for _, c := range changes {
		for _, f := range c.Fields {
			require.NotContains(t, f.From+f.To, "k7", "a digest is shown")
		}
	}
}
