// Package gateway is the service on every entry VM: it takes callers' requests, operators' requests
// and upstreams' announcements, whichever the balancer brings.
package gateway
