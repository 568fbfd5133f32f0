// Package responder is a stand-in upstream: it announces itself, serves requests within its slots
// and records what ran, so that tests and the demo can check what callers were told.
package responder
