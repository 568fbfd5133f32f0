package manager

// RunState tells whether the work of a request ran.
type RunState string

// Run states of a request.
const (
	// RunStateRan means that the work ran once and the answer is complete.
	RunStateRan RunState = "ran"
	// RunStateNotRun means that the work certainly did not run.
	RunStateNotRun RunState = "not-run"
	// RunStateUnknown means that the work may have run.
	RunStateUnknown RunState = "unknown"
)

// RefusalCode is the machine-readable reason for a refusal.
type RefusalCode string

// Codes of refusals.
const (
	RefusalOverloaded       RefusalCode = "Overloaded"
	RefusalNoUpstream       RefusalCode = "NoUpstream"
	RefusalDeadline         RefusalCode = "DeadlineTooShort"
	RefusalUpstreamFailed   RefusalCode = "UpstreamFailed"
	RefusalUpstreamTimeout  RefusalCode = "UpstreamTimeout"
	RefusalClaimUnavailable RefusalCode = "ClaimUnavailable"
	RefusalClaimUnresolved  RefusalCode = "ClaimUnresolved"
	RefusalRequestReused    RefusalCode = "RequestIdReused"
	RefusalRequestExpired   RefusalCode = "RequestIdExpired"
	RefusalRequestAhead     RefusalCode = "RequestIdAhead"
	RefusalRequestUntimed   RefusalCode = "RequestIdNeedsTime"
	RefusalAnswerEvicted    RefusalCode = "AnswerNotKept"
	RefusalStopping         RefusalCode = "Stopping"
	RefusalStale            RefusalCode = "ConfigurationStale"
	RefusalTooLarge         RefusalCode = "TooLarge"
	RefusalHeadersTooLarge  RefusalCode = "HeadersTooLarge"
	RefusalBadRequest       RefusalCode = "BadRequest"
)

// Refusal is the body of an answer that the system itself generates instead of an upstream.
type Refusal struct {
	Code         RefusalCode
	Message      string
	RunState     RunState
	RetryAfterMs Duration
}

// Request is the metadata of a caller's request that routing, limiting and retrying use.
type Request struct {
	Request    RequestID
	Service    ServiceID
	Idempotent bool
	// Deadline is the local time after which the answer is useless to the caller.
	Deadline Time
	// Avoid is the upstream of the previous failed attempt, or empty.
	Avoid UpstreamID
}

// Router chooses the upstream of a request.
type Router interface {
	// Pick selects an upstream from candidates, or returns false if none is suitable.
	Pick(now Time, r Request, candidates []Candidate) (UpstreamID, bool)
	// Observe records the outcome of an attempt.
	Observe(now Time, o Outcome)
}

// Candidate is an upstream with a free slot.
type Candidate struct {
	Member Member
	// InUse is the number of requests that this gateway has in flight to the upstream.
	InUse int
	// Share is the number of slots of the upstream that this gateway may use now.
	Share Slots
}

// Outcome is the outcome of an attempt on an upstream.
type Outcome struct {
	Request    RequestID
	Service    ServiceID
	Upstream   UpstreamID
	RunState   RunState
	DurationMs Duration
	// Failed means that the attempt returned no complete answer.
	Failed bool
	// Cancelled means that the caller disconnected first, so the attempt tells nothing about the upstream.
	Cancelled bool
}

// DecisionKind is what to do with a request.
type DecisionKind int

// Kinds of decisions.
const (
	DecisionDispatch DecisionKind = iota + 1
	DecisionRefuse
	// DecisionAbort aborts a running request because another gateway may soon use its slot.
	DecisionAbort
)

// Decision is the limiter's decision about a request.
type Decision struct {
	Request  RequestID
	Kind     DecisionKind
	Member   Member
	Refusal  Refusal
	WaitedMs Duration
}

// Limiter queues requests, assigns them slots of upstreams and refuses requests that cannot be served in time.
type Limiter interface {
	// Arrive handles a new request.
	Arrive(now Time, r Request) []Decision
	// Finish releases the slot of a dispatched request.
	Finish(now Time, o Outcome) []Decision
	// Cancel removes a waiting request whose caller disconnected.
	Cancel(now Time, r RequestID) []Decision
	// Tick returns the decisions due now: refusals of requests that waited too long and dispatches to new members.
	Tick(now Time) []Decision
}

// RetryDecision tells whether a request may be retried and after which delay.
type RetryDecision struct {
	Retry   bool
	DelayMs Duration
	Reason  string
}

// Retrier decides which failed attempts are retried.
type Retrier interface {
	// Start counts the first attempt of a request towards the retry budget.
	Start(now Time, r Request)
	// Failed decides whether to retry a failed attempt; attempt starts at 1.
	Failed(now Time, r Request, o Outcome, attempt int) RetryDecision
}
