// Package bencher checks the output of Go benchmarks against the bounds of the targets and prints it
// as a table, JSON lines and plots.
package bencher
