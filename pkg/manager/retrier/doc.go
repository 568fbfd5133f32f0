// Package retrier decides which failed attempts of a request may run again.
package retrier
