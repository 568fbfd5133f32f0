package manager

import (
	"errors"
	"fmt"
)

// ErrInvalid reports an invalid value and the path of its field.
type ErrInvalid struct {
	Field  string
	Reason string
}

func (e ErrInvalid) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// IsErrInvalid reports whether err is an ErrInvalid.
func IsErrInvalid(err error) bool { return is[ErrInvalid](err) }

// ErrNotExist reports an object that does not exist in the state.
type ErrNotExist struct {
	Kind string
	Name string
}

func (e ErrNotExist) Error() string { return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name) }

// IsErrNotExist reports whether err is an ErrNotExist.
func IsErrNotExist(err error) bool { return is[ErrNotExist](err) }

// ErrUnauthorized reports a caller without a valid API key.
type ErrUnauthorized struct {
	Reason string
}

func (e ErrUnauthorized) Error() string { return "unauthorized: " + e.Reason }

// IsErrUnauthorized reports whether err is an ErrUnauthorized.
func IsErrUnauthorized(err error) bool { return is[ErrUnauthorized](err) }

// ErrConflict reports a change that conflicts with a concurrent change or with the current state.
type ErrConflict struct {
	Kind   string
	Name   string
	Reason string
}

func (e ErrConflict) Error() string { return fmt.Sprintf("%s %q: %s", e.Kind, e.Name, e.Reason) }

// IsErrConflict reports whether err is an ErrConflict.
func IsErrConflict(err error) bool { return is[ErrConflict](err) }

// ErrCommandReused reports a command ID that was already used with a different body.
type ErrCommandReused struct {
	Command CommandID
}

func (e ErrCommandReused) Error() string {
	return fmt.Sprintf("command ID %q was already used with a different body", e.Command)
}

// IsErrCommandReused reports whether err is an ErrCommandReused.
func IsErrCommandReused(err error) bool { return is[ErrCommandReused](err) }

// ErrNotLeader reports that the replica is not the leader; Leader is empty if unknown.
type ErrNotLeader struct {
	Leader Address
}

func (e ErrNotLeader) Error() string { return fmt.Sprintf("not the leader (leader %q)", e.Leader) }

// IsErrNotLeader reports whether err is an ErrNotLeader.
func IsErrNotLeader(err error) bool { return is[ErrNotLeader](err) }

// ErrOutcomeUnknown reports a change that may or may not have been committed; retry it with the same ID.
type ErrOutcomeUnknown struct {
	Command CommandID
}

func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("outcome of command %q is unknown: retry with the same ID", e.Command)
}

// IsErrOutcomeUnknown reports whether err is an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool { return is[ErrOutcomeUnknown](err) }

// ComponentDisk is the Component of an ErrUnavailable caused by a full or failed disk.
const ComponentDisk = "disk"

// ErrUnavailable reports a component that is currently unavailable; nothing was done.
type ErrUnavailable struct {
	Component string
	Reason    string
	// RetryAfterMs is when the caller should try again; 0 leaves that to the caller.
	RetryAfterMs Duration
}

func (e ErrUnavailable) Error() string {
	return fmt.Sprintf("%s unavailable: %s", e.Component, e.Reason)
}

// IsErrUnavailable reports whether err is an ErrUnavailable.
func IsErrUnavailable(err error) bool { return is[ErrUnavailable](err) }

// ErrOverloaded reports work that was rejected because it could not be done in time; it has not run and
// never will.
type ErrOverloaded struct {
	RetryAfterMs Duration
	// Reason is what lacks room; empty stands for the capacity of the pool.
	Reason string
}

func (e ErrOverloaded) Error() string {
	if e.Reason != "" {
		return fmt.Sprintf("overloaded: %s: retry after %d ms", e.Reason, e.RetryAfterMs)
	}
	return fmt.Sprintf("overloaded: retry after %d ms", e.RetryAfterMs)
}

// IsErrOverloaded reports whether err is an ErrOverloaded.
func IsErrOverloaded(err error) bool { return is[ErrOverloaded](err) }

func is[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}
