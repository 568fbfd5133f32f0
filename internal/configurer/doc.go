// Package configurer reads and checks the JSON settings of a process.
package configurer
