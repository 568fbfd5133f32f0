// Package listener serves HTTP on an address, with TLS where the settings say so, and guards
// endpoints by bearer tokens.
package listener
