package lacecontrol

import (
	"github.com/pkg/errors"

	"lacewingcove/lib/laceadmin"
)

// exitCode is the exit status of the process.
type exitCode int

// The exit codes.
const (
	exitOK          exitCode = 0
	exitFailed      exitCode = 1
	exitUsage       exitCode = 2
	exitConflict    exitCode = 3
	exitUnavailable exitCode = 4
)

// usageError reports an invalid command line.
type usageError string

// Error implements error.
func (m usageError) Error() string { return string(m) }

func newUsageError(text string) error { return usageError(text) }

// exitCodeOf maps an error to an exit code.
func exitCodeOf(err error) exitCode {
	var f *laceadmin.Fault
	var m usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &m):
		return exitUsage
	case !errors.As(err, &f):
		return exitFailed
	case f.Code == laceadmin.Conflict, f.Code == laceadmin.IDReused:
		return exitConflict
	case f.Code == laceadmin.Unavailable, f.Code == laceadmin.OutcomeUnknown:
		return exitUnavailable
	default:
		return exitFailed
	}
}
