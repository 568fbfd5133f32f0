// Package router chooses the upstream of a request.
package router
