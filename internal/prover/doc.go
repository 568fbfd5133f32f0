// Package prover holds the failure tests over real processes on loopback: kills, freezes, cuts, lost
// disks, silent connections and racing operators, with callers' requests going on and every answer
// checked.
package prover
