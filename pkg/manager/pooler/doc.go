// Package pooler manages the connections to upstreams: it decides which connection an exchange uses, which ones stay
// open while idle and which ones are checked.
package pooler
