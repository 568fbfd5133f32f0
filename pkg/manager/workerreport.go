package manager

import "slices"

// WorkerReport is the state of a worker, sent with each heartbeat.
type WorkerReport struct {
	Instance WorkerInstance `json:"Life"`
	// Sequence increases with each report of a worker instance.
	Sequence Sequence
	VM       VMID
	Pool     PoolID
	Address  Address
	Zone     AvailabilityZone
	Labels   []Label
	// Rack is the label of the worker's rack.
	Rack     Label `json:",omitempty"`
	Capacity Resources
	// Draining means that the worker is about to leave; RemainingMs is the minimum time left.
	Draining    bool
	RemainingMs Duration
	Running     []RunningTask
	Ended       []EndedRun
}

// RunningTask is a run on a worker.
type RunningTask struct {
	Task     TaskID
	Run      RunNumber
	Saved    Checkpoint
	Progress Percent
	// Gauge is a rough measurement over the last half second: the tail latency in milliseconds for a task
	// that serves requests, the number of processors in use for any other task.
	Gauge int64
}

// EndedRun is the end of a run, which the worker reports until it is acknowledged.
type EndedRun struct {
	Number uint64
	Task   TaskID
	Run    RunNumber
	How    RunEnd
	Saved  Checkpoint
}

// WorkerOrders is the answer to a WorkerReport.
type WorkerOrders struct {
	// LeaseMs extends the lease of all runs on the worker, counted from the sending of its report. If 0,
	// nothing is extended or started.
	LeaseMs Duration
	// AckedEnds is the highest acknowledged EndedRun.Number; ends up to it need not be reported again.
	AckedEnds uint64
	Token     FencingToken
	Start     []StartOrder
	Stop      []StopOrder
	Throttle  []ThrottleOrder `json:"Pace"`
	// NextMs is the delay until the next report; 0 lets the worker choose.
	NextMs Duration
	// ReportTo is the address for later reports; empty leaves it unchanged.
	ReportTo Address
}

// StartOrder starts a run.
type StartOrder struct {
	Task    TaskID
	Run     RunNumber
	Payload string
	Saved   Checkpoint
	// Permit is set if the queue requires one.
	Permit Permit
}

// StopOrder stops a run.
type StopOrder struct {
	Task TaskID
	Run  RunNumber
}

// ThrottleOrder limits a run to a share of its speed.
type ThrottleOrder struct {
	Task  TaskID
	Run   RunNumber
	Share Percent
}

// QueueSettings is the configuration of a queue.
type QueueSettings struct {
	Queue QueueID
	// Host and Prefix select the requests of the queue.
	Host   string
	Prefix string
	Pool   PoolID
	// TimeoutMs is the timeout of a call.
	TimeoutMs Duration
	// SlackMs is the constant part of the queue's latency objective.
	SlackMs Duration
	// Stretch is the part of the latency objective per millisecond of the critical path of the job.
	Stretch float64
	// Priority 0 is the highest.
	Priority    int
	MaxAttempts int
	// Advice is set if an external service decides which workers may run a step.
	Advice AdviceSettings `json:",omitzero"`
	// AllowsAnonymous means that calls on the queue need no key.
	AllowsAnonymous bool `json:",omitempty"`
}

// AdviceSettings describes the external service that decides which workers may run the steps of a queue.
type AdviceSettings struct {
	// DecisionMs is the duration of a call and PerWorkerMs the time that each worker adds to it.
	DecisionMs  Duration
	PerWorkerMs Duration
	// ValidMs is the validity of a permit; 0 means that the queue does not use the service.
	ValidMs Duration
}

// Permit allows a worker instance to run the tasks of a step for a limited time; it is opaque to the manager.
type Permit string

// PoolSettings is the configuration of a pool of workers.
type PoolSettings struct {
	Pool PoolID
	// EnforcesCapacity means that workers reject tasks that do not fit.
	EnforcesCapacity bool `json:"GuardsCapacity"`
	// Standby means that the VMs of the pool are switched off.
	Standby bool
}

// FleetConfiguration is the complete configuration of queues and pools.
type FleetConfiguration struct {
	Version Version
	Queues  []QueueSettings
	Pools   []PoolSettings
	// RequiresKeys means that callers need the key of a customer, except on queues that allow anonymous calls.
	RequiresKeys bool               `json:",omitempty"`
	Customers    []CustomerSettings `json:",omitempty"`
	// Document is the configuration as the operator sent it.
	Document []byte

	byID       map[QueueID]int
	byKey      map[KeyDigest]int
	byCustomer map[CustomerID]int
}

// Index builds the lookup tables. It is called once, before the configuration is shared between
// goroutines.
func (c *FleetConfiguration) Index() {
	c.byID = make(map[QueueID]int, len(c.Queues))
	for i, q := range c.Queues {
		c.byID[q.Queue] = i
	}
	c.byKey, c.byCustomer = map[KeyDigest]int{}, make(map[CustomerID]int, len(c.Customers))
	for i, s := range c.Customers {
		c.byCustomer[s.Customer] = i
		for _, k := range s.Keys {
			c.byKey[k] = i
		}
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

// HasPool reports whether a pool is configured.
func (c *FleetConfiguration) HasPool(p PoolID) bool {
	return slices.ContainsFunc(c.Pools, func(s PoolSettings) bool { return s.Pool == p })
}

// MaintenanceRequest asks for the maintenance of each of its VMs in a wave.
type MaintenanceRequest struct {
	Wave       uint64
	VMs        []VMID
	DurationMs Duration
	// Cap is the maximum number of VMs of the wave that are down at once.
	Cap int
}
