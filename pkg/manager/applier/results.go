package applier

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// resultRecord is the first result of a command and the digest of the body that led to it.
type resultRecord struct {
	Command manager.CommandID
	Digest  string
	Result  manager.Result
}

// resultTable keeps the latest results in the order in which they were applied.
type resultTable struct {
	order []resultRecord
	index map[manager.CommandID]resultRecord
}

func newResultTable() *resultTable {
	return &resultTable{index: map[manager.CommandID]resultRecord{}}
}

func (t *resultTable) find(id manager.CommandID) (resultRecord, bool) {
	r, ok := t.index[id]
	return r, ok
}

func (t *resultTable) add(r resultRecord) {
	t.order = append(t.order, r)
	t.index[r.Command] = r
	if len(t.order) <= MaxResults {
		return
	}
	delete(t.index, t.order[0].Command)
	t.order = t.order[1:]
}

// FirstResult returns the first result of a command id and the digest of the body that led to it.
func (s *State) FirstResult(c manager.CommandID) (manager.Result, string, bool) {
	r, ok := s.results.find(c)
	return r.Result, r.Digest, ok
}
