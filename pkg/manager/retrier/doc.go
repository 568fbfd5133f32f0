// Package retrier decides which failed attempts of a request may run again, and when refused callers should return.
package retrier
