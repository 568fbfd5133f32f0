// Package manager defines the types shared by the coordination packages: IDs, units, the clock, messages,
// typed errors, and the interfaces that the packages below it implement.
package manager
