package manager

import (
	"fmt"
	"net/netip"
	"unicode/utf8"
)

// Limits of a worker's report; one that exceeds them comes from no worker.
const (
	// MaxCheckpointBytes limits a checkpoint: each is part of log entries and of start orders.
	MaxCheckpointBytes = 4096
	// MaxLabels limits the labels of a worker.
	MaxLabels = 64
	// MaxCount limits what a worker counts: above it, no later number could follow.
	MaxCount = 1 << 53
	// MaxTime limits the times of other clocks, so that no sum with a Duration overflows.
	MaxTime Time = 1 << 50
)

// Validate returns an ErrInvalid for the first invalid value of the report, or nil.
func (r *WorkerReport) Validate() error {
	if err := validateID("Worker", string(r.Instance.Worker)); err != nil {
		return err
	}
	if r.Instance.StartedAt <= 0 || r.Instance.StartedAt > MaxTime {
		return ErrInvalid{Field: "Born", Reason: fmt.Sprintf("is %d: expected milliseconds since the Unix epoch", r.Instance.StartedAt)}
	}
	if r.Sequence > MaxCount {
		return ErrInvalid{Field: "Sequence", Reason: fmt.Sprintf("is %d: expected at most %d", r.Sequence, int64(MaxCount))}
	}
	if a, err := netip.ParseAddrPort(string(r.Address)); err != nil || a.Port() == 0 {
		return ErrInvalid{Field: "Address", Reason: fmt.Sprintf("is %.*q: expected an IP address and port", maxQuotedBytes, r.Address)}
	}
	if err := validateID("Pool", string(r.Pool)); err != nil {
		return err
	}
	if err := validateID("VM", string(r.VM)); err != nil {
		return err
	}
	if len(r.Zone) > MaxIDBytes {
		return ErrInvalid{Field: "Zone", Reason: fmt.Sprintf("has more than %d bytes", MaxIDBytes)}
	}
	if len(r.Labels) > MaxLabels {
		return ErrInvalid{Field: "Labels", Reason: fmt.Sprintf("has %d entries: expected at most %d", len(r.Labels), MaxLabels)}
	}
	for i, l := range r.Labels {
		if len(l) > MaxIDBytes {
			return ErrInvalid{Field: fmt.Sprintf("Labels[%d]", i), Reason: fmt.Sprintf("has more than %d bytes", MaxIDBytes)}
		}
	}
	if err := r.Capacity.Validate(); err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	return r.validateRuns()
}

func (r *WorkerReport) validateRuns() error {
	for i, t := range r.Running {
		if len(t.Saved) > MaxCheckpointBytes {
			return ErrInvalid{Field: fmt.Sprintf("Running[%d].Saved", i), Reason: fmt.Sprintf("has more than %d bytes", MaxCheckpointBytes)}
		}
	}
	for i, e := range r.Ended {
		field := fmt.Sprintf("Ended[%d]", i)
		if e.Number > MaxCount {
			return ErrInvalid{Field: field + ".Number", Reason: fmt.Sprintf("is %d: expected at most %d", e.Number, int64(MaxCount))}
		}
		if len(e.How) > MaxIDBytes {
			return ErrInvalid{Field: field + ".How", Reason: fmt.Sprintf("has more than %d bytes", MaxIDBytes)}
		}
		if len(e.Saved) > MaxCheckpointBytes {
			return ErrInvalid{Field: field + ".Saved", Reason: fmt.Sprintf("has more than %d bytes", MaxCheckpointBytes)}
		}
	}
	return nil
}

// validateID returns an ErrInvalid if an ID is empty, too long or no text.
func validateID(field, id string) error {
	if id == "" || len(id) > MaxIDBytes || !utf8.ValidString(id) {
		return ErrInvalid{Field: field, Reason: fmt.Sprintf("must be UTF-8 text of 1 to %d bytes", MaxIDBytes)}
	}
	return nil
}
