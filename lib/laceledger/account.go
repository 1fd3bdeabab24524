package laceledger

import (
	"context"

	"lacewingcove/lib/laceunit"
)

// Urgency says how long a record may wait for others to share its write.
type Urgency uint8

// The urgencies; a lone record never waits for company.
const (
	// Lazy records ride with others, within half a second.
	UrgencyLow Urgency = iota
	// Soon records linger a few milliseconds, and only when the write allowance is short.
	UrgencyNormal
	// Now records are committed as soon as no append of the shard is in flight.
	UrgencyImmediate
)

// Balance is the public view of a budget.
type Balance struct {
	Budget      laceunit.BudgetID
	Account     laceunit.AccountID
	Paid        laceunit.Tokens
	Settled     laceunit.Tokens
	Outstanding laceunit.Tokens
	Grants      []Grant
}

// Grant is the public view of a grant.
type Grant struct {
	ID        laceunit.GrantID
	Holder    laceunit.Holder
	Tokens    laceunit.Tokens
	Reserved  laceunit.Tokens
	Offline   laceunit.Tokens
	Closed    bool
	Witnesses []laceunit.Holder
}

// Ledger appends records and reads the state of budgets and requests.
type Ledger interface {
	// Append returns the verdict on a record. Its errors are laceplatform.ErrUnavailable (certainly not
	// appended) and laceplatform.ErrUnknown (may have been appended).
	Append(ctx context.Context, record Record, urgency Urgency) (Verdict, error)
	// Balance returns one budget, or laceplatform.ErrMissing.
	Balance(ctx context.Context, budget laceunit.BudgetID) (Balance, error)
	// Balances returns every budget.
	Balances(ctx context.Context) ([]Balance, error)
	// Find returns what is known of a request of a budget, or laceplatform.ErrMissing.
	Find(ctx context.Context, budget laceunit.BudgetID, request Request) (RequestState, error)
}
