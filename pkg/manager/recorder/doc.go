// Package recorder holds the replicated state of a fleet's work: the configuration, jobs and their steps, the runs of
// their tasks, and maintenance waves. The state is a deterministic function of the changes applied to it.
package recorder
