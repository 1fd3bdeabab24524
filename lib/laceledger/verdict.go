package laceledger

import (
	"strconv"

	"lacewingcove/lib/laceunit"
)

// Result classifies what the ledger decided about a record.
type Result uint8

// The closed set of results.
const (
	// Accepted means that the record took effect.
	Accepted Result = iota + 1
	// Repeated means that the same record had taken effect before; nothing changed.
	Repeated
	// Duplicate means that the request id is already open or settled; Existing tells its state.
	Duplicate
	// Conflict means that the request id or top-up id was used before with other content.
	Conflict
	// Closed means that the grant is closed or does not exist.
	Closed
	// Short means that the budget or the grant has too few tokens.
	InsufficientTokens
	// Superseded means that another attempt has taken the request over or ended it.
	Superseded
	// Missing means that the budget or the request does not exist.
	Missing
	// Invalid means that the record is malformed.
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

// Existing is what the ledger knows of a request.
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

// Verdict is the ledger's decision about one record.
type Verdict struct {
	Result Result
	// Granted is the size that an Open added, the tokens that a Settle billed, or the tokens that a Release returned.
	Granted laceunit.Tokens
	// Offline is the grant's offline part after an Open.
	Offline laceunit.Tokens
	// Left is what the budget has left for new grants after the record.
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
