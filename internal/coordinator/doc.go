// Package coordinator runs the dispatcher on the replica that leads, and forwards the calls of a fleet's callers, workers
// and operators to it from every other node.
package coordinator
