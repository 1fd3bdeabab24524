package laceledger

import (
	"context"

	"lacewingcove/lib/laceunit"
)

// Urgency limits how long a record may be delayed to share a write with other records (group commit).
type Urgency uint8

// The urgencies. A single queued record is not delayed unless the write allowance is short and more records are
// expected.
const (
	// UrgencyLow records are batched with others for at most half a second.
	UrgencyLow Urgency = iota
	// UrgencyNormal records are delayed by some milliseconds, and only when the write allowance is short.
	UrgencyNormal
	// UrgencyImmediate records are committed as soon as no append of the shard is in flight.
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
	// Append returns the verdict on a record. Its errors are laceplatform.ErrUnavailable (definitely not
	// appended) and laceplatform.ErrUnknown (may have been appended).
	Append(ctx context.Context, record Record, urgency Urgency) (Verdict, error)
	// Balance returns one budget, or laceplatform.ErrMissing.
	Balance(ctx context.Context, budget laceunit.BudgetID) (Balance, error)
	// Balances returns every budget.
	Balances(ctx context.Context) ([]Balance, error)
	// Find returns the stored state of a request of a budget, or laceplatform.ErrMissing.
	Find(ctx context.Context, budget laceunit.BudgetID, request Request) (RequestState, error)
}
