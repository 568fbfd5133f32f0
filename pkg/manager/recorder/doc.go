// Package recorder holds the replicated records of a fleet's work: configuration, jobs of steps, the
// runs of their tasks and upkeep waves. They are a deterministic function of the changes applied.
package recorder
