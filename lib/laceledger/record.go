package laceledger

import "lacewingcove/lib/laceunit"

// Record is one change of a shard's state; the types below are the closed set.
type Record interface {
	// Budget names the budget that the record belongs to; it decides the shard.
	BudgetID() laceunit.BudgetID
}

// Request names a request; ids are scoped by client account.
type Request struct {
	Account laceunit.AccountID
	ID      laceunit.RequestID
}

// TopUp adds paid tokens once per id; the first one creates the budget.
type TopUp struct {
	Budget  laceunit.BudgetID
	Account laceunit.AccountID
	ID      laceunit.TopUpID
	Tokens  laceunit.Tokens
	Actor   string
}

// Open grants tokens to a holder. It is cut down to what the budget has left, and refused when less than Least is left.
// Opening an existing grant of the same holder again adds to it.
type Open struct {
	Budget    laceunit.BudgetID
	Grant     laceunit.GrantID
	Holder    laceunit.Holder
	Tokens    laceunit.Tokens
	MinTokens laceunit.Tokens
	// Offline is the part of the grant that the holder may spend without the platform after this record.
	Offline laceunit.Tokens
	// Witnesses hold copies of the holder's offline journal.
	Witnesses []laceunit.Holder
	// Serial counts the holder's Opens and Returns of the grant from 1, so that a repeated record has no second effect.
	// Zero leaves the record without that protection; it must then never be sent twice.
	Serial uint64
}

// Return gives unused tokens of a grant back to the budget and lowers its offline part.
type Return struct {
	Budget laceunit.BudgetID
	Grant  laceunit.GrantID
	Tokens laceunit.Tokens
	// Offline is the grant's offline part after this record; a value above the present one changes nothing.
	Offline laceunit.Tokens
	// Serial is as in Open.
	Serial uint64
}

// Close ends a grant: no further intents, the free part beyond the offline part goes back to the budget.
type Close struct {
	Budget laceunit.BudgetID
	Grant  laceunit.GrantID
}

// Release returns what a closed grant still holds outside open intents.
// It is valid only when nothing more can arrive for the offline part: all witnesses sealed, or an operator's decision.
type Release struct {
	Budget laceunit.BudgetID
	Grant  laceunit.GrantID
	Actor  string
}

// Intent declares that a request is being run against a grant.
type Intent struct {
	Budget     laceunit.BudgetID
	Request    Request
	Digest     laceunit.Digest
	Grant      laceunit.GrantID
	Ceiling    laceunit.Tokens
	Attempt    laceunit.AttemptID
	Server     laceunit.ServerID
	Idempotent bool
	// At is informative; retention uses the time of the entry that carries the record.
	At int64
}

// Takeover moves an open idempotent request from one attempt to another.
type Takeover struct {
	Budget  laceunit.BudgetID
	Request Request
	From    laceunit.AttemptID
	Attempt laceunit.AttemptID
	Grant   laceunit.GrantID
	Server  laceunit.ServerID
	At      int64
}

// Settle bills an open request once; more tokens than the ceiling are cut to the ceiling.
type Settle struct {
	Budget  laceunit.BudgetID
	Request Request
	Attempt laceunit.AttemptID
	Tokens  laceunit.Tokens
	// Answer is kept for non-idempotent requests when it is small, so that a retry gets the same answer.
	Response *Response
	At       int64
}

// Void ends an open request that did not run or whose answer nobody received; it is not billed.
type Void struct {
	Budget  laceunit.BudgetID
	Request Request
	Attempt laceunit.AttemptID
	// Digest and Idempotent are those of the intent. With them the ledger remembers the void of a request that it does
	// not know, so that an intent of the same attempt that arrives later is refused.
	Digest     laceunit.Digest
	Idempotent bool
	At         int64
}

// Offline bills a request that ran while the platform was out of reach, against the offline part of a grant.
// It settles an open intent of the same request, if there is one.
type Offline struct {
	Budget     laceunit.BudgetID
	Request    Request
	Digest     laceunit.Digest
	Grant      laceunit.GrantID
	Attempt    laceunit.AttemptID
	Server     laceunit.ServerID
	Tokens     laceunit.Tokens
	Idempotent bool
	// Finished is false while only the start of the run is known: the ceiling is then reserved as by Intent.
	Finished bool
	Response *Response
	At       int64
}

// Answer is the stored answer of a non-idempotent request.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// MaxAnswerBytes is the largest answer body that is stored in the ledger.
const MaxResponseBytes = 1024

// BudgetID implements Record.
func (r TopUp) BudgetID() laceunit.BudgetID { return r.Budget }

// BudgetID implements Record.
func (r Open) BudgetID() laceunit.BudgetID { return r.Budget }

// BudgetID implements Record.
func (r Return) BudgetID() laceunit.BudgetID { return r.Budget }

// BudgetID implements Record.
func (r Close) BudgetID() laceunit.BudgetID { return r.Budget }

// BudgetID implements Record.
func (r Release) BudgetID() laceunit.BudgetID { return r.Budget }

// BudgetID implements Record.
func (r Intent) BudgetID() laceunit.BudgetID { return r.Budget }

// BudgetID implements Record.
func (r Takeover) BudgetID() laceunit.BudgetID { return r.Budget }

// BudgetID implements Record.
func (r Settle) BudgetID() laceunit.BudgetID { return r.Budget }

// BudgetID implements Record.
func (r Void) BudgetID() laceunit.BudgetID { return r.Budget }

// BudgetID implements Record.
func (r Offline) BudgetID() laceunit.BudgetID { return r.Budget }
