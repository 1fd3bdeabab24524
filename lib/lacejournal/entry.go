package lacejournal

import (
	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Errors of the journal.
var (
	// ErrFull means that the journal has reached its memory limit; the request must not be run.
	ErrFull = errors.New("journal: full")
	// ErrAlreadyStarted means that the journal already has an entry for the request.
	ErrAlreadyStarted = errors.New("journal: request has already been started")
	// ErrNotFound means that the journal has no such request.
	ErrNotFound = errors.New("journal: request not found")
	// ErrSealed means that the copy holder rejects new entries of the owner or of the grant's holder.
	ErrSealed = errors.New("journal: sealed")
	// ErrTooFewCopies means that too few copy holders accepted the entry.
	ErrTooFewCopies = errors.New("journal: too few copies")
	// ErrRejected means that the ledger rejects an entry permanently; an operator has to resolve it.
	ErrRejected = errors.New("journal: ledger rejects an entry")
)

// Entry is the journal entry of one request that runs or ran while the platform was unreachable.
type Entry struct {
	// Owner is the instance that runs the request.
	Owner laceunit.Holder
	// Holder is the grant's holder; it differs from the owner if the tokens were transferred.
	Holder laceunit.Holder
	// Serial increases with each start of a request by the owner, so that a delayed message about an earlier, abandoned
	// start of the same request cannot replace or drop the copy of a later one.
	Serial uint64
	// Record is the record for the ledger; its Tokens are the ceiling while Finished is false, and the final amount then.
	Record laceledger.Offline
}

// supersedes reports whether an entry may replace another one of the same request.
func (e Entry) supersedes(old Entry) bool {
	if e.Serial != old.Serial {
		return e.Serial > old.Serial
	}
	return e.Record.Finished || !old.Record.Finished
}

// size returns an estimate of the memory of an entry in bytes.
func (e Entry) size() int {
	r := e.Record
	n := 256 + len(e.Owner.Instance) + len(e.Holder.Instance) + len(r.Budget) + len(r.Request.Account) +
		len(r.Request.ID) + len(r.Digest) + len(r.Grant) + len(r.Attempt) + len(r.Server)
	if r.Response != nil {
		n += len(r.Response.ContentType) + len(r.Response.Body)
	}
	return n
}

// isRecorded reports whether a verdict means that the ledger has the request, so that it cannot run again.
func isRecorded(result laceledger.Result) bool {
	switch result {
	case laceledger.Accepted, laceledger.Repeated, laceledger.Duplicate, laceledger.Conflict, laceledger.Superseded:
		return true
	case laceledger.Closed, laceledger.InsufficientTokens, laceledger.Missing, laceledger.Invalid:
		return false
	}
	return false
}
