// Package faker is a small fake of the platform and its workers, for tests and the demo.
package faker
