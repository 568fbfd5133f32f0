// Package meter names the metrics of the processes; docs/OPERATIONS.md explains each.
package meter
