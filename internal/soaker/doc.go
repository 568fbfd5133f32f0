// Package soaker plays random faults against nodes that run as processes, from outside them, and checks what
// callers, operators and workers see.
package soaker
