package claimer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

const (
	// DefaultInFlight is how many batches are on their way at once; one fills while others commit.
	DefaultInFlight = 2
	// MaxBatchParts bounds a batch's claims, and its answers, far below what a command may hold.
	MaxBatchParts = 256
	// MaxBatchBytes bounds the answers of a batch, so that claims don't wait for a large message.
	MaxBatchBytes = 512 << 10
	// MaxQueuedClaims bounds the claims that wait for a batch; more are refused.
	MaxQueuedClaims = 4096
	// MaxQueuedBytes bounds the answers that wait for a batch; more are dropped, and a resend gets
	// unknown.
	MaxQueuedBytes = 4 << 20
)

// Batcher gathers claims and answers into batches: one goes at once while few are on their way, and
// what comes meanwhile shares the next.
type Batcher struct {
	// InFlight is how many batches may be on their way; 0 takes the default.
	InFlight int

	claims   []manager.MakeClaim
	answers  []manager.RecordAnswer
	bytes    int
	inFlight int
}

// AddClaim queues a claim; it returns false if too many wait.
func (b *Batcher) AddClaim(c manager.MakeClaim) bool {
	if len(b.claims) >= MaxQueuedClaims {
		return false
	}
	b.claims = append(b.claims, c)
	return true
}

// AddAnswer queues an answer; it returns false if too many wait.
func (b *Batcher) AddAnswer(a manager.RecordAnswer) bool {
	size := recordBytes(a)
	if b.bytes+size > MaxQueuedBytes {
		return false
	}
	b.bytes += size
	b.answers = append(b.answers, a)
	return true
}

// Next returns the batch to send now, if any; Done ends it.
func (b *Batcher) Next() (manager.ClaimBatch, bool) {
	limit := b.InFlight
	if limit == 0 {
		limit = DefaultInFlight
	}
	if b.inFlight >= limit || b.Empty() {
		return manager.ClaimBatch{}, false
	}
	b.inFlight++
	var batch manager.ClaimBatch
	n := min(len(b.claims), MaxBatchParts)
	batch.Claims, b.claims = b.claims[:n:n], b.claims[n:]
	n = b.answersThatFit()
	batch.Answers, b.answers = b.answers[:n:n], b.answers[n:]
	return batch, true
}

// Done ends a batch.
func (b *Batcher) Done() { b.inFlight-- }

// Empty tells whether nothing waits for a batch.
func (b *Batcher) Empty() bool { return len(b.claims)+len(b.answers) == 0 }

// answersThatFit takes the answers for a batch from the bytes that wait and returns their number.
func (b *Batcher) answersThatFit() int {
	size := 0
	for n, a := range b.answers {
		more := recordBytes(a)
		if n == MaxBatchParts || n > 0 && size+more > MaxBatchBytes {
			return n
		}
		size += more
		b.bytes -= more
	}
	return len(b.answers)
}

func recordBytes(a manager.RecordAnswer) int {
	const overhead = 256
	if a.Answer == nil {
		return overhead
	}
	n := overhead + len(a.Answer.Body)
	for _, h := range a.Answer.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}
