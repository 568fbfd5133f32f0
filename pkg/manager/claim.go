package manager

// ClaimDigest binds a claim to the caller, method, path and body it was made for.
type ClaimDigest string

// ClaimState is the state of a claim in the replicated state.
type ClaimState string

// States of a claim.
const (
	// ClaimGranted says that this call made the claim: the request may be sent once.
	ClaimGranted ClaimState = "granted"
	// ClaimPending says that another attempt holds the claim and has no recorded answer.
	ClaimPending ClaimState = "pending"
	// ClaimAnswered says that the answer is recorded.
	ClaimAnswered ClaimState = "answered"
	// ClaimMismatch says that the id belongs to another caller or body.
	ClaimMismatch ClaimState = "mismatch"
	// ClaimExpired says that the id is older than the window in which claims are kept.
	ClaimExpired ClaimState = "expired"
	// ClaimForgotten says that the work ran but its answer is no longer kept.
	ClaimForgotten ClaimState = "forgotten"
	// ClaimAhead says that the time in the id is in the future, so that nothing was claimed.
	ClaimAhead ClaimState = "ahead"
	// ClaimUntimed says that no more ids without a time can be remembered, so that nothing was claimed.
	ClaimUntimed ClaimState = "untimed"
	// ClaimFull says that the memory for claims is used up, so that nothing was claimed.
	ClaimFull ClaimState = "full"
)

// RecordedAnswer is an upstream's whole answer, kept for resends.
type RecordedAnswer struct {
	Status  int
	Headers []Header
	Body    []byte
	// TooLarge says that the answer was whole but too large to keep.
	TooLarge bool
}

// Header is one header line of a recorded answer.
type Header struct {
	Name  string
	Value string
}

// ClaimResult is the answer to a claim.
type ClaimResult struct {
	State  ClaimState
	Answer *RecordedAnswer
}

// ClaimBatch records answers and then makes claims, in order, under one entry of the log.
type ClaimBatch struct {
	Answers []RecordAnswer `json:",omitempty"`
	Claims  []MakeClaim    `json:",omitempty"`
}
