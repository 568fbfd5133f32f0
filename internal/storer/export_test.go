package storer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// Unsaved returns how much output waits for the disk.
func (r *Replicated) Unsaved() int {
	n := make(chan int, 1)
	r.inbox.control(func(manager.Time) { n <- len(r.unsaved) })
	return <-n
}
