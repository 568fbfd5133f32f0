package storer

import (
	"context"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// waitFor returns once the revision is greater than after, or ctx ends; current returns the revision and
// a channel that is closed at the next change.
func waitFor(ctx context.Context, after manager.Revision, current func() (manager.Revision, <-chan struct{})) {
	for {
		revision, changed := current()
		if revision > after {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
