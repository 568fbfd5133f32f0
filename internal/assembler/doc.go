// Package assembler builds the services of a process from its settings.
package assembler
