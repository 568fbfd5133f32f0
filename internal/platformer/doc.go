// Package platformer reaches the platform and its workers over HTTP with JSON.
package platformer
