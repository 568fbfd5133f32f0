package coordinator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

const (
	// maxEventBytes limits what one event adds to a log entry. A part of the entry is kept for the starts and ends that
	// the cycle decides itself.
	maxEventBytes = storer.MaxEntryBytes - storer.MaxEntryBytes/16
	// maxCycleBytes limits what the events of one cycle add together, unless it has only one. The starts and ends that the cycle
	// decides take up to 640 KiB.
	maxCycleBytes = storer.MaxEntryBytes / 4
	// endBytes is what the end of a run adds besides its checkpoint and the ID of its job.
	endBytes = 160
)

// entryBytes estimates what an event adds to the log entry of its cycle.
func entryBytes(e dispatcher.Event) (int, error) {
	var value any
	switch {
	case e.Report != nil:
		size := 0
		for i := range e.Report.Ended {
			size += endEntryBytes(&e.Report.Ended[i])
		}
		return size, nil
	case e.Submit != nil:
		value = e.Submit
	case e.Configure != nil:
		value = e.Configure
	case e.Wave != nil:
		value = e.Wave
	default:
		return 0, nil
	}
	data, err := json.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("encode event: %w", err)
	}
	return len(data), nil
}

// endEntryBytes is what the end of a run adds to a log entry, with its texts as they are encoded.
func endEntryBytes(e *manager.EndedRun) int {
	return endBytes + manager.EncodedLen(string(e.Saved)) + manager.EncodedLen(string(e.Task.Graph)) + manager.EncodedLen(string(e.How))
}

// limitEnds returns the report with as many of its ends as fit into the log entry of a cycle, the first ones. The worker reports
// the others again, as they are not acknowledged.
func limitEnds(r *manager.WorkerReport) *manager.WorkerReport {
	ends := slices.Clone(r.Ended)
	slices.SortStableFunc(ends, func(a, b manager.EndedRun) int { return cmp.Compare(a.Number, b.Number) })
	size := 0
	for i := range ends {
		if size += endEntryBytes(&ends[i]); size > maxCycleBytes {
			limited := *r
			limited.Ended = ends[:i]
			return &limited
		}
	}
	return r
}

// checkSize returns what an event adds to a log entry, or an ErrInvalid if that is more than an entry holds.
func checkSize(e dispatcher.Event) (int, error) {
	size, err := entryBytes(e)
	if err != nil {
		return 0, err
	}
	if size > maxEventBytes {
		return 0, manager.ErrInvalid{Field: "body", Reason: fmt.Sprintf("takes %d bytes in the log: at most %d are allowed", size, maxEventBytes)}
	}
	return size, nil
}
