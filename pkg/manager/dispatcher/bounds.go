package dispatcher

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// Limits of one cycle and of one answer. What exceeds them follows with the next.
const (
	// maxStartBytes limits the starts of a cycle, as its changes are one log entry.
	maxStartBytes = manager.MaxGangBytes
	// maxEnds limits the ends of a cycle, for the same reason.
	maxEnds = 1000
	// maxMaintenanceChanges limits the changes of waves in a cycle.
	maxMaintenanceChanges = 1000
	// maxPayloadBytes limits the payloads of an answer: workers drop an answer of more than 4 MiB, and in JSON each byte
	// may take six.
	maxPayloadBytes = 512 << 10
)

// addStart adds a start to the changes if it still fits into the entry of this cycle.
func (d *Dispatcher) addStart(s recorder.Start, c *recorder.Changes) bool {
	return d.addStarts([]recorder.Start{s}, c)
}

// addStarts adds all of the starts, or none. The first ones of a cycle always fit.
func (d *Dispatcher) addStarts(list []recorder.Start, c *recorder.Changes) bool {
	size := 0
	for _, s := range list {
		size += manager.StartBytes + len(s.Task.Graph) + len(s.Instance.Worker) + len(s.VM) + len(s.Permit)
	}
	if d.startBytes > 0 && d.startBytes+size > maxStartBytes {
		return false
	}
	d.startBytes += size
	for _, s := range list {
		d.recordStartedUse(s)
	}
	c.Start = append(c.Start, list...)
	return true
}
