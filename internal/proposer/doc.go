// Package proposer is the client of the controllers: it finds the leader, sends commands to it and
// reads its state.
package proposer
