package manager

// Resources is an amount of capacity.
type Resources struct {
	ProcessorMilliCores MilliCores
	MemoryMegaBytes     MegaBytes
	Accelerators        Accelerators
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		ProcessorMilliCores: r.ProcessorMilliCores + o.ProcessorMilliCores,
		MemoryMegaBytes:     r.MemoryMegaBytes + o.MemoryMegaBytes,
		Accelerators:        r.Accelerators + o.Accelerators,
	}
}

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		ProcessorMilliCores: r.ProcessorMilliCores - o.ProcessorMilliCores,
		MemoryMegaBytes:     r.MemoryMegaBytes - o.MemoryMegaBytes,
		Accelerators:        r.Accelerators - o.Accelerators,
	}
}

// Fits tells whether r has room for o in every dimension.
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

// Budget bounds how many VMs of a pool, and of all pools of its service together, may be unavailable
// at once, planned and failed together.
type Budget struct {
	// MaxUnavailable is a number of VMs; 0 leaves the bound to the share.
	MaxUnavailable int `json:",omitempty"`
	// MaxUnavailablePercent is a share of the VMs, rounded down; 0 leaves the bound to the number.
	MaxUnavailablePercent Percent `json:",omitempty"`
	// MaxPerZone bounds the unavailable VMs of the service in one availability zone; 0 sets no bound.
	MaxPerZone int `json:",omitempty"`
	// MaxPerRack bounds the unavailable VMs of the service in one rack; 0 sets no bound.
	MaxPerRack int `json:",omitempty"`
}

// Limit returns how many of size VMs the budget lets be unavailable at once, at most all of them.
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

// WaveOrder names the order in which a wave takes VMs.
type WaveOrder string

// Orders of a wave.
const (
	WaveOrderName WaveOrder = "name"
	WaveOrderZone WaveOrder = "zone"
	WaveOrderRack WaveOrder = "rack"
)

// WaveRules are the rules by which a pool's VMs are maintained.
type WaveRules struct {
	// MaxAtOnce bounds the VMs of the pool that one wave takes at once.
	MaxAtOnce int
	// SettleMs is how long a repaired VM still counts as unavailable.
	SettleMs Duration
	// DrainLimitMs is how long a VM may drain before its maintenance is given up.
	DrainLimitMs Duration
	// RebootLimitMs is how long a reboot may take before the VM counts as lost; 0 takes the default.
	RebootLimitMs Duration `json:",omitempty"`
	// WindowStartMinute and WindowEndMinute bound the minutes of the day (UTC) in which VMs may be
	// taken; equal values set no window.
	WindowStartMinute int `json:",omitempty"`
	WindowEndMinute   int `json:",omitempty"`
	Order             WaveOrder
}

// Weights say how much each measure counts against the others.
type Weights struct {
	BufferCost  int
	RollOutTime int
	Moves       int
}

// Spread bounds how many tasks of one job class may share a failure domain; 0 sets no bound.
type Spread struct {
	MaxPerZone int `json:",omitempty"`
	MaxPerRack int `json:",omitempty"`
}

// JobClass is a class of jobs; a lower Priority number is more urgent.
type JobClass struct {
	Class    string
	Priority int
	// Checkpointable says that running tasks may be checkpointed to make room for more urgent ones.
	Checkpointable bool `json:",omitempty"`
}

// Quota bounds what a team's running jobs may use together.
type Quota struct {
	Team      TeamID
	Resources Resources
}

// Profile describes a class of capacity and its maintenance rules.
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

// Quota returns what a team's running jobs may use together; a team without one is not bounded.
func (p Profile) Quota(t TeamID) (Resources, bool) {
	for _, q := range p.Quotas {
		if q.Team == t {
			return q.Resources, true
		}
	}
	return Resources{}, false
}
