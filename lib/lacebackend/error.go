package lacebackend

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Effect tells whether a failed request can have run.
type Effect int

// The three cases; the zero value is the careful one.
const (
	// EffectUnknown means that the request may have run or may still be running.
	EffectUnknown Effect = iota
	// EffectNone means that the request was certainly not sent, or was refused before it ran.
	EffectNone
	// EffectRan means that the server ran the request and the answer can't be used.
	EffectRan
)

// Reasons of an Error.
var (
	// ErrUnreachable means that no connection could be had.
	ErrUnreachable = errors.New("backend: server unreachable")
	// ErrRefused means that the server refused the request before it ran.
	ErrRefused = errors.New("backend: refused")
	// ErrRequest means that the request can't be sent as it is.
	ErrInvalidRequest = errors.New("backend: invalid request")
	// ErrLost means that the connection failed after the request may have been sent.
	ErrConnectionLost = errors.New("backend: connection lost")
	// ErrTimeout means that a deadline passed after the request may have been sent.
	ErrTimeout = errors.New("backend: deadline exceeded")
	// ErrStatus means that the server answered with an unexpected status.
	ErrUnexpectedStatus = errors.New("backend: unexpected status")
	// ErrAttempt means that the answer belongs to another attempt.
	ErrWrongAttempt = errors.New("backend: answer of another attempt")
	// ErrGap means that a chunk is missing, repeated or out of order.
	ErrChunkOrder = errors.New("backend: chunk out of order")
	// ErrCut means that the answer ended early.
	ErrIncomplete = errors.New("backend: answer cut")
	// ErrTrailing means that the answer went on after its end marker.
	ErrTrailingData = errors.New("backend: data after the end marker")
	// ErrTooLong means that the answer exceeds a bound.
	ErrTooLong = errors.New("backend: answer too long")
	// ErrLength means that the answer does not have the announced length, or announces none.
	ErrWrongLength = errors.New("backend: wrong answer length")
	// ErrMalformed means that the answer can't be parsed.
	ErrMalformed = errors.New("backend: malformed answer")
)

// Error is a failed call of a backend server.
type Error struct {
	Effect Effect
	// Reason is or wraps one of the sentinel errors above.
	Reason error
	Server laceunit.Address
	// Status is the HTTP status, if there was one.
	Status int
	// RetryAfter is the server's hint, if it gave one.
	RetryAfter time.Duration
	// Cause is the error below, if there is one.
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
