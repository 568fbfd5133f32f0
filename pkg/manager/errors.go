package manager

import (
	"errors"
	"fmt"
)

// ErrInvalid reports a value that breaks a rule, with the path of its field.
type ErrInvalid struct {
	Field  string
	Reason string
}

func (e ErrInvalid) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// IsErrInvalid tells whether err is an ErrInvalid.
func IsErrInvalid(err error) bool { return is[ErrInvalid](err) }

// ErrNotExist reports an object that the state does not hold.
type ErrNotExist struct {
	Kind string
	Name string
}

func (e ErrNotExist) Error() string { return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name) }

// IsErrNotExist tells whether err is an ErrNotExist.
func IsErrNotExist(err error) bool { return is[ErrNotExist](err) }

// ErrConflict reports a change that lost a race or does not fit the current state.
type ErrConflict struct {
	Kind   string
	Name   string
	Reason string
}

func (e ErrConflict) Error() string { return fmt.Sprintf("%s %q: %s", e.Kind, e.Name, e.Reason) }

// IsErrConflict tells whether err is an ErrConflict.
func IsErrConflict(err error) bool { return is[ErrConflict](err) }

// ErrCommandReused reports a command id that was used before with another body.
type ErrCommandReused struct {
	Command CommandID
}

func (e ErrCommandReused) Error() string {
	return fmt.Sprintf("command id %q was used before with another body", e.Command)
}

// IsErrCommandReused tells whether err is an ErrCommandReused.
func IsErrCommandReused(err error) bool { return is[ErrCommandReused](err) }

// ErrNotLeader reports a replica that cannot serve because it does not lead; Leader is empty if unknown.
type ErrNotLeader struct {
	Leader Address
}

func (e ErrNotLeader) Error() string { return fmt.Sprintf("not the leader (leader %q)", e.Leader) }

// IsErrNotLeader tells whether err is an ErrNotLeader.
func IsErrNotLeader(err error) bool { return is[ErrNotLeader](err) }

// ErrOutcomeUnknown reports a change that may or may not have been committed; resend it with the same id.
type ErrOutcomeUnknown struct {
	Command CommandID
}

func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("outcome of command %q is unknown: resend it with the same id", e.Command)
}

// IsErrOutcomeUnknown tells whether err is an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool { return is[ErrOutcomeUnknown](err) }

// ComponentDisk is the part that an ErrUnavailable of a full or failed disk names.
const ComponentDisk = "disk"

// ErrUnavailable reports a part that cannot serve now, so that nothing was done.
type ErrUnavailable struct {
	Component string
	Reason    string
}

func (e ErrUnavailable) Error() string {
	return fmt.Sprintf("%s unavailable: %s", e.Component, e.Reason)
}

// IsErrUnavailable tells whether err is an ErrUnavailable.
func IsErrUnavailable(err error) bool { return is[ErrUnavailable](err) }

// ErrOverloaded refuses work that could not be served in time; it has not run and never will.
type ErrOverloaded struct {
	RetryAfterMs Duration
}

func (e ErrOverloaded) Error() string {
	return fmt.Sprintf("overloaded: come back in %d ms", e.RetryAfterMs)
}

// IsErrOverloaded tells whether err is an ErrOverloaded.
func IsErrOverloaded(err error) bool { return is[ErrOverloaded](err) }

func is[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}
