// Package logger sets klog up to write JSON lines.
package logger
