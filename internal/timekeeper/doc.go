// Package timekeeper gives the decision parts the machine's time.
package timekeeper
