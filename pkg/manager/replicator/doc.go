// Package replicator is consensus among controller replicas as a deterministic state machine: it
// takes the time, messages and proposals, and returns what to write, to send and to apply.
package replicator
