// Package limiter queues requests, assigns upstream slots to them and refuses those that can't be
// served in time.
package limiter
