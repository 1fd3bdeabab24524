package laceledger

import (
	"strconv"

	"lacewingcove/lib/laceunit"
)

// Result is the outcome of a record.
type Result uint8

// The results; String returns the names that metrics and messages use.
const (
	// Accepted means that the record took effect.
	Accepted Result = iota + 1
	// Repeated means that the same record was accepted before; it has no further effect.
	Repeated
	// Duplicate means that the request is already open or settled; Verdict.Existing is its state.
	Duplicate
	// Conflict means that the id of the request or top-up was used before with different content, or that the budget or
	// grant belongs to another client account or holder.
	Conflict
	// Closed means that the grant is closed or does not exist, or that a fence excludes its holder.
	Closed
	// InsufficientTokens means that the budget or the grant has too few tokens.
	InsufficientTokens
	// Superseded means that another attempt has taken over or ended the request, that the request is already voided or
	// settled, or that a fence is older than the current one.
	Superseded
	// Missing means that the budget or the request does not exist.
	Missing
	// Invalid means that the record is malformed or not allowed.
	Invalid
)

// Phase is the state of a request in the ledger.
type Phase uint8

// The phases of a request.
const (
	PhaseOpen Phase = iota + 1
	PhaseSettled
	PhaseVoid
)

// RequestState is the state of a request in the ledger.
type RequestState struct {
	Request    Request
	Budget     laceunit.BudgetID
	Digest     laceunit.Digest
	Phase      Phase
	Attempt    laceunit.AttemptID
	Grant      laceunit.GrantID
	Holder     laceunit.Holder
	Server     laceunit.ServerID
	Ceiling    laceunit.Tokens
	Tokens     laceunit.Tokens
	Idempotent bool
	Response   *Response
	At         int64
}

// Verdict is the ledger's decision on one record.
type Verdict struct {
	Result Result
	// Granted is the number of tokens that an Open granted, a Settle or an Offline billed, or a Release returned.
	Granted laceunit.Tokens
	// Offline is the grant's offline allowance after the record; settles, voids and most rejected records leave it zero.
	Offline laceunit.Tokens
	// Available is the number of tokens that the budget has available for new grants after the record.
	Available laceunit.Tokens
	Existing  *RequestState
}

// String returns the result in lower case.
func (r Result) String() string {
	names := [...]string{
		Accepted:           "accepted",
		Repeated:           "repeated",
		Duplicate:          "duplicate",
		Conflict:           "conflict",
		Closed:             "closed",
		InsufficientTokens: "short",
		Superseded:         "superseded",
		Missing:            "missing",
		Invalid:            "invalid",
	}
	if int(r) < len(names) && names[r] != "" {
		return names[r]
	}
	return strconv.Itoa(int(r))
}
