package lacebackend

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Effect tells whether a failed request may have been executed.
type Effect int

// The effects. The zero value is EffectUnknown because it is the safe assumption.
const (
	// EffectUnknown means that the request may have been executed or may still be running.
	EffectUnknown Effect = iota
	// EffectNone means that the request was certainly not sent, or was rejected before it was executed.
	EffectNone
	// EffectRan means that the server executed the request but its response is unusable.
	EffectRan
)

// Reasons of an Error.
var (
	// ErrUnreachable means that no connection could be established.
	ErrUnreachable = errors.New("backend: server unreachable")
	// ErrRefused means that the server rejected the request before it was executed.
	ErrRefused = errors.New("backend: refused")
	// ErrInvalidRequest means that the request is invalid and can't be built.
	ErrInvalidRequest = errors.New("backend: invalid request")
	// ErrConnectionLost means that the connection failed after the request may have been sent.
	ErrConnectionLost = errors.New("backend: connection lost")
	// ErrTimeout means that a timeout expired after the request may have been sent.
	ErrTimeout = errors.New("backend: deadline exceeded")
	// ErrUnexpectedStatus means that the server responded with an unexpected status.
	ErrUnexpectedStatus = errors.New("backend: unexpected status")
	// ErrWrongAttempt means that the response belongs to another attempt.
	ErrWrongAttempt = errors.New("backend: response of another attempt")
	// ErrChunkOrder means that a chunk is missing, repeated or out of order.
	ErrChunkOrder = errors.New("backend: chunk out of order")
	// ErrIncomplete means that the response ended early.
	ErrIncomplete = errors.New("backend: incomplete response")
	// ErrTrailingData means that the response contains data after its end marker.
	ErrTrailingData = errors.New("backend: data after the end marker")
	// ErrTooLong means that the response exceeds a size limit.
	ErrTooLong = errors.New("backend: response too long")
	// ErrNoMemory means that the responses of all requests together take all memory that they may.
	ErrNoMemory = errors.New("backend: no memory for the response")
	// ErrWrongLength means that the response does not have its declared length, or declares none.
	ErrWrongLength = errors.New("backend: wrong response length")
	// ErrMalformed means that the response can't be parsed.
	ErrMalformed = errors.New("backend: malformed response")
)

// Error is the failure of a request to a backend server.
type Error struct {
	Effect Effect
	// Reason is or wraps one of the sentinel errors above.
	Reason error
	Server laceunit.Address
	// Status is the HTTP status, if there was one.
	Status int
	// RetryAfter is the delay in the server's Retry-After header, if it has one.
	RetryAfter time.Duration
	// Cause is the underlying error, if there is one.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	s := e.Reason.Error()
	if e.Status != 0 {
		s = fmt.Sprintf("%s: status %d", s, e.Status)
	}
	if e.Cause != nil {
		s = s + ": " + e.Cause.Error()
	}
	return string(e.Server) + ": " + s
}

// Unwrap returns the reason and the cause.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Reason}
	}
	return []error{e.Reason, e.Cause}
}

// EffectOf returns the effect of an error of this package and EffectUnknown for any other.
func EffectOf(err error) Effect {
	var e *Error
	if errors.As(err, &e) {
		return e.Effect
	}
	return EffectUnknown
}
