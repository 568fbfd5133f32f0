// Package launcher runs the program's processes on loopback for the failure tests, with relays between
// them so that any of them can be cut off.
package launcher
