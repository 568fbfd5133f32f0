// Package limiter queues requests, gives them slots of upstreams and refuses what can't be served
// in time.
package limiter
