// Package finder finds the leader of the replica group from the seeds and whoever else answers.
package finder
