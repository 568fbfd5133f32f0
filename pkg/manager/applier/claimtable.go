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

// claimRecord is a claim and the answer it led to.
type claimRecord struct {
	Request manager.RequestID
	Digest  manager.ClaimDigest
	Attempt string
	// Until is when the claim is forgotten.
	Until manager.Time
	// Untimed says that the id carries no time, so that it is remembered as spent afterwards.
	Untimed bool `json:",omitempty"`
	// Answered counts the answers recorded so far, this one included; 0 means none.
	Answered uint64                  `json:",omitempty"`
	Answer   *manager.RecordedAnswer `json:",omitempty"`

	place int
}

// fingerprint stands for an id that is spent; two ids with the same one refuse each other at worst.
type fingerprint uint64

func fingerprintOf(id manager.RequestID) fingerprint {
	sum := sha256.Sum256([]byte(id))
	return fingerprint(binary.BigEndian.Uint64(sum[:]))
}

// claimTable keeps claims by id and by the time at which they end.
type claimTable struct {
	index map[manager.RequestID]*claimRecord
	ends  claimHeap
	// spent holds the ids without a time whose claims were forgotten, and untimed counts those kept.
	spent   map[fingerprint]struct{}
	untimed int
	// answers lists the claims with a kept answer, the oldest first.
	answers  []*claimRecord
	answered uint64
	bytes    int
}

func newClaimTable() *claimTable {
	return &claimTable{index: map[manager.RequestID]*claimRecord{}, spent: map[fingerprint]struct{}{}}
}

// expire forgets the claims whose time is over.
func (t *claimTable) expire(now manager.Time) {
	for len(t.ends) > 0 && t.ends[0].Until < now {
		r := t.ends[0]
		t.remove(r)
		if r.Untimed {
			t.spent[fingerprintOf(r.Request)] = struct{}{}
		}
	}
}

func (t *claimTable) isSpent(id manager.RequestID) bool {
	_, ok := t.spent[fingerprintOf(id)]
	return ok
}

func (t *claimTable) add(r *claimRecord) {
	t.index[r.Request] = r
	heap.Push(&t.ends, r)
	if r.Untimed {
		t.untimed++
	}
	t.answered = max(t.answered, r.Answered)
	if r.Answer != nil {
		t.answers = append(t.answers, r)
		t.bytes += answerSize(r.Answer)
	}
}

func (t *claimTable) remove(r *claimRecord) {
	delete(t.index, r.Request)
	heap.Remove(&t.ends, r.place)
	if r.Untimed {
		t.untimed--
	}
	if r.Answer != nil {
		t.bytes -= answerSize(r.Answer)
		r.Answer = nil
	}
}

// answer keeps an answer and forgets the oldest ones that have no room beside it.
func (t *claimTable) answer(r *claimRecord, a *manager.RecordedAnswer) {
	t.answered++
	r.Answered = t.answered
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

// answerSize returns the bytes that an answer holds, about.
func answerSize(a *manager.RecordedAnswer) int {
	const overhead = 128
	n := overhead + len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value) + overhead/4
	}
	return n
}

// live returns the claims in an order in which add rebuilds the table.
func (t *claimTable) live() []*claimRecord {
	return slices.SortedFunc(maps.Values(t.index), func(a, b *claimRecord) int {
		return cmp.Or(cmp.Compare(a.Answered, b.Answered), cmp.Compare(a.Request, b.Request))
	})
}

// spentIDs returns the fingerprints of spent ids in order.
func (t *claimTable) spentIDs() []fingerprint {
	return slices.Sorted(maps.Keys(t.spent))
}

// claimHeap orders claims by the time at which they end.
type claimHeap []*claimRecord

func (h claimHeap) Len() int { return len(h) }

func (h claimHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].Until, h[j].Until), cmp.Compare(h[i].Request, h[j].Request)) < 0
}

func (h claimHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push is for container/heap.
func (h *claimHeap) Push(x any) {
	r := x.(*claimRecord)
	r.place = len(*h)
	*h = append(*h, r)
}

// Pop is for container/heap.
func (h *claimHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
