package manager

// WorkerReport is what a worker says of itself with each heartbeat.
type WorkerReport struct {
	Instance WorkerInstance `json:"Life"`
	// Sequence grows with each report of one life.
	Sequence Sequence
	VM       VMID
	Pool     PoolID
	Address  Address
	Zone     AvailabilityZone
	Labels   []Label
	// Rack is the label that names the worker's rack.
	Rack     Label `json:",omitempty"`
	Capacity Resources
	// Draining says that the worker will leave; RemainingMs is the least time left.
	Draining    bool
	RemainingMs Duration
	Running     []RunningTask
	Ended       []EndedRun
}

// RunningTask is a run that a worker holds.
type RunningTask struct {
	Task     TaskID
	Run      RunNumber
	Saved    Checkpoint
	Progress Percent
	// Gauge is a rough figure of the last half second: the tail of the response times in milliseconds
	// for a task that serves, the processors in use for any other.
	Gauge int64
}

// EndedRun is the end of a run that a worker keeps until it is acknowledged.
type EndedRun struct {
	Number uint64
	Task   TaskID
	Run    RunNumber
	How    RunEnd
	Saved  Checkpoint
}

// WorkerOrders answer a report.
type WorkerOrders struct {
	// LeaseMs prolongs the lease of all that the worker holds, from the sending of its report; 0
	// prolongs nothing and starts nothing.
	LeaseMs Duration
	// AckedEnds is the highest number of an end that need not be reported again.
	AckedEnds uint64
	Token     FencingToken
	Start     []StartOrder
	Stop      []StopOrder
	Throttle  []ThrottleOrder `json:"Pace"`
	// NextMs asks for the next report after this time; 0 leaves it to the worker.
	NextMs Duration
	// ReportTo is where later reports should go; empty leaves it.
	ReportTo Address
}

// StartOrder starts a run.
type StartOrder struct {
	Task    TaskID
	Run     RunNumber
	Payload string
	Saved   Checkpoint
	// Permit is set for the queues that need one.
	Permit Permit
}

// StopOrder stops a run.
type StopOrder struct {
	Task TaskID
	Run  RunNumber
}

// ThrottleOrder lets a run work at a share of its speed.
type ThrottleOrder struct {
	Task  TaskID
	Run   RunNumber
	Share Percent
}

// QueueSettings are the settings of a queue.
type QueueSettings struct {
	Queue QueueID
	// Host and Prefix select the queue of a request.
	Host   string
	Prefix string
	Pool   PoolID
	// TimeoutMs bounds one call.
	TimeoutMs Duration
	// SlackMs is the part of the objective that does not depend on the job's length.
	SlackMs Duration
	// Stretch is the part of the objective for each millisecond of the longest chain of work.
	Stretch float64
	// Priority 0 goes first.
	Priority    int
	MaxAttempts int
	// Advice is set where a service outside decides which workers may run a step.
	Advice AdviceSettings `json:",omitzero"`
}

// AdviceSettings describe the service that decides which workers may run the steps of a queue.
type AdviceSettings struct {
	// DecisionMs and PerWorkerMs are the time of one call and what each worker adds to it.
	DecisionMs  Duration
	PerWorkerMs Duration
	// ValidMs is how long a permit lasts; 0 stands for a queue without the service.
	ValidMs Duration
}

// Permit lets one life of a worker run the tasks of a step for a while; it is opaque to the manager.
type Permit string

// PoolSettings are the settings of a pool of workers.
type PoolSettings struct {
	Pool PoolID
	// RejectsOverload says that workers refuse what does not fit.
	RejectsOverload bool `json:"GuardsCapacity"`
	// Standby pools hold VMs that are switched off.
	Standby bool
}

// FleetConfiguration is the whole configuration of queues and pools.
type FleetConfiguration struct {
	Version Version
	Queues  []QueueSettings
	Pools   []PoolSettings
	// Document is the configuration as the operator sent it.
	Document []byte

	byID map[QueueID]int
}

// Index makes Queue fast; whoever keeps the configuration calls it once, before sharing it.
func (c *FleetConfiguration) Index() {
	c.byID = make(map[QueueID]int, len(c.Queues))
	for i, q := range c.Queues {
		c.byID[q.Queue] = i
	}
}

// Queue returns the settings of a queue.
func (c *FleetConfiguration) Queue(id QueueID) (QueueSettings, bool) {
	if c.byID != nil {
		i, ok := c.byID[id]
		if !ok {
			return QueueSettings{}, false
		}
		return c.Queues[i], true
	}
	for _, q := range c.Queues {
		if q.Queue == id {
			return q, true
		}
	}
	return QueueSettings{}, false
}

// MaintenanceRequest asks that each of some VMs has its upkeep in time.
type MaintenanceRequest struct {
	Wave       uint64
	VMs        []VMID
	DurationMs Duration
	// Cap bounds the VMs of the wave that are down at a time.
	Cap int
}
