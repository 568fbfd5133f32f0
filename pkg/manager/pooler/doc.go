// Package pooler decides which connection an exchange with an upstream uses, which connections are
// kept and which have to prove that they still carry bytes.
package pooler
