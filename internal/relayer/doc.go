// Package relayer is a stand-in network between processes: TCP relays that can be cut, healed or made
// silent for the connections that are open.
package relayer
