// Package applier implements the replicated state machine: its state is a deterministic function of the
// commands applied so far. Every claim on a limited resource is checked here, in log order.
package applier
