package manager

// RunState tells what became of the work of a request.
type RunState string

// Run states of a request.
const (
	// RunStateRan says that the work ran once and the answer is whole.
	RunStateRan RunState = "ran"
	// RunStateNotRun says that the work certainly did not run.
	RunStateNotRun RunState = "not-run"
	// RunStateUnknown says that the work may have run.
	RunStateUnknown RunState = "unknown"
)

// RefusalCode is the machine-readable reason of a refusal.
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
	RefusalAnswerForgotten  RefusalCode = "AnswerNotKept"
	RefusalStopping         RefusalCode = "Stopping"
	RefusalStale            RefusalCode = "ConfigurationStale"
	RefusalTooLarge         RefusalCode = "TooLarge"
	RefusalHeadersTooLarge  RefusalCode = "HeadersTooLarge"
	RefusalBadRequest       RefusalCode = "BadRequest"
)

// Refusal is the body of an answer that the system itself gives in place of an upstream's.
type Refusal struct {
	Code         RefusalCode
	Message      string
	RunState     RunState
	RetryAfterMs Duration
}

// Request is what the decision parts know of a caller's request.
type Request struct {
	Request    RequestID
	Service    ServiceID
	Idempotent bool
	// Deadline is the local time after which the answer is of no use.
	Deadline Time
	// Avoid is the upstream that failed the attempt before, or empty.
	Avoid UpstreamID
}

// Router chooses the upstream of a request.
type Router interface {
	// Pick returns the upstream to use among candidates, or false if none fits.
	Pick(now Time, r Request, candidates []Candidate) (UpstreamID, bool)
	// Observe takes the outcome of an attempt.
	Observe(now Time, o Outcome)
}

// Candidate is an upstream with a free slot.
type Candidate struct {
	Member Member
	// InUse is the number of requests that this gateway has in flight there.
	InUse int
	// Share is the number of slots that this gateway may use there now.
	Share Slots
}

// Outcome is what became of one attempt on one upstream.
type Outcome struct {
	Request    RequestID
	Service    ServiceID
	Upstream   UpstreamID
	RunState   RunState
	DurationMs Duration
	// Failed says that the attempt brought no whole answer.
	Failed bool
	// Cancelled says that the caller went away first, so that nothing is known of the upstream.
	Cancelled bool
}

// DecisionKind tells what to do with a waiting request.
type DecisionKind int

// Kinds of decisions.
const (
	DecisionDispatch DecisionKind = iota + 1
	DecisionRefuse
	// DecisionAbort ends a running request: its slot may be another gateway's soon.
	DecisionAbort
)

// Decision is the limiter's answer for one request.
type Decision struct {
	Request  RequestID
	Kind     DecisionKind
	Member   Member
	Refusal  Refusal
	WaitedMs Duration
}

// Limiter queues requests, gives them slots of upstreams and refuses what can't be served in time.
type Limiter interface {
	// Arrive takes a new request.
	Arrive(now Time, r Request) []Decision
	// Finish gives the slot of a dispatched request back.
	Finish(now Time, o Outcome) []Decision
	// Cancel forgets a waiting request whose caller went away.
	Cancel(now Time, r RequestID) []Decision
	// Tick decides what became due: refusals of what waited too long and dispatches to new members.
	Tick(now Time) []Decision
}

// RetryDecision tells whether a request may be tried again and after which pause.
type RetryDecision struct {
	Retry   bool
	DelayMs Duration
	Reason  string
}

// Retrier decides which failed attempts may run again.
type Retrier interface {
	// Start counts the first attempt of a request towards the budget.
	Start(now Time, r Request)
	// Failed decides about an attempt that failed; attempt counts from 1.
	Failed(now Time, r Request, o Outcome, attempt int) RetryDecision
}
