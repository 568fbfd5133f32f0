package meter

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Requests counts answered requests by service and run state.
func Requests(s manager.ServiceID, r manager.RunState) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`mulberryhaven_requests_total{service=%q,run_state=%q}`, s, r))
}

// Refusals counts refusals by code.
func Refusals(c manager.RefusalCode) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`mulberryhaven_refusals_total{code=%q}`, c))
}

// RequestSeconds is the time from a request's arrival to the end of its answer.
func RequestSeconds(s manager.ServiceID) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf(`mulberryhaven_request_seconds{service=%q}`, s))
}

// Commands counts the commands that a controller committed, by result.
func Commands(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`mulberryhaven_commands_total{result=%q}`, result))
}

// CommitSeconds is the time from a proposal to its commit.
func CommitSeconds() *metrics.Histogram {
	return metrics.GetOrCreateHistogram(`mulberryhaven_commit_seconds`)
}

// ConfigurationRevision is the revision of the configuration that a gateway uses.
func ConfigurationRevision() *metrics.Counter {
	return metrics.GetOrCreateCounter(`mulberryhaven_configuration_revision`)
}

// ReplicaRunning is 1 while this node's replica takes part in its group, and 0 once it has stopped in a process that
// runs on.
func ReplicaRunning() *metrics.Counter {
	return metrics.GetOrCreateCounter(`mulberryhaven_replica_running`)
}

// StateBytes is the size of the replicated state at the leader.
func StateBytes() *metrics.Counter {
	return metrics.GetOrCreateCounter(`mulberryhaven_state_bytes`)
}

// DiskWritesFailed counts the writes of a replica that its disk did not take; they are repeated.
func DiskWritesFailed() *metrics.Counter {
	return metrics.GetOrCreateCounter(`mulberryhaven_disk_writes_failed_total`)
}

// ReplicaVoters is the number of voters that this node's replica knows.
func ReplicaVoters() *metrics.Counter {
	return metrics.GetOrCreateCounter(`mulberryhaven_replica_voters`)
}

// ReplicaSilentVoters is the number of voters that have not answered the leader for some seconds; it is 0 elsewhere.
func ReplicaSilentVoters() *metrics.Counter {
	return metrics.GetOrCreateCounter(`mulberryhaven_replica_silent_voters`)
}

// LeaderKnown is 1 while a node that this one asked, or its own replica, names a leader.
func LeaderKnown() *metrics.Counter {
	return metrics.GetOrCreateCounter(`mulberryhaven_leader_known`)
}

// PlacementSeconds is the time of one step of placement, from reading usage to the last order.
func PlacementSeconds() *metrics.Histogram {
	return metrics.GetOrCreateHistogram(`mulberryhaven_placement_seconds`)
}

// Orders counts the orders to workers, by result.
func Orders(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`mulberryhaven_worker_orders_total{result=%q}`, result))
}

// Decisions counts the dispatcher's decisions by the message that logs them.
func Decisions(message string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`mulberryhaven_decisions_total{message=%q}`, message))
}

// FleetCalls counts the calls of callers, workers and operators by kind and outcome.
func FleetCalls(k manager.FleetCallKind, outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`mulberryhaven_desk_calls_total{kind=%q,outcome=%q}`, k, outcome))
}

// FleetCallSeconds is the time from a call's arrival at a node to its answer.
func FleetCallSeconds(k manager.FleetCallKind) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf(`mulberryhaven_desk_call_seconds{kind=%q}`, k))
}

// JobSeconds is the time from a job's acceptance to its end.
func JobSeconds(q manager.QueueID, s manager.GraphState) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf(`mulberryhaven_job_seconds{queue=%q,state=%q}`, q, s))
}

// JobsLate counts the completed jobs that missed their objective.
func JobsLate(q manager.QueueID) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`mulberryhaven_jobs_late_total{queue=%q}`, q))
}

// RackWaits counts the tasks that waited for a rack, by whether the wait paid off.
func RackWaits(paidOff bool) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`mulberryhaven_rack_waits_total{paid_off="%t"}`, paidOff))
}

// LogLinesDropped counts the log lines that were dropped, by whether they were minor.
func LogLinesDropped(minor bool) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`mulberryhaven_log_lines_dropped_total{minor="%t"}`, minor))
}

// Write writes all metrics in the text format that scrapers read.
func Write(w io.Writer) { metrics.WritePrometheus(w, true) }
