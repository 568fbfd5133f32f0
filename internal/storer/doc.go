// Package storer replicates commands in a durable log and applies them in order to a state machine.
package storer
