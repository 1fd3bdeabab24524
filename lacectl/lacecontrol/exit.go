package lacecontrol

import (
	"github.com/pkg/errors"

	"lacewingcove/lib/laceadmin"
)

// exit is the status that the process ends with.
type exit int

// The exit codes.
const (
	exitOK          exit = 0
	exitFailed      exit = 1
	exitUsage       exit = 2
	exitConflict    exit = 3
	exitUnavailable exit = 4
)

// usageError means that the command line is wrong.
type usageError string

// Error implements error.
func (m usageError) Error() string { return string(m) }

func usage(text string) error { return usageError(text) }

// exitOf maps an error to the exit code.
func exitOf(err error) exit {
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
