// Package tracer sets OpenTelemetry up and carries trace contexts over HTTP.
package tracer
