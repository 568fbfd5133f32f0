// Package journaler stores the write-ahead log, the snapshot and the identity of a replica on disk.
package journaler
