package proposer

import (
	"errors"
	"fmt"
	"net"

	"github.com/rotisserie/eris"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

var (
	// errLost reports a call whose answer did not arrive, so that the call may have taken effect.
	errLost = eris.New("the answer was lost")
	// errNotSent reports a call that can't have reached a controller.
	errNotSent = eris.New("the call was not sent")
)

// lostOrNotSent wraps err with errNotSent if the connection could not be opened, else with errLost.
func lostOrNotSent(a manager.Address, err error) error {
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return fmt.Errorf("controller %s: %w", a, errors.Join(errNotSent, err))
	}
	return fmt.Errorf("controller %s: %w", a, errors.Join(errLost, err))
}
