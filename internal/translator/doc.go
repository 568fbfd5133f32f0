// Package translator carries typed errors over HTTP and back.
package translator
