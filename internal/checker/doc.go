// Package checker sends callers' requests and checks every answer against what the stand-in upstreams
// ran, for the demo and the failure tests.
package checker
