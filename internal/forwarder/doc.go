// Package forwarder takes callers' requests, sends each to an upstream as the decision parts say
// and returns the whole answer or a refusal.
package forwarder
