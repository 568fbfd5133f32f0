package linter

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// ChangeKind is what became of an entry.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is a difference between two configurations.
type Change struct {
	Kind ChangeKind
	// Path is the list, or empty for the values outside lists, named as the fields of manager.FleetConfiguration.
	Path string `json:",omitempty"`
	// Name is the entry of the list.
	Name string `json:",omitempty"`
	// Fields are the fields that changed.
	Fields []FieldChange `json:",omitempty"`
}

// FieldChange is a field that changed.
type FieldChange struct {
	// Field is the path within the entry.
	Field    string
	From, To string
}

// Diff returns what the new configuration changes: values outside lists first, then queues, pools and customers, each list
// with added and changed entries in the order of the new configuration and the removed ones behind them. Of entries with
// the same name, which are an error, it compares the first.
func Diff(old, new *manager.FleetConfiguration) []Change {
	var list []Change
	fields := fieldChanges(
		field{"Version", old.Version, new.Version},
		field{"RequiresKeys", old.RequiresKeys, new.RequiresKeys},
	)
	if len(fields) > 0 {
		list = append(list, Change{Kind: Changed, Fields: fields})
	}
	list = append(list, diffList("Queues", old.Queues, new.Queues, queueName, diffQueue)...)
	list = append(list, diffList("Pools", old.Pools, new.Pools, poolName, diffPool)...)
	return append(list, diffList("Customers", old.Customers, new.Customers, customerName, diffCustomer)...)
}

func queueName(q manager.QueueSettings) string       { return string(q.Queue) }
func poolName(p manager.PoolSettings) string         { return string(p.Pool) }
func customerName(s manager.CustomerSettings) string { return string(s.Customer) }

// diffList compares two lists of entries by name.
func diffList[T any](path string, old, new []T, name func(T) string, diff func(old, new T) []FieldChange) []Change {
	var list []Change
	before, after := byName(old, name), byName(new, name)
	seen := map[string]bool{}
	for _, e := range new {
		n := name(e)
		if seen[n] {
			continue
		}
		seen[n] = true
		former, ok := before[n]
		if !ok {
			list = append(list, Change{Kind: Added, Path: path, Name: n})
			continue
		}
		if fields := diff(former, e); len(fields) > 0 {
			list = append(list, Change{Kind: Changed, Path: path, Name: n, Fields: fields})
		}
	}
	for _, e := range old {
		n := name(e)
		if _, ok := after[n]; !ok && !seen[n] {
			seen[n] = true
			list = append(list, Change{Kind: Removed, Path: path, Name: n})
		}
	}
	return list
}

// byName returns the first entry of each name.
func byName[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, e := range list {
		if _, ok := m[name(e)]; !ok {
			m[name(e)] = e
		}
	}
	return m
}

// field is a value of a field in two configurations.
type field struct {
	name     string
	old, new any
}

func fieldChanges(fields ...field) []FieldChange {
	var list []FieldChange
	for _, f := range fields {
		if f.old != f.new {
			list = append(list, FieldChange{Field: f.name, From: text(f.old), To: text(f.new)})
		}
	}
	return list
}

// text quotes strings, so that control characters of a document reach no terminal.
func text(v any) string {
	switch v := v.(type) {
	case string:
		return fmt.Sprintf("%q", v)
	case manager.PoolID:
		return fmt.Sprintf("%q", string(v))
	}
	return fmt.Sprint(v)
}

func diffQueue(old, new manager.QueueSettings) []FieldChange {
	return fieldChanges(
		field{"Host", old.Host, new.Host},
		field{"Prefix", old.Prefix, new.Prefix},
		field{"Pool", old.Pool, new.Pool},
		field{"TimeoutMs", int64(old.TimeoutMs), int64(new.TimeoutMs)},
		field{"SlackMs", int64(old.SlackMs), int64(new.SlackMs)},
		field{"Stretch", old.Stretch, new.Stretch},
		field{"Priority", old.Priority, new.Priority},
		field{"MaxAttempts", old.MaxAttempts, new.MaxAttempts},
		field{"Advice.DecisionMs", int64(old.Advice.DecisionMs), int64(new.Advice.DecisionMs)},
		field{"Advice.PerWorkerMs", int64(old.Advice.PerWorkerMs), int64(new.Advice.PerWorkerMs)},
		field{"Advice.ValidMs", int64(old.Advice.ValidMs), int64(new.Advice.ValidMs)},
		field{"AllowsAnonymous", old.AllowsAnonymous, new.AllowsAnonymous},
	)
}

func diffPool(old, new manager.PoolSettings) []FieldChange {
	return fieldChanges(
		field{"EnforcesCapacity", old.EnforcesCapacity, new.EnforcesCapacity},
		field{"Standby", old.Standby, new.Standby},
	)
}

func diffCustomer(old, new manager.CustomerSettings) []FieldChange {
	list := fieldChanges(
		field{"Weight", old.Weight, new.Weight},
		field{"Cap.ProcessorMilliCores", int64(old.Cap.ProcessorMilliCores), int64(new.Cap.ProcessorMilliCores)},
		field{"Cap.MemoryMegaBytes", int64(old.Cap.MemoryMegaBytes), int64(new.Cap.MemoryMegaBytes)},
		field{"Cap.Accelerators", int64(old.Cap.Accelerators), int64(new.Cap.Accelerators)},
	)
	removed, added := missing(old.Keys, new.Keys), missing(new.Keys, old.Keys)
	if added+removed == 0 {
		return list
	}
	return append(list, FieldChange{
		Field: "Keys", From: fmt.Sprintf("%d", distinct(old.Keys)),
		To: fmt.Sprintf("%d (%d added, %d removed)", distinct(new.Keys), added, removed),
	})
}

// missing returns how many of the keys are not among the others.
func missing(keys, others []manager.KeyDigest) int {
	counted := map[manager.KeyDigest]bool{}
	for _, k := range others {
		counted[k] = true
	}
	n := 0
	for _, k := range keys {
		if !counted[k] {
			counted[k] = true
			n++
		}
	}
	return n
}

func distinct(keys []manager.KeyDigest) int { return missing(keys, nil) }
