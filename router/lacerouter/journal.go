package lacerouter

import (
	"context"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
)

// errNoCopy means that no other instance holds a copy of a journal entry.
var errNoCopy = errors.New("router: no other instance can hold a journal copy")

// noJournal refuses offline work.
type noJournal struct{}

// Copy implements lacegateway.Journal.
func (noJournal) Copy(context.Context, laceledger.Offline) error { return errNoCopy }

// Find implements lacegateway.Journal.
func (noJournal) Find(laceledger.Request) (laceledger.Offline, bool) {
	return laceledger.Offline{}, false
}
