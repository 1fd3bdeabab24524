package lacejournal

import (
	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Errors of the journal.
var (
	// ErrFull means that the journal has no room; the request must not be run.
	ErrFull = errors.New("journal: full")
	// ErrStarted means that the request is in the journal already.
	ErrAlreadyStarted = errors.New("journal: request was started before")
	// ErrMissing means that the journal has no such request.
	ErrNotFound = errors.New("journal: no such request")
	// ErrSealed means that the copy holder takes no more entries of the owner or of the grant's holder.
	ErrSealed = errors.New("journal: sealed")
	// ErrNoCopies means that too few copy holders took the entry.
	ErrTooFewCopies = errors.New("journal: too few copies")
	// ErrStuck means that the ledger refuses an entry for good; an operator has to look at it.
	ErrRejected = errors.New("journal: ledger refuses an entry")
)

// Entry is one request that runs or ran without the platform.
type Entry struct {
	// Owner runs the request.
	Owner laceunit.Holder
	// Holder is the grant's holder; it differs from the owner when the tokens were handed over.
	Holder laceunit.Holder
	// Serial rises with each start of a request by the owner, so that a late message about an earlier start, which
	// was abandoned, can't replace or drop the copy of a later one.
	Serial uint64
	// Record is what the ledger gets: the ceiling while Finished is false, the final tokens after that.
	Record laceledger.Offline
}

// newer reports whether an entry may replace another one of the same request.
func (e Entry) newer(old Entry) bool {
	if e.Serial != old.Serial {
		return e.Serial > old.Serial
	}
	return e.Record.Finished || !old.Record.Finished
}

// size estimates the memory that an entry takes.
func (e Entry) size() int {
	r := e.Record
	n := 256 + len(e.Owner.Instance) + len(e.Holder.Instance) + len(r.Budget) + len(r.Request.Account) +
		len(r.Request.ID) + len(r.Digest) + len(r.Grant) + len(r.Attempt) + len(r.Server)
	if r.Response != nil {
		n += len(r.Response.ContentType) + len(r.Response.Body)
	}
	return n
}

// known reports whether a verdict means that the ledger knows the request, so that it can't run again.
func known(result laceledger.Result) bool {
	switch result {
	case laceledger.Accepted, laceledger.Repeated, laceledger.Duplicate, laceledger.Conflict, laceledger.Superseded:
		return true
	case laceledger.Closed, laceledger.InsufficientTokens, laceledger.Missing, laceledger.Invalid:
		return false
	}
	return false
}
