// Package manager is the root of the coordination parts: ids, units, the clock, typed messages
// and errors, and the interface of every decision part whose implementations live below it.
package manager
