// Package dispatcher decides, on the leading replica, which jobs are accepted, which worker runs which task and when a
// VM has its maintenance. It changes the recorder's state only by proposing changes for the replicated log.
package dispatcher
