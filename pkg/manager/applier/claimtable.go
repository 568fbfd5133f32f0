package applier

import (
	"cmp"
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// claimRecord is a claim and the recorded answer of its request.
type claimRecord struct {
	Request manager.RequestID
	Digest  manager.ClaimDigest
	Attempt string
	// Until is when the claim expires.
	Until manager.Time
	// Untimed says that the id carries no time, so that it is still remembered after the claim has expired.
	Untimed bool `json:",omitempty"`
	// Answered is the sequence number of the answer among all that were recorded; 0 means that there is
	// none.
	Answered uint64                  `json:",omitempty"`
	Answer   *manager.RecordedAnswer `json:",omitempty"`

	heapIndex int
}

// fingerprint is a hash of an expired id; a collision at worst refuses a new id.
type fingerprint uint64

func fingerprintOf(id manager.RequestID) fingerprint {
	sum := sha256.Sum256([]byte(id))
	return fingerprint(binary.BigEndian.Uint64(sum[:]))
}

// claimTable indexes the claims by id and by expiry.
type claimTable struct {
	index    map[manager.RequestID]*claimRecord
	byExpiry claimHeap
	// expiredIDs holds the ids without a time whose claims have expired; untimed counts those whose claims
	// are still kept.
	expiredIDs map[fingerprint]struct{}
	untimed    int
	// answers lists the claims with a recorded answer, the oldest first.
	answers     []*claimRecord
	answerCount uint64
	bytes       int
}

func newClaimTable() *claimTable {
	return &claimTable{index: map[manager.RequestID]*claimRecord{}, expiredIDs: map[fingerprint]struct{}{}}
}

// expire removes the claims that have expired.
func (t *claimTable) expire(now manager.Time) {
	for len(t.byExpiry) > 0 && t.byExpiry[0].Until < now {
		r := t.byExpiry[0]
		t.remove(r)
		if r.Untimed {
			t.expiredIDs[fingerprintOf(r.Request)] = struct{}{}
		}
	}
}

func (t *claimTable) isExpired(id manager.RequestID) bool {
	_, ok := t.expiredIDs[fingerprintOf(id)]
	return ok
}

func (t *claimTable) add(r *claimRecord) {
	t.index[r.Request] = r
	heap.Push(&t.byExpiry, r)
	if r.Untimed {
		t.untimed++
	}
	t.answerCount = max(t.answerCount, r.Answered)
	if r.Answer != nil {
		t.answers = append(t.answers, r)
		t.bytes += answerSize(r.Answer)
	}
}

func (t *claimTable) remove(r *claimRecord) {
	delete(t.index, r.Request)
	heap.Remove(&t.byExpiry, r.heapIndex)
	if r.Untimed {
		t.untimed--
	}
	if r.Answer != nil {
		t.bytes -= answerSize(r.Answer)
		r.Answer = nil
	}
}

// storeAnswer keeps an answer and drops the oldest ones beyond MaxAnswersBytes.
func (t *claimTable) storeAnswer(r *claimRecord, a *manager.RecordedAnswer) {
	t.answerCount++
	r.Answered = t.answerCount
	if a == nil {
		return
	}
	r.Answer = a
	t.answers = append(t.answers, r)
	t.bytes += answerSize(a)
	for len(t.answers) > 0 && (t.bytes > MaxAnswersBytes || t.answers[0].Answer == nil) {
		oldest := t.answers[0]
		t.answers = t.answers[1:]
		if oldest.Answer != nil {
			t.bytes -= answerSize(oldest.Answer)
			oldest.Answer = nil
		}
	}
}

// answerSize returns the approximate memory of an answer in bytes.
func answerSize(a *manager.RecordedAnswer) int {
	const overhead = 128
	n := overhead + len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value) + overhead/4
	}
	return n
}

// sortedClaims returns the claims in an order in which add can rebuild the table.
func (t *claimTable) sortedClaims() []*claimRecord {
	return slices.SortedFunc(maps.Values(t.index), func(a, b *claimRecord) int {
		return cmp.Or(cmp.Compare(a.Answered, b.Answered), cmp.Compare(a.Request, b.Request))
	})
}

// sortedExpiredIDs returns the fingerprints of the expired ids in order.
func (t *claimTable) sortedExpiredIDs() []fingerprint {
	return slices.Sorted(maps.Keys(t.expiredIDs))
}

// claimHeap orders claims by expiry.
type claimHeap []*claimRecord

func (h claimHeap) Len() int { return len(h) }

func (h claimHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].Until, h[j].Until), cmp.Compare(h[i].Request, h[j].Request)) < 0
}

func (h claimHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *claimHeap) Push(x any) {
	r := x.(*claimRecord)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *claimHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
