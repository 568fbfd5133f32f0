// Package journaler keeps the durable log of a controller on disk.
package journaler
