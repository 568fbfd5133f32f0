package proposer

import (
	"errors"
	"fmt"
	"net"

	"github.com/rotisserie/eris"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

var (
	// errLost reports a call whose answer did not arrive, so that it may have been taken.
	errLost = eris.New("the answer was lost")
	// errNotSent reports a call that no controller can have taken.
	errNotSent = eris.New("the call was not sent")
)

// lostOrNotSent tells a connection that could not be opened from one that broke later.
func lostOrNotSent(a manager.Address, err error) error {
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return fmt.Errorf("controller %s: %w", a, errors.Join(errNotSent, err))
	}
	return fmt.Errorf("controller %s: %w", a, errors.Join(errLost, err))
}
