// Package caller is the operators' client of a gateway's API.
package caller
