package applier

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/budgeter"
)

// Preview returns the effects of a profile change on a fleet and the fleet after it, or why the change
// would be refused.
func Preview(f manager.Fleet, p manager.Profile) (manager.ProfilePreview, manager.Fleet, *manager.Failure) {
	if failure := ValidateProfile(p); failure != nil {
		return manager.ProfilePreview{}, f, failure
	}
	i := slices.IndexFunc(f.Profiles, func(x manager.Profile) bool { return x.Profile == p.Profile })
	var current manager.Profile
	if i >= 0 {
		current = f.Profiles[i]
	}
	if p.Version != current.Version {
		return manager.ProfilePreview{}, f, staleVersion(p, current.Version)
	}
	before := budgeter.FromFleet(f)
	if reason := before.CheckProfile(p); reason != "" {
		return manager.ProfilePreview{}, f, invalid("Budget", reason)
	}
	preview := manager.ProfilePreview{Profile: p.Profile, Version: current.Version + 1, Changes: fieldChanges(current, p)}
	p.Version = preview.Version
	after := withProfile(f, i, p)
	preview.Pools = poolChanges(before, budgeter.FromFleet(after), f, p.Profile)
	preview.Waves = waveChanges(f, p.Profile)
	return preview, after, nil
}

func staleVersion(p manager.Profile, current manager.Version) *manager.Failure {
	reason := fmt.Sprintf("version %d was read but %d is current", p.Version, current)
	return conflict("profile", string(p.Profile), reason)
}

// withProfile returns the fleet with the profile at i replaced, or with p added if i is negative.
func withProfile(f manager.Fleet, i int, p manager.Profile) manager.Fleet {
	f.Profiles = slices.Clone(f.Profiles)
	if i < 0 {
		f.Profiles = append(f.Profiles, p)
		return f
	}
	f.Profiles[i] = p
	return f
}

func fieldChanges(from, to manager.Profile) []manager.FieldChange {
	to.Version = from.Version
	old, next := map[string]string{}, map[string]string{}
	flatten("", from, old)
	flatten("", to, next)
	all := maps.Clone(old)
	maps.Copy(all, next)
	var list []manager.FieldChange
	for _, field := range slices.Sorted(maps.Keys(all)) {
		if old[field] != next[field] {
			list = append(list, manager.FieldChange{Field: field, From: old[field], To: next[field]})
		}
	}
	return list
}

// flatten stores the leaves of a JSON document under their paths.
func flatten(path string, v any, into map[string]string) {
	data, err := json.Marshal(v)
	if err != nil {
		// Profiles hold only plain data, which can always be encoded.
		panic(err)
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		into[path] = string(data)
		return
	}
	for name, value := range fields {
		if path != "" {
			name = path + "." + name
		}
		flatten(name, value, into)
	}
}

func poolChanges(before, after *budgeter.Book, f manager.Fleet, id manager.ProfileID) []manager.PoolChange {
	var list []manager.PoolChange
	for _, p := range f.Pools {
		if p.Profile != id {
			continue
		}
		from, unavailable := before.Limit(p.Pool)
		to, _ := after.Limit(p.Pool)
		list = append(list, manager.PoolChange{
			Pool: p.Pool, VMs: before.Size(p.Pool), Unavailable: unavailable, BudgetFrom: from, BudgetTo: to,
		})
	}
	return list
}

func waveChanges(f manager.Fleet, id manager.ProfileID) []manager.WaveChange {
	var list []manager.WaveChange
	for _, w := range f.Waves {
		if !slices.ContainsFunc(w.Basis, func(b manager.WaveBasis) bool { return b.Profile == id }) {
			continue
		}
		switch w.State {
		case manager.WavePlanned:
			list = append(list, manager.WaveChange{Wave: w.Wave, State: w.State, Effect: "must be planned and approved again"})
		case manager.WaveRunning, manager.WavePaused:
			list = append(list, manager.WaveChange{Wave: w.Wave, State: w.State, Effect: "applies the new rules to its next VMs"})
		case manager.WaveCancelled, manager.WaveDone:
		}
	}
	return list
}
