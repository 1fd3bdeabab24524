package lacerouter

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefleet"
	"lacewingcove/lib/lacegrant"
	"lacewingcove/lib/lacejournal"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

// journalAdapter adapts the offline journal to the gateway, and reports to the wallet which offline spend is settled in
// the ledger.
type journalAdapter struct {
	*lacefleet.Service
	journal *lacejournal.Service
	wallet  *lacegrant.Service

	mu sync.Mutex
	// unflushed holds the requests whose ceiling was deducted from the offline allowance, until the ledger has their
	// final record.
	unflushed map[laceledger.Request]laceledger.Offline
}

// Copy implements lacegateway.Journal.
func (j *journalAdapter) Copy(ctx context.Context, record laceledger.Offline, decision lacemember.Decision) error {
	if record.Finished {
		j.recordEnd(record)
		err := j.journal.Update(ctx, record)
		if !errors.Is(err, lacejournal.ErrNotFound) {
			return err
		}
		// The request started with a durable intent, so only its final record goes through the journal.
	} else {
		j.recordStart(record)
	}
	holder, targets := j.Self(), j.targets(decision)
	if origin, witnesses, ok := j.wallet.TransferOrigin(record.Budget, record.Grant); ok {
		// The witnesses of the instance that transferred the tokens decide how much of its grant is left, so they need
		// the copies of the entries that are spent under it.
		holder, targets = origin, selectMembers(j.Record().Members, witnesses, j.Self())
	}
	return j.journal.Start(ctx, lacejournal.Entry{
		Owner:  j.Self(),
		Holder: holder,
		Record: record,
	}, j.quorum(record, decision), targets)
}

// Abandon implements lacegateway.Journal.
func (j *journalAdapter) Abandon(request laceledger.Request) {
	j.mu.Lock()
	delete(j.unflushed, request)
	j.mu.Unlock()
	j.journal.Abandon(request)
}

// Find implements lacegateway.Journal.
func (j *journalAdapter) Find(request laceledger.Request) (laceledger.Offline, bool) {
	e, ok := j.journal.Find(request)
	return e.Record, ok
}

// MarkFlushed implements lacejournal.Fleet.
func (j *journalAdapter) MarkFlushed(request laceledger.Request) {
	j.Service.MarkFlushed(request)
	j.mu.Lock()
	record, ok := j.unflushed[request]
	settled := ok && record.Finished
	if settled {
		delete(j.unflushed, request)
	}
	j.mu.Unlock()
	if settled {
		j.wallet.Flushed(record.Budget, record.Grant, record.Tokens)
	}
}

func (j *journalAdapter) recordStart(record laceledger.Offline) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.unflushed[record.Request]; !ok {
		j.unflushed[record.Request] = record
	}
}

// recordEnd stores the final record of a request that started offline.
func (j *journalAdapter) recordEnd(record laceledger.Offline) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.unflushed[record.Request]; ok {
		j.unflushed[record.Request] = record
	}
}

// quorum returns the copies that a record needs: at least one, and one at a witness of the grant, because the witnesses
// decide how much of a failed instance's grant is left.
func (j *journalAdapter) quorum(record laceledger.Offline, decision lacemember.Decision) lacejournal.Quorum {
	return lacejournal.Quorum{
		Copies:    max(decision.RequiredCopies, 1),
		Witnesses: j.wallet.Witnesses(record.Budget, record.Grant),
	}
}

func (j *journalAdapter) targets(decision lacemember.Decision) []lacemember.Member {
	if len(decision.Witnesses) > 0 {
		return decision.Witnesses
	}
	return j.Witnesses()
}

// witnesses returns a function that returns the witnesses of new grants.
func witnesses(fleet lacefleet.Fleet) func() []laceunit.Holder {
	return func() []laceunit.Holder {
		var holders []laceunit.Holder
		for _, m := range fleet.Witnesses() {
			holders = append(holders, m.Holder)
		}
		return holders
	}
}
