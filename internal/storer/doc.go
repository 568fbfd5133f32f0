// Package storer makes commands durable and applies them in order.
package storer
