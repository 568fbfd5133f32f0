// Package sharer decides which jobs of a customer are within its share. The load that it answers is a customer that sends
// several times its usual number of jobs while the other customers need the capacity.
package sharer
