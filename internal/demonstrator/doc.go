// Package demonstrator runs the whole system in one process on loopback and shows what it does.
package demonstrator
