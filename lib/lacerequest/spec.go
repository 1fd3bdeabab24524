package lacerequest

import (
	"strconv"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Spec is what the machine has to know of a request.
type Spec struct {
	Request    laceledger.Request
	Budget     laceunit.BudgetID
	Digest     laceunit.Digest
	Idempotent bool
	// Claim is the attempt id under which the ledger knows this run.
	LedgerAttempt laceunit.AttemptID
	Grant         laceunit.GrantID
	// Ceiling is the most that the request can cost.
	Ceiling laceunit.Tokens
	// Prompt is the part of the cost that is due as soon as the request runs.
	Prompt laceunit.Tokens
	// Price is the cost of a plain service call; engines report theirs.
	Price laceunit.Tokens
	// Billed is true when an earlier run of the request is known to be billed; this one is free.
	AlreadyBilled bool
	// Offline is true when the request runs from the offline part of a grant.
	Offline bool
	// Resume is true when a run can be resumed by request id at the backend server that has it.
	CanResume bool
	// Lookup is true when the backend server can be asked about a request id.
	CanLookup bool
	// Tries bounds the attempts at backend servers.
	MaxAttempts int
}

// DefaultTries is the number of attempts at backend servers when a Spec names none.
const DefaultMaxAttempts = 3

func (s Spec) attempt(n int) laceunit.AttemptID {
	return laceunit.AttemptID(string(s.LedgerAttempt) + "." + strconv.Itoa(n))
}
