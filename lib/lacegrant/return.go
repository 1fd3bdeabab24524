package lacegrant

import (
	"math"
	"time"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// retired is a grant that takes no new reservations; it is closed when its last one ends.
type retired struct {
	budget laceunit.BudgetID
	serial uint64
	live   int
	// spent is the offline spend that is not settled in the ledger yet.
	spent     laceunit.Tokens
	witnesses []laceunit.Holder
}

// Retired returns the records that end the retired grants without reservations. The Return keeps the offline spend
// that is not settled yet, so that the Close still holds it.
func (w *Wallet) CloseRetired() []laceledger.Record {
	var records []laceledger.Record
	for g, r := range w.retired {
		if r.live > 0 {
			continue
		}
		records = append(records,
			laceledger.Return{
				Budget:  r.budget,
				Grant:   g,
				Offline: r.spent,
				// An Open with the next serial may still be under way.
				Serial: r.serial + 2,
			},
			laceledger.Close{
				Budget: r.budget,
				Grant:  g,
			})
		delete(w.retired, g)
	}
	return records
}

// Idle returns the records that give back what has not been used for the idle time.
func (w *Wallet) ReturnIdle(now time.Time) []laceledger.Return {
	var records []laceledger.Return
	for b, p := range w.holdings {
		if p.grant == "" || p.busy() || p.free == 0 || now.Sub(p.touched) < w.policy.IdleTimeout {
			continue
		}
		records = append(records, w.giveBack(b, p, p.free))
	}
	return records
}

// Recall returns the record that gives back what the instance can spare of a budget for an instance in need.
func (w *Wallet) ReturnSpare(now time.Time, budget laceunit.BudgetID) (laceledger.Return, bool) {
	p, ok := w.holdings[budget]
	if !ok || p.grant == "" || p.busy() || p.free == 0 {
		return laceledger.Return{}, false
	}
	keep := laceunit.Tokens(math.Ceil(p.rate(now)))
	spare := p.free - min(keep, p.free/2)
	if spare <= 0 {
		return laceledger.Return{}, false
	}
	return w.giveBack(budget, p, spare), true
}

// Drain retires every grant; Retired then returns the records that end them.
func (w *Wallet) Drain() {
	for b, p := range w.holdings {
		if p.grant == "" {
			continue
		}
		w.retire(b, p)
	}
}

// Retire takes no new reservations from a grant and ends it when its last one has ended.
func (w *Wallet) Retire(budget laceunit.BudgetID, grant laceunit.GrantID) {
	if p := w.holding(budget); grant != "" && p.grant == grant {
		w.retire(budget, p)
	}
}

// retire ends the use of a grant; Retired returns the records that end it in the ledger.
func (w *Wallet) retire(budget laceunit.BudgetID, p *holding) {
	w.retired[p.grant] = &retired{
		budget:    budget,
		serial:    p.serial,
		live:      p.live,
		spent:     p.spent,
		witnesses: p.witnesses,
	}
	w.drop(p, p.grant)
}

// Returned tells that the ledger has decided on a Return.
func (w *Wallet) ApplyReturnVerdict(r laceledger.Return, verdict laceledger.Verdict) {
	p := w.holding(r.Budget)
	p.back, p.doubt = nil, false
	if verdict.Result == laceledger.Closed {
		w.drop(p, r.Grant)
	}
}

// ReturnFailed tells that this try of a Return was certainly not appended.
func (w *Wallet) ReturnFailed(r laceledger.Return) {
	p := w.holding(r.Budget)
	if p.doubt {
		p.repeat = true
		return
	}
	p.back = nil
	if p.grant == r.Grant {
		p.free += r.Tokens
		p.serial--
	}
}

// Unreturned returns the Returns whose verdict was lost; they are sent again as they are.
func (w *Wallet) RetryReturns() []laceledger.Return {
	var records []laceledger.Return
	for _, p := range w.holdings {
		if p.back != nil && p.repeat {
			p.repeat = false
			records = append(records, *p.back)
		}
	}
	return records
}

// ReturnLost tells that a Return may have been appended; Unreturned returns it again.
func (w *Wallet) ReturnUncertain(r laceledger.Return) {
	p := w.holding(r.Budget)
	p.repeat, p.doubt = p.back != nil, p.back != nil
}

func (w *Wallet) giveBack(budget laceunit.BudgetID, p *holding, tokens laceunit.Tokens) laceledger.Return {
	p.free -= tokens
	p.serial++
	p.limit = min(p.limit, w.offlinePart(p.free)+p.spent)
	p.back = &laceledger.Return{
		Budget:  budget,
		Grant:   p.grant,
		Tokens:  tokens,
		Offline: p.limit,
		Serial:  p.serial,
	}
	return *p.back
}
