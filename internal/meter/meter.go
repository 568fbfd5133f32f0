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

// PlacementSeconds is the time of one step of placement, from reading usage to the last order.
func PlacementSeconds() *metrics.Histogram {
	return metrics.GetOrCreateHistogram(`mulberryhaven_placement_seconds`)
}

// Orders counts the orders to workers, by result.
func Orders(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`mulberryhaven_worker_orders_total{result=%q}`, result))
}

// Write writes all metrics in the text format that scrapers read.
func Write(w io.Writer) { metrics.WritePrometheus(w, true) }
