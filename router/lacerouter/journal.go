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

// journal shows the offline journal to the gateway, and tells the wallet what of its offline spend is settled.
type journal struct {
	*lacefleet.Service
	book   *lacejournal.Service
	wallet *lacegrant.Service

	mu sync.Mutex
	// spent holds the requests whose ceiling was taken from the offline part, until the ledger has their end.
	spent map[laceledger.Request]laceledger.Offline
}

// Copy implements lacegateway.Journal.
func (j *journal) Copy(ctx context.Context, record laceledger.Offline, decision lacemember.Decision) error {
	if record.Finished {
		j.end(record)
		err := j.book.Update(ctx, record)
		if !errors.Is(err, lacejournal.ErrNotFound) {
			return err
		}
		// The request began with a durable intent, and only its end has to go through the journal.
	} else {
		j.begin(record)
	}
	holder, targets := j.Self(), j.targets(decision)
	if giver, witnesses, ok := j.wallet.TransferOrigin(record.Budget, record.Grant); ok {
		// The giver's witnesses decide what is left of its grant, so they need the copies of what is spent under it.
		holder, targets = giver, among(j.Record().Members, witnesses, j.Self())
	}
	return j.book.Start(ctx, lacejournal.Entry{
		Owner:  j.Self(),
		Holder: holder,
		Record: record,
	}, j.quorum(record, decision), targets)
}

// Abandon implements lacegateway.Journal.
func (j *journal) Abandon(request laceledger.Request) {
	j.mu.Lock()
	delete(j.spent, request)
	j.mu.Unlock()
	j.book.Abandon(request)
}

// Find implements lacegateway.Journal.
func (j *journal) Find(request laceledger.Request) (laceledger.Offline, bool) {
	e, ok := j.book.Find(request)
	return e.Record, ok
}

// Flushed implements lacejournal.Fleet.
func (j *journal) Flushed(request laceledger.Request) {
	j.Service.Flushed(request)
	j.mu.Lock()
	record, ok := j.spent[request]
	done := ok && record.Finished
	if done {
		delete(j.spent, request)
	}
	j.mu.Unlock()
	if done {
		j.wallet.Flushed(record.Budget, record.Grant, record.Tokens)
	}
}

func (j *journal) begin(record laceledger.Offline) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.spent[record.Request]; !ok {
		j.spent[record.Request] = record
	}
}

// end notes the final tokens of a request that began offline.
func (j *journal) end(record laceledger.Offline) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.spent[record.Request]; ok {
		j.spent[record.Request] = record
	}
}

// quorum returns which copies a record needs: at least one, and one at a witness that the grant names, because the
// witnesses decide what is left of a dead instance's grant.
func (j *journal) quorum(record laceledger.Offline, decision lacemember.Decision) lacejournal.Quorum {
	return lacejournal.Quorum{
		Copies:    max(decision.RequiredCopies, 1),
		Witnesses: j.wallet.Witnesses(record.Budget, record.Grant),
	}
}

func (j *journal) targets(decision lacemember.Decision) []lacemember.Member {
	if len(decision.Witnesses) > 0 {
		return decision.Witnesses
	}
	return j.Witnesses()
}

// witnesses returns the holders that new grants name.
func witnesses(fleet lacefleet.Fleet) func() []laceunit.Holder {
	return func() []laceunit.Holder {
		var holders []laceunit.Holder
		for _, m := range fleet.Witnesses() {
			holders = append(holders, m.Holder)
		}
		return holders
	}
}
