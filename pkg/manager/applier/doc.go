// Package applier holds the replicated state: a deterministic function of the commands applied so
// far, which checks every claim on something scarce in log order.
package applier
