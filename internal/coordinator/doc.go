// Package coordinator drives the dispatcher on the replica that leads, and brings every call of a
// fleet's callers, workers and operators to it from whichever node took it.
package coordinator
