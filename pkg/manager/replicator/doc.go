// Package replicator implements the Raft consensus algorithm for the controller replicas as a deterministic
// state machine: it takes the time, messages and proposals, and returns what to write to disk, to send and
// to apply.
package replicator
