package lacerouter

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefleet"
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
func (l *lateLedger) Find(ctx context.Context, budget laceunit.BudgetID, request laceledger.Request) (laceledger.RequestState, error) {
	ledger, err := l.get()
	if err != nil {
		return laceledger.RequestState{}, err
	}
	return ledger.Find(ctx, budget, request)
}

// history reads the ledger for outage authority.
type history struct {
	ledger *lateLedger
	store  laceplatform.Store
	fleet  lacefleet.Fleet
}

// Retained implements lacefleet.History. The platform's revision is read before the membership, so that every process
// with a lower incarnation is either in that membership or removed, or it joins later and brings a newer fence.
func (h *history) Retained(ctx context.Context, members []laceunit.Holder) ([]laceledger.Request, bool, error) {
	ledger, err := h.ledger.get()
	if err != nil {
		return nil, false, err
	}
	_, revision, err := h.store.List(ctx, "ledger/shape")
	if err != nil {
		return nil, false, errors.Wrap(err, "revision")
	}
	record, err := h.fleet.FetchRecord(ctx)
	if err != nil {
		return nil, false, errors.Wrap(err, "membership")
	}
	if !sameHolders(record.Holders(), members) {
		return nil, false, nil
	}
	return ledger.FenceAndListRequests(ctx, laceledger.Fence{
		Epoch:          record.Epoch,
		Members:        record.Holders(),
		MaxIncarnation: laceunit.Incarnation(revision),
	})
}

func sameHolders(a, b []laceunit.Holder) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(h laceunit.Holder) bool { return !slices.Contains(b, h) })
}
