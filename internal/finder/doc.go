// Package finder finds the leader of the replica group by querying the seeds and the known members.
package finder
