// Package connector exchanges requests and answers with upstreams over connections of its own, so that
// it knows whether a byte of a request was sent and whether an answer is whole, and so that nothing
// below it sends a request again.
package connector
