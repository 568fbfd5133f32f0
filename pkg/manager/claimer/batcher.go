package claimer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

const (
	// DefaultInFlight is the number of batches in flight at once. While they commit, claims gather in the next one.
	DefaultInFlight = 2
	// MaxBatchItems limits the claims in a batch, and likewise its answers, to far fewer than a command may hold.
	MaxBatchItems = 256
	// MaxBatchBytes limits the size of the answers in a batch, so that claims don't wait for a large message.
	MaxBatchBytes = 512 << 10
	// MaxQueuedClaims limits the claims that wait for a batch; further ones are refused.
	MaxQueuedClaims = 4096
	// MaxQueuedBytes limits the total size of the answers that wait for a batch. Further ones are dropped, and a
	// resend of such a request gets the run state unknown.
	MaxQueuedBytes = 4 << 20
)

// Batcher groups claims and answers into batches. A batch is sent immediately while fewer than InFlight are in
// flight; claims and answers that arrive later share the next batch.
type Batcher struct {
	// InFlight is the maximum number of batches in flight; 0 means DefaultInFlight.
	InFlight int

	claims      []manager.MakeClaim
	answers     []manager.RecordAnswer
	queuedBytes int
	inFlight    int
}

// AddClaim queues a claim; it returns false if the queue is full.
func (b *Batcher) AddClaim(c manager.MakeClaim) bool {
	if len(b.claims) >= MaxQueuedClaims {
		return false
	}
	b.claims = append(b.claims, c)
	return true
}

// AddAnswer queues an answer; it returns false if the queue is full.
func (b *Batcher) AddAnswer(a manager.RecordAnswer) bool {
	size := recordBytes(a)
	if b.queuedBytes+size > MaxQueuedBytes {
		return false
	}
	b.queuedBytes += size
	b.answers = append(b.answers, a)
	return true
}

// Next returns the batch to send now, if any. The caller calls Done when it is committed or has failed.
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
	n := min(len(b.claims), MaxBatchItems)
	batch.Claims, b.claims = b.claims[:n:n], b.claims[n:]
	n = b.answersThatFit()
	batch.Answers, b.answers = b.answers[:n:n], b.answers[n:]
	return batch, true
}

// Done reports that a batch is no longer in flight.
func (b *Batcher) Done() { b.inFlight-- }

// Empty reports whether nothing waits for a batch.
func (b *Batcher) Empty() bool { return len(b.claims)+len(b.answers) == 0 }

// answersThatFit returns how many queued answers go into the next batch and subtracts their size from queuedBytes.
func (b *Batcher) answersThatFit() int {
	size := 0
	for n, a := range b.answers {
		itemBytes := recordBytes(a)
		if n == MaxBatchItems || n > 0 && size+itemBytes > MaxBatchBytes {
			return n
		}
		size += itemBytes
		b.queuedBytes -= itemBytes
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
