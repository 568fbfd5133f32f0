package manager

import "fmt"

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	ProcessorMilliCores MilliCores
	MemoryMegaBytes     MegaBytes
	Accelerators        Accelerators
}

// MaxResource limits an amount in each dimension, so that no sum over a fleet overflows.
const MaxResource = 1 << 40

// Validate returns an ErrInvalid for the first dimension that is negative or too large, or nil.
func (r Resources) Validate() error {
	for _, d := range []struct {
		field  string
		amount int64
	}{
		{"ProcessorMilliCores", int64(r.ProcessorMilliCores)},
		{"MemoryMegaBytes", int64(r.MemoryMegaBytes)},
		{"Accelerators", int64(r.Accelerators)},
	} {
		if d.amount < 0 || d.amount > MaxResource {
			return ErrInvalid{Field: d.field, Reason: fmt.Sprintf("is %d: expected 0 to %d", d.amount, int64(MaxResource))}
		}
	}
	return nil
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		ProcessorMilliCores: r.ProcessorMilliCores + o.ProcessorMilliCores,
		MemoryMegaBytes:     r.MemoryMegaBytes + o.MemoryMegaBytes,
		Accelerators:        r.Accelerators + o.Accelerators,
	}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		ProcessorMilliCores: r.ProcessorMilliCores - o.ProcessorMilliCores,
		MemoryMegaBytes:     r.MemoryMegaBytes - o.MemoryMegaBytes,
		Accelerators:        r.Accelerators - o.Accelerators,
	}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{
		ProcessorMilliCores: r.ProcessorMilliCores * MilliCores(n),
		MemoryMegaBytes:     r.MemoryMegaBytes * MegaBytes(n),
		Accelerators:        r.Accelerators * Accelerators(n),
	}
}

// Fits reports whether o is at most r in every dimension.
func (r Resources) Fits(o Resources) bool {
	return o.ProcessorMilliCores <= r.ProcessorMilliCores &&
		o.MemoryMegaBytes <= r.MemoryMegaBytes &&
		o.Accelerators <= r.Accelerators
}

// Max returns the larger of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		ProcessorMilliCores: max(r.ProcessorMilliCores, o.ProcessorMilliCores),
		MemoryMegaBytes:     max(r.MemoryMegaBytes, o.MemoryMegaBytes),
		Accelerators:        max(r.Accelerators, o.Accelerators),
	}
}

// Min returns the smaller of r and o in each dimension.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		ProcessorMilliCores: min(r.ProcessorMilliCores, o.ProcessorMilliCores),
		MemoryMegaBytes:     min(r.MemoryMegaBytes, o.MemoryMegaBytes),
		Accelerators:        min(r.Accelerators, o.Accelerators),
	}
}

// Budget is an availability budget: how many VMs of a pool, and of all pools of its service together, may
// be unavailable at once. Planned maintenance and failures both count.
type Budget struct {
	// MaxUnavailable is a number of VMs; 0 means that only MaxUnavailablePercent applies.
	MaxUnavailable int `json:",omitempty"`
	// MaxUnavailablePercent is a percentage of the VMs, rounded down; 0 means that only MaxUnavailable applies.
	MaxUnavailablePercent Percent `json:",omitempty"`
	// MaxPerZone limits the unavailable VMs of the service in one availability zone; 0 means no limit.
	MaxPerZone int `json:",omitempty"`
	// MaxPerRack limits the unavailable VMs of the service in one rack; 0 means no limit.
	MaxPerRack int `json:",omitempty"`
}

// Limit returns how many of size VMs may be unavailable at once, at most size.
func (b Budget) Limit(size int) int {
	share := size * int(b.MaxUnavailablePercent) / 100
	if b.MaxUnavailablePercent == 0 {
		return min(b.MaxUnavailable, size)
	}
	if b.MaxUnavailable == 0 {
		return share
	}
	return min(share, b.MaxUnavailable)
}

// WaveOrder is the order in which a wave processes VMs.
type WaveOrder string

// Orders in which a wave processes VMs.
const (
	WaveOrderName WaveOrder = "name"
	WaveOrderZone WaveOrder = "zone"
	WaveOrderRack WaveOrder = "rack"
)

// WaveRules are the maintenance rules for the VMs of a pool.
type WaveRules struct {
	// MaxAtOnce is the maximum number of VMs of the pool that a wave has out of service at once.
	MaxAtOnce int
	// SettleMs is how long a VM still counts as unavailable after it came up again.
	SettleMs Duration
	// DrainLimitMs is how long a VM may drain before its maintenance is abandoned.
	DrainLimitMs Duration
	// RebootLimitMs is how long a reboot may take before the VM counts as lost; 0 means the default.
	RebootLimitMs Duration `json:",omitempty"`
	// WindowStartMinute and WindowEndMinute are the maintenance window in minutes of the day (UTC); VMs are
	// taken out of service only within it. Equal values mean no window.
	WindowStartMinute int `json:",omitempty"`
	WindowEndMinute   int `json:",omitempty"`
	Order             WaveOrder
}

// Weights are the relative weights of the optimization goals.
type Weights struct {
	BufferCost  int
	RollOutTime int
	Moves       int
}

// Spread limits how many tasks of one job class may share a failure domain; 0 means no limit.
type Spread struct {
	MaxPerZone int `json:",omitempty"`
	MaxPerRack int `json:",omitempty"`
}

// JobClass is a class of jobs; a lower Priority value is more urgent.
type JobClass struct {
	Class    string
	Priority int
	// Checkpointable means that running tasks may be checkpointed to free resources for more urgent ones.
	Checkpointable bool `json:",omitempty"`
}

// Quota limits the total resources of a team's running jobs.
type Quota struct {
	Team      TeamID
	Resources Resources
}

// Profile describes a class of VMs: their capacity, availability budget, maintenance rules, job classes and
// quotas.
type Profile struct {
	Profile    ProfileID
	Version    Version
	Capacity   Resources
	Spread     Spread
	Budget     Budget
	Wave       WaveRules
	Weights    Weights
	JobClasses []JobClass `json:",omitempty"`
	Quotas     []Quota    `json:",omitempty"`
}

// Class returns a job class by name.
func (p Profile) Class(name string) (JobClass, bool) {
	for _, c := range p.JobClasses {
		if c.Class == name {
			return c, true
		}
	}
	return JobClass{}, false
}

// Quota returns the quota of a team; a team without one is not limited.
func (p Profile) Quota(t TeamID) (Resources, bool) {
	for _, q := range p.Quotas {
		if q.Team == t {
			return q.Resources, true
		}
	}
	return Resources{}, false
}
