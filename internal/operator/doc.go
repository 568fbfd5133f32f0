// Package operator is the operators' API: thin handlers over the controllers' client.
package operator
