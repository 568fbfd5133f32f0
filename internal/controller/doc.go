// Package controller is the service that keeps the replicated state and, while it leads, runs the
// fleet: placement, moves and maintenance waves.
package controller
