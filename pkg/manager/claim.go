package manager

// ClaimDigest identifies the caller, method, path and body for which a claim was made.
type ClaimDigest string

// ClaimState is the state of a claim in the replicated state.
type ClaimState string

// States of a claim.
const (
	// ClaimGranted means that this call made the claim and may send the request once.
	ClaimGranted ClaimState = "granted"
	// ClaimPending means that another attempt holds the claim and has not recorded an answer.
	ClaimPending ClaimState = "pending"
	// ClaimAnswered means that the answer is recorded.
	ClaimAnswered ClaimState = "answered"
	// ClaimMismatch means that the request ID was used by another caller or with another body.
	ClaimMismatch ClaimState = "mismatch"
	// ClaimExpired means that the request ID is older than the retention window of claims.
	ClaimExpired ClaimState = "expired"
	// ClaimEvicted means that the work ran but its answer has been evicted.
	ClaimEvicted ClaimState = "forgotten"
	// ClaimAhead means that the timestamp in the request ID is in the future; nothing was claimed.
	ClaimAhead ClaimState = "ahead"
	// ClaimUntimed means that no more request IDs without a timestamp can be stored; nothing was claimed.
	ClaimUntimed ClaimState = "untimed"
	// ClaimFull means that the claim table is full; nothing was claimed.
	ClaimFull ClaimState = "full"
)

// RecordedAnswer is a complete answer of an upstream, stored to answer repeated requests.
type RecordedAnswer struct {
	Status  int
	Headers []Header
	Body    []byte
	// TooLarge means that the answer was complete but too large to store.
	TooLarge bool
}

// Header is an HTTP header field of a recorded answer.
type Header struct {
	Name  string
	Value string
}

// ClaimResult is the answer to a claim.
type ClaimResult struct {
	State  ClaimState
	Answer *RecordedAnswer
}

// ClaimBatch records answers and then makes claims, in order, in a single log entry.
type ClaimBatch struct {
	Answers []RecordAnswer `json:",omitempty"`
	Claims  []MakeClaim    `json:",omitempty"`
}
