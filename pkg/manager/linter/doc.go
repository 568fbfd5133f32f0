// Package linter finds the errors and the likely mistakes of a fleet configuration, and what differs between two of them.
package linter
