package manager

// LocalityPolicy decides whether a task that could start remote from its data waits for capacity near the data.
type LocalityPolicy interface {
	Decide(in LocalityInput) LocalityDecision
}

// LocalityInput describes a task that could start now on a worker remote from its data, while no worker near the data
// accepts it.
type LocalityInput struct {
	Now Time
	// LocalMs and RemoteMs are the expected durations of the task near its data and remote from it.
	LocalMs  Duration
	RemoteMs Duration
	// NearAt is when a near worker is expected to accept the task, after the tasks that already wait for the rack.
	NearAt Time
	// LatestStart is the latest time at which the rest of the job, run near its data, still meets the objective.
	LatestStart Time
	// LatestRemote is the same with this step run remote, and each other step whose rack has no capacity now.
	LatestRemote Time
	// Ahead is the number of tasks that already wait for the rack, and TurnMs the mean time in which the rack completes one.
	Ahead  int
	TurnMs float64
	// BacklogMs is how long the pool needs for the waiting tasks that its free capacity does not suffice for.
	BacklogMs Duration
	// Since is when the first wait of a task of the job began; it is Now for a job without one.
	Since Time
	// WaitUntil is when the wait of the task ends, as decided at its beginning. It is 0 for a task that does not wait yet.
	WaitUntil Time
	// Contested means that tasks ahead of this one wait although they could take all capacity that accepts it now: if none
	// waited, there would be no capacity for it.
	Contested bool
	// Idle means that nothing of the job runs, and HeldMs is how long waits have already held the job in that state.
	Idle   bool
	HeldMs Duration
}

// LocalityDecision is whether a task waits, until when, and why it does not.
type LocalityDecision struct {
	Wait   bool
	Until  Time
	Reason LocalityReason
}

// LocalityReason is why a task does not wait, or does not wait any longer, for capacity near its data.
type LocalityReason string

// Reasons why a wait ends.
const (
	// LocalityNear means that the task started near its data.
	LocalityNear LocalityReason = "near worker accepts"
	// LocalityTooLong means that the task is expected to complete earlier, or at a lower cost to others, when it runs
	// remote.
	LocalityTooLong LocalityReason = "near capacity expected too late"
	// LocalityQueue means that too many tasks already wait for the rack.
	LocalityQueue LocalityReason = "queue for the rack too long"
	// LocalityExpired means that the end of the wait has passed.
	LocalityExpired LocalityReason = "wait expired"
	// LocalityObjective means that a longer wait could make the job miss its objective.
	LocalityObjective LocalityReason = "objective at risk"
	// LocalityHeld means that waits have held a job with nothing running for as long as they may.
	LocalityHeld LocalityReason = "job held too long"
	// LocalityNoWorker means that no live worker near the data can run the task.
	LocalityNoWorker LocalityReason = "no live worker near"
	// LocalityOff means that the policy never waits.
	LocalityOff LocalityReason = "waiting is off"
	// LocalityJobEnded means that the job ended before the task started.
	LocalityJobEnded LocalityReason = "job ended"
)
