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

// deferredLedger is the ledger for services that are created before it: the ledger needs the incarnation that joining
// assigns, and joining needs those services. Until the ledger is set, every call fails as unavailable.
type deferredLedger struct {
	ledger atomic.Pointer[lacewriter.Ledger]
}

func (l *deferredLedger) load() (*lacewriter.Ledger, error) {
	ledger := l.ledger.Load()
	if ledger == nil {
		return nil, errors.Wrap(laceplatform.ErrUnavailable, "the instance has not joined yet")
	}
	return ledger, nil
}

// Append implements laceledger.Ledger.
func (l *deferredLedger) Append(ctx context.Context, record laceledger.Record, urgency laceledger.Urgency) (laceledger.Verdict, error) {
	ledger, err := l.load()
	if err != nil {
		return laceledger.Verdict{}, err
	}
	return ledger.Append(ctx, record, urgency)
}

// Balance implements laceledger.Ledger.
func (l *deferredLedger) Balance(ctx context.Context, budget laceunit.BudgetID) (laceledger.Balance, error) {
	ledger, err := l.load()
	if err != nil {
		return laceledger.Balance{}, err
	}
	return ledger.Balance(ctx, budget)
}

// Balances implements laceledger.Ledger.
func (l *deferredLedger) Balances(ctx context.Context) ([]laceledger.Balance, error) {
	ledger, err := l.load()
	if err != nil {
		return nil, err
	}
	return ledger.Balances(ctx)
}

// Find implements laceledger.Ledger.
func (l *deferredLedger) Find(ctx context.Context, budget laceunit.BudgetID, request laceledger.Request) (laceledger.RequestState, error) {
	ledger, err := l.load()
	if err != nil {
		return laceledger.RequestState{}, err
	}
	return ledger.Find(ctx, budget, request)
}

// history lists the retained requests of the ledger, which the membership needs to authorize requests during an outage.
type history struct {
	ledger *deferredLedger
	store  laceplatform.Store
	fleet  lacefleet.Fleet
}

// Retained implements lacefleet.History. The platform's revision is read before the membership. Therefore every process
// with a lower incarnation either is in that membership, or was removed, or joins later, which leads to a newer fence.
func (h *history) Retained(ctx context.Context, members []laceunit.Holder) ([]laceledger.Request, bool, error) {
	ledger, err := h.ledger.load()
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
