package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/platform/emulator"
)

const (
	// configurationTime is the time after its acknowledgement in which a configuration has to be in force everywhere.
	configurationTime = 2500 * time.Millisecond
	// flooder sends floods, uncapped has no cap and shrinking one that changes often.
	flooder, uncapped, shrinking = "flooder", "uncapped", "shrinking"
	floodJobs                    = 12
	neverKey                     = "never-a-key"
)

var customerNames = []string{flooder, uncapped, shrinking}

// offer is a configuration that was sent.
type offer struct {
	version     int
	sent, acked time.Time
	tenants     []emulator.Tenant
	// keys are the customers of the keys. caps has customers that have left too, with their last caps.
	keys map[string]string
	caps map[string]int
}

// customers draws configurations with customers, and judges answers by those that may have been in force.
type customers struct {
	seed uint64

	mu     sync.Mutex
	rng    *rand.Rand
	offers []*offer
	keys   map[string][]string
	caps   map[string]int
	// used are all keys of a customer, removed the versions that removed keys.
	used    map[string][]string
	removed map[string]int
	// gone is when a node has first shown that a key was removed.
	gone               map[string]time.Time
	accepted, refused  int
	foreign, flooded   int
	keyChanges, shrunk int
}

func (s *soak) addCustomers(seed uint64) {
	s.floods = rand.New(rand.NewPCG(seed, 17))
	s.watch.customers = &customers{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 15)), keys: map[string][]string{}, caps: map[string]int{},
		used: map[string][]string{}, removed: map[string]int{}, gone: map[string]time.Time{},
	}
	s.fleet.Ledger.Cap = s.watch.customers.highestCap
}

// offer draws the configuration of a version.
func (c *customers) offer(version int) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	o := &offer{version: version, sent: time.Now(), tenants: []emulator.Tenant{}, keys: map[string]string{}, caps: map[string]int{}}
	for _, name := range customerNames {
		c.change(name, version)
		o.caps[name] = c.caps[name]
		for _, key := range c.keys[name] {
			o.keys[key] = name
		}
		if len(c.keys[name]) > 0 {
			o.tenants = append(o.tenants, emulator.Tenant{Name: name, APIKeys: slices.Clone(c.keys[name]), Weight: 10, Cap: emulator.Cap{CPU: c.caps[name]}})
		}
	}
	c.offers = append(c.offers, o)
}

// change draws what a version changes of a customer. A customer may leave, with all its keys, and come back with others.
func (c *customers) change(name string, version int) {
	switch have := len(c.keys[name]); {
	case have == 0 && (len(c.offers) == 0 || c.rng.IntN(2) == 0):
		c.add(name)
		c.add(name)
	case have == 0:
	case c.rng.IntN(12) == 0:
		c.remove(name, have, version)
	case c.rng.IntN(3) == 0:
		c.remove(name, have-1, version)
		c.add(name)
	}
	if before := c.caps[name]; name != uncapped && (before == 0 || c.rng.IntN(4) == 0) {
		c.caps[name] = 1000 + c.rng.IntN(8000)
		if c.caps[name] < before {
			c.shrunk++
		}
	}
}

func (c *customers) add(name string) {
	key := fmt.Sprintf("key-%s-%d-%d", name, c.seed, len(c.used[name]))
	c.keys[name], c.used[name] = append(c.keys[name], key), append(c.used[name], key)
	c.keyChanges++
}

func (c *customers) remove(name string, n, version int) {
	for _, key := range c.keys[name][:n] {
		c.removed[key] = version
		c.keyChanges++
	}
	c.keys[name] = slices.Clone(c.keys[name][n:])
}

func (c *customers) acknowledged(version int) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.offers {
		if o.version == version && o.acked.IsZero() {
			o.acked = time.Now()
		}
	}
}

func (c *customers) document(version int, mark string) emulator.Document {
	d := emulator.Document{Version: version, Pool: Pool, Mark: mark, Prefixes: []string{prefix}}
	if c == nil {
		return d
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.offers {
		if o.version == version {
			d.Tenants = o.tenants
		}
	}
	return d
}

// inForce returns the configurations that may be in force at some moment of a time.
func (c *customers) inForce(from, to time.Time) []*offer {
	first := 0
	for i, o := range c.offers {
		if !o.acked.IsZero() && o.acked.Add(configurationTime).Before(from) {
			first = i
		}
	}
	list := slices.Clone(c.offers[first:])
	return slices.DeleteFunc(list, func(o *offer) bool { return o.sent.After(to) })
}

// highestCap returns the highest cap of a customer that may be in force, and false if there is none.
func (c *customers) highestCap(name string) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, highest := time.Now(), 0
	for _, o := range c.inForce(now, now) {
		if o.caps[name] == 0 {
			return 0, false
		}
		highest = max(highest, o.caps[name])
	}
	return highest, highest > 0
}

// draw returns a customer for the next job.
func (c *customers) draw() string {
	if c == nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return customerNames[c.rng.IntN(len(customerNames))]
}

// key draws a key for a call of a customer: mostly one that was acknowledged, and else a new, removed or unknown one.
func (c *customers) key(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var acknowledged []string
	for _, o := range c.offers {
		for _, t := range o.tenants {
			if t.Name == name && !o.acked.IsZero() {
				acknowledged = t.APIKeys
			}
		}
	}
	used := c.used[name]
	switch n := c.rng.IntN(20); {
	case n == 0 || len(used) == 0:
		return neverKey
	case n < 3:
		return used[c.rng.IntN(len(used))]
	case n < 5 || len(acknowledged) == 0:
		return used[len(used)-1]
	}
	return acknowledged[len(acknowledged)-1]
}

// judge returns what is wrong with the answer of a node to a call with a key, or "".
func (c *customers) judge(n *Node, name, key string, o emulator.Outcome, sent time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var held, lacking, early bool
	for _, f := range c.inForce(sent, time.Now()) {
		if f.keys[key] == name {
			held = true
			continue
		}
		lacking = true
		early = early || c.removed[key] == 0 || f.version < c.removed[key]
	}
	at := n.Name + " " + key
	gone, isGone := c.gone[at]
	switch o {
	case emulator.Taken, emulator.Gone, emulator.Conflict:
		c.accepted++
		switch {
		case !held:
			return fmt.Sprintf("%s answers %s to key %s, which is in no configuration that may be in force", n.Name, o, key)
		case isGone && sent.After(gone):
			return fmt.Sprintf("%s answers %s to key %s after it has shown that the key was removed", n.Name, o, key)
		}
	case emulator.Unauthorized:
		c.refused++
		if !lacking {
			return fmt.Sprintf("%s refuses key %s, which is in every configuration that may be in force", n.Name, key)
		}
		if !early && !isGone {
			c.gone[at] = time.Now()
		}
	}
	return ""
}

func (c *customers) summary(l *emulator.Ledger) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d changes of keys, %d calls with a key in force and %d refused, %d calls on jobs of others, %d shrunk caps, %d starts under a cap, %d jobs of floods",
		c.keyChanges, c.accepted, c.refused, c.foreign, c.shrunk, l.Capped(), c.flooded)
}

// as makes a call with a key of a customer and checks the answer against the keys that may be in force.
func (w *watch) as(rng *rand.Rand, customer string, call func(context.Context, *Node, *emulator.Caller) emulator.Outcome) emulator.Outcome {
	if w.customers == nil {
		return w.timed(rng, func(ctx context.Context, n *Node) emulator.Outcome { return call(ctx, n, w.caller) })
	}
	key, sent := w.customers.key(customer), time.Now()
	var at *Node
	o := w.timed(rng, func(ctx context.Context, n *Node) emulator.Outcome {
		at = n
		return call(ctx, n, w.caller.WithKey(key))
	})
	if fault := w.customers.judge(at, customer, key, o, sent); fault != "" {
		w.fail("%s", fault)
	}
	return o
}

// spy makes a call on an accepted job as another customer, once in ten calls: the job doesn't exist for it, and its ID is taken.
func (w *watch) spy(rng *rand.Rand, j *job) {
	if w.customers == nil {
		return
	}
	other := w.customers.draw()
	if other == j.customer || rng.IntN(10) > 0 {
		return
	}
	kind, expected := rng.IntN(3), emulator.Gone
	if kind == 0 {
		expected = emulator.Conflict
	}
	o := w.as(rng, other, func(ctx context.Context, n *Node, c *emulator.Caller) emulator.Outcome {
		switch kind {
		case 0:
			return c.Submit(ctx, n.At(portFront), prefix, j.id, emulator.Task{Payload: j.payload(), Count: 1, CPU: 500})
		case 1:
			return c.Cancel(ctx, n.At(portFront), prefix, j.id)
		}
		_, o := c.State(ctx, n.At(portFront), prefix, j.id)
		return o
	})
	w.customers.mu.Lock()
	w.customers.foreign++
	w.customers.mu.Unlock()
	if definite := o == emulator.Taken || o == emulator.Gone || o == emulator.Conflict; definite && o != expected {
		w.fail("job %s of %s: %s gets %s instead of %s", j.id, j.customer, other, o, expected)
	}
}

// flood makes one customer send many jobs at once, once in eight calls.
func (s *soak) flood() {
	if s.watch.customers == nil || s.floods.IntN(8) > 0 {
		return
	}
	s.watch.customers.mu.Lock()
	s.watch.customers.flooded += floodJobs
	s.watch.customers.mu.Unlock()
	for range floodJobs {
		rng := rand.New(rand.NewPCG(s.floods.Uint64(), 1))
		s.watch.work.Go(func() { s.watch.playJob(rng, flooder) })
	}
}

// checkLogs checks that no log line of a node holds a key or its digest.
func (s *soak) checkLogs() {
	secrets := []string{"Bearer"}
	for _, key := range slices.Concat([]string{neverKey}, s.watch.customers.used[flooder], s.watch.customers.used[uncapped], s.watch.customers.used[shrinking]) {
		secrets = append(secrets, key, string(manager.DigestKey(key)))
	}
	for _, n := range s.fleet.Nodes {
		data, err := os.ReadFile(filepath.Join(s.fleet.Folder, n.Name+".log"))
		require.NoError(s.t, err)
		require.NotEmpty(s.t, data)
		for _, secret := range secrets {
			for line := range strings.Lines(string(data)) {
				require.NotContains(s.t, line, secret, "%s logs a key", n.Name)
			}
		}
	}
}
