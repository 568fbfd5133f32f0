// Package placer decides which job runs on which worker.
package placer
