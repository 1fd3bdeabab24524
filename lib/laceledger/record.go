package laceledger

import "lacewingcove/lib/laceunit"

// Record is one change of a shard's state. Fence and the types below are the only implementations.
type Record interface {
	// BudgetID returns the budget that the record belongs to, which determines the shard.
	BudgetID() laceunit.BudgetID
}

// Request identifies a request; request ids are unique within a client account.
type Request struct {
	Account laceunit.AccountID
	ID      laceunit.RequestID
}

// TopUp adds paid tokens, at most once for each id. The first top-up creates the budget.
type TopUp struct {
	Budget  laceunit.BudgetID
	Account laceunit.AccountID
	ID      laceunit.TopUpID
	Tokens  laceunit.Tokens
	// Actor is the operator or component that made the change.
	Actor string
}

// Open grants tokens to a holder: as many of Tokens as the budget has available, or none if fewer than MinTokens are
// available. An Open of an existing grant of the same holder adds to it.
type Open struct {
	Budget    laceunit.BudgetID
	Grant     laceunit.GrantID
	Holder    laceunit.Holder
	Tokens    laceunit.Tokens
	MinTokens laceunit.Tokens
	// Offline is the grant's offline allowance after this record: the tokens that the holder may spend while the platform
	// is unreachable.
	Offline laceunit.Tokens
	// Witnesses are the holders that store replicas of this holder's offline journal.
	Witnesses []laceunit.Holder
	// Serial numbers the holder's Opens and Returns of the grant from 1 and makes the record idempotent.
	// A record with serial zero is not idempotent and must not be sent more than once.
	Serial uint64
}

// Return returns unused tokens of a grant to the budget and lowers the grant's offline allowance.
type Return struct {
	Budget laceunit.BudgetID
	Grant  laceunit.GrantID
	Tokens laceunit.Tokens
	// Offline is the grant's offline allowance after this record; a value above the current one has no effect.
	Offline laceunit.Tokens
	// Serial has the same meaning as in Open.
	Serial uint64
}

// Close closes a grant: it accepts no further intents, and its free tokens beyond the offline allowance return to the
// budget.
type Close struct {
	Budget laceunit.BudgetID
	Grant  laceunit.GrantID
}

// Release returns the remaining tokens of a closed grant, except those reserved by open requests, to the budget.
// It must be sent only when no more offline records of the grant can arrive: all witnesses have sealed the holder's
// journal, or an operator has decided so.
type Release struct {
	Budget laceunit.BudgetID
	Grant  laceunit.GrantID
	// Actor is the operator or component that made the change.
	Actor string
}

// Intent records the start of a request and reserves its ceiling in a grant.
type Intent struct {
	Budget     laceunit.BudgetID
	Request    Request
	Digest     laceunit.Digest
	Grant      laceunit.GrantID
	Ceiling    laceunit.Tokens
	Attempt    laceunit.AttemptID
	Server     laceunit.ServerID
	Idempotent bool
	// At is informational; retention uses the time of the entry that contains the record.
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

// Settle bills an open request once, up to its ceiling.
type Settle struct {
	Budget  laceunit.BudgetID
	Request Request
	Attempt laceunit.AttemptID
	Tokens  laceunit.Tokens
	// Response is stored for non-idempotent requests if it is small, so that a retry gets the same response.
	Response *Response
	At       int64
}

// Void ends an open request that did not run or whose response was not delivered; the request is not billed.
type Void struct {
	Budget  laceunit.BudgetID
	Request Request
	Attempt laceunit.AttemptID
	// Digest and Idempotent are those of the intent. With them the ledger can record the void of a request whose intent
	// has not arrived, and reject a delayed intent of the same attempt.
	Digest     laceunit.Digest
	Idempotent bool
	At         int64
}

// Offline bills a request that ran while the platform was unreachable against the offline allowance of a grant.
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
	// Finished is false if only the start of the run is known; the ceiling is then reserved as by an Intent.
	Finished bool
	Response *Response
	At       int64
}

// Response is the response to a non-idempotent request.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// MaxResponseBytes is the size of the largest response body that the ledger stores.
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
