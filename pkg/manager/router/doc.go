// Package router picks the upstream for a request: load balancing, zone preference and outlier ejection.
package router
