package translator

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/decoder"
)

// Code tells the kinds of errors apart in an answer.
type Code string

// Codes of errors.
const (
	CodeInvalid       Code = "Invalid"
	CodeNotExist      Code = "NotExist"
	CodeConflict      Code = "Conflict"
	CodeCommandReused Code = "CommandReused"
	CodeNotLeader     Code = "NotLeader"
	CodeUnavailable   Code = "Unavailable"
	CodeUnknown       Code = "OutcomeUnknown"
	CodeOverloaded    Code = "Overloaded"
	CodeUnauthorized  Code = "Unauthorized"
	// CodeNoCustomer is for a caller whose API key stands for no customer.
	CodeNoCustomer Code = "NoCustomer"
	CodeInternal   Code = "Internal"
)

// maxErrorBytes bounds the error body that is read from another process.
const maxErrorBytes = 1 << 20

// ErrUnauthorized reports a missing or wrong bearer token.
var ErrUnauthorized = eris.New("the bearer token is missing or wrong")

// ErrUnexpected reports an answer that no error code explains.
var ErrUnexpected = eris.New("unexpected answer")

// ErrorBody is the JSON body of every error answer of the operators' and peers' endpoints.
type ErrorBody struct {
	Code    Code
	Message string
	Kind    string            `json:",omitempty"`
	Name    string            `json:",omitempty"`
	Field   string            `json:",omitempty"`
	Reason  string            `json:",omitempty"`
	Leader  manager.Address   `json:",omitempty"`
	Command manager.CommandID `json:",omitempty"`
	// RetryAfterMs is when the caller should try again.
	RetryAfterMs manager.Duration `json:",omitempty"`
	// Current is the profile that won against a stale version.
	Current *manager.Profile `json:",omitempty"`
}

// FromError returns the status and body that stand for err.
func FromError(err error) (int, ErrorBody) {
	b := ErrorBody{Message: err.Error()}
	if status, ok := fromObjectError(err, &b); ok {
		return status, b
	}
	if e, ok := errors.AsType[manager.ErrNotLeader](err); ok {
		b.Code, b.Leader = CodeNotLeader, e.Leader
		return http.StatusMisdirectedRequest, b
	}
	if e, ok := errors.AsType[manager.ErrOutcomeUnknown](err); ok {
		b.Code, b.Command = CodeUnknown, e.Command
		return http.StatusGatewayTimeout, b
	}
	if e, ok := errors.AsType[manager.ErrUnavailable](err); ok {
		b.Code, b.Kind, b.Reason, b.RetryAfterMs = CodeUnavailable, e.Component, e.Reason, e.RetryAfterMs
		return http.StatusServiceUnavailable, b
	}
	if e, ok := errors.AsType[manager.ErrOverloaded](err); ok {
		b.Code, b.Reason, b.RetryAfterMs = CodeOverloaded, e.Reason, e.RetryAfterMs
		return http.StatusTooManyRequests, b
	}
	if errors.Is(err, ErrUnauthorized) {
		b.Code = CodeUnauthorized
		return http.StatusUnauthorized, b
	}
	if e, ok := errors.AsType[*echo.HTTPError](err); ok {
		b.Code = CodeInvalid
		return e.Code, b
	}
	b.Code = CodeInternal
	return http.StatusInternalServerError, b
}

func fromObjectError(err error, b *ErrorBody) (int, bool) {
	if e, ok := errors.AsType[manager.ErrInvalid](err); ok {
		b.Code, b.Field, b.Reason = CodeInvalid, e.Field, e.Reason
		return http.StatusBadRequest, true
	}
	if e, ok := errors.AsType[manager.ErrNotExist](err); ok {
		b.Code, b.Kind, b.Name = CodeNotExist, e.Kind, e.Name
		return http.StatusNotFound, true
	}
	if e, ok := errors.AsType[manager.ErrConflict](err); ok {
		b.Code, b.Kind, b.Name, b.Reason = CodeConflict, e.Kind, e.Name, e.Reason
		return http.StatusConflict, true
	}
	if e, ok := errors.AsType[manager.ErrUnauthorized](err); ok {
		b.Code, b.Reason = CodeNoCustomer, e.Reason
		return http.StatusUnauthorized, true
	}
	if e, ok := errors.AsType[manager.ErrCommandReused](err); ok {
		b.Code, b.Command = CodeCommandReused, e.Command
		return http.StatusConflict, true
	}
	return 0, false
}

// Err returns the typed error that the body stands for.
func (b ErrorBody) Err() error {
	switch b.Code {
	case CodeInvalid:
		return manager.ErrInvalid{Field: b.Field, Reason: b.Reason}
	case CodeNotExist:
		return manager.ErrNotExist{Kind: b.Kind, Name: b.Name}
	case CodeConflict:
		return manager.ErrConflict{Kind: b.Kind, Name: b.Name, Reason: b.Reason}
	case CodeCommandReused:
		return manager.ErrCommandReused{Command: b.Command}
	case CodeNotLeader:
		return manager.ErrNotLeader{Leader: b.Leader}
	case CodeUnknown:
		return manager.ErrOutcomeUnknown{Command: b.Command}
	case CodeUnavailable:
		return manager.ErrUnavailable{Component: b.Kind, Reason: b.Reason, RetryAfterMs: b.RetryAfterMs}
	case CodeOverloaded:
		return manager.ErrOverloaded{RetryAfterMs: b.RetryAfterMs, Reason: b.Reason}
	case CodeUnauthorized:
		return ErrUnauthorized
	case CodeNoCustomer:
		return manager.ErrUnauthorized{Reason: b.Reason}
	default:
		return eris.Wrap(ErrUnexpected, b.Message)
	}
}

// Handle is the echo error handler of the operators' and peers' endpoints.
func Handle(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, body := FromError(err)
	_ = c.JSON(status, body)
}

// ReadError returns the typed error of an answer that is not a success.
func ReadError(r *http.Response) error {
	var b ErrorBody
	if err := decoder.Read(r.Body, maxErrorBytes, &b); err != nil {
		return eris.Wrapf(ErrUnexpected, "status %d without an error body", r.StatusCode)
	}
	return b.Err()
}
