package lacerequest

import (
	"strconv"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Spec holds the properties of a request that the machine needs.
type Spec struct {
	Request    laceledger.Request
	Budget     laceunit.BudgetID
	Digest     laceunit.Digest
	Idempotent bool
	// LedgerAttempt is the attempt id that the ledger records for this run.
	LedgerAttempt laceunit.AttemptID
	Grant         laceunit.GrantID
	// Ceiling is the maximum cost of the request.
	Ceiling laceunit.Tokens
	// Prompt is the part of the cost that is due as soon as the request runs: the prompt tokens.
	Prompt laceunit.Tokens
	// Price is the cost of a request to a plain service; engines report the cost themselves.
	Price laceunit.Tokens
	// AlreadyBilled is true if an earlier run of the request is known to be billed; this run is free.
	AlreadyBilled bool
	// Offline is true if the request is charged to a grant's offline allowance.
	Offline bool
	// CanResume is true if a run can be resumed by request id at the backend server that runs it.
	CanResume bool
	// CanLookup is true if the backend server supports looking up a request by its id.
	CanLookup bool
	// MaxAttempts is the maximum number of attempts at backend servers; zero means DefaultMaxAttempts.
	MaxAttempts int
}

// DefaultMaxAttempts is the default of Spec.MaxAttempts.
const DefaultMaxAttempts = 3

// attemptID returns the id of the nth attempt at a backend server.
func (s Spec) attemptID(n int) laceunit.AttemptID {
	return laceunit.AttemptID(string(s.LedgerAttempt) + "." + strconv.Itoa(n))
}
