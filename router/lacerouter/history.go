package lacerouter

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewriter"
)

// lateLedger is the ledger for services that exist before it: the ledger needs the incarnation that joining gives,
// and joining needs those services. Until it is set every call is refused as unavailable.
type lateLedger struct {
	ledger atomic.Pointer[lacewriter.Ledger]
}

func (l *lateLedger) get() (*lacewriter.Ledger, error) {
	ledger := l.ledger.Load()
	if ledger == nil {
		return nil, errors.Wrap(laceplatform.ErrUnavailable, "the instance has not joined yet")
	}
	return ledger, nil
}

// Append implements laceledger.Ledger.
func (l *lateLedger) Append(ctx context.Context, record laceledger.Record, urgency laceledger.Urgency) (laceledger.Verdict, error) {
	ledger, err := l.get()
	if err != nil {
		return laceledger.Verdict{}, err
	}
	return ledger.Append(ctx, record, urgency)
}

// Balance implements laceledger.Ledger.
func (l *lateLedger) Balance(ctx context.Context, budget laceunit.BudgetID) (laceledger.Balance, error) {
	ledger, err := l.get()
	if err != nil {
		return laceledger.Balance{}, err
	}
	return ledger.Balance(ctx, budget)
}

// Balances implements laceledger.Ledger.
func (l *lateLedger) Balances(ctx context.Context) ([]laceledger.Balance, error) {
	ledger, err := l.get()
	if err != nil {
		return nil, err
	}
	return ledger.Balances(ctx)
}

// Find implements laceledger.Ledger.
func (l *lateLedger) Find(ctx context.Context, budget laceunit.BudgetID, request laceledger.Request) (laceledger.Existing, error) {
	ledger, err := l.get()
	if err != nil {
		return laceledger.Existing{}, err
	}
	return ledger.Find(ctx, budget, request)
}

// Retained implements lacefleet.History.
func (l *lateLedger) Retained(ctx context.Context, members []laceunit.Holder) ([]laceledger.Request, bool, error) {
	ledger, err := l.get()
	if err != nil {
		return nil, false, err
	}
	return ledger.Retained(ctx, members)
}
