package lacegrant

import (
	"math"
	"time"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// retired is a grant that accepts no new reservations; it is closed when its last reservation ends.
type retired struct {
	budget       laceunit.BudgetID
	serial       uint64
	reservations int
	// offlineSpent is the offline spend that is not yet settled in the ledger.
	offlineSpent laceunit.Tokens
	witnesses    []laceunit.Holder
}

// CloseRetired returns the records that close the retired grants without reservations, and forgets these grants. Each
// Return lowers the offline allowance to the unsettled offline spend, so that Close keeps these tokens in the grant.
func (w *Wallet) CloseRetired() []laceledger.Record {
	var records []laceledger.Record
	for g, r := range w.retired {
		if r.reservations > 0 {
			continue
		}
		records = append(records,
			laceledger.Return{
				Budget:  r.budget,
				Grant:   g,
				Offline: r.offlineSpent,
				// An Open with the next serial may still be in flight.
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

// ReturnIdle returns the records that return the free tokens of grants without demand for the idle timeout.
func (w *Wallet) ReturnIdle(now time.Time) []laceledger.Return {
	var records []laceledger.Return
	for b, p := range w.holdings {
		if p.grant == "" || p.hasPending() || p.free == 0 || now.Sub(p.lastDemandAt) < w.policy.IdleTimeout {
			continue
		}
		records = append(records, w.prepareReturn(b, p, p.free))
	}
	return records
}

// ReturnSpare returns the record that returns spare tokens of a budget, so that another instance can get them. The
// instance keeps one second of its demand, but at most half of the free tokens.
func (w *Wallet) ReturnSpare(now time.Time, budget laceunit.BudgetID) (laceledger.Return, bool) {
	p, ok := w.holdings[budget]
	if !ok || p.grant == "" || p.hasPending() || p.free == 0 {
		return laceledger.Return{}, false
	}
	keep := laceunit.Tokens(math.Ceil(p.currentDemand(now)))
	spare := p.free - min(keep, p.free/2)
	if spare <= 0 {
		return laceledger.Return{}, false
	}
	return w.prepareReturn(budget, p, spare), true
}

// Drain retires every grant; CloseRetired then returns the records that close them.
func (w *Wallet) Drain() {
	for b, p := range w.holdings {
		if p.grant == "" {
			continue
		}
		w.retire(b, p)
	}
}

// Retire stops new reservations from a grant; the grant is closed when its last reservation ends.
func (w *Wallet) Retire(budget laceunit.BudgetID, grant laceunit.GrantID) {
	if p := w.holding(budget); grant != "" && p.grant == grant {
		w.retire(budget, p)
	}
}

// retire stops the use of a grant; CloseRetired returns the records that close it in the ledger.
func (w *Wallet) retire(budget laceunit.BudgetID, p *holding) {
	w.retired[p.grant] = &retired{
		budget:       budget,
		serial:       p.serial,
		reservations: p.reservations,
		offlineSpent: p.offlineSpent,
		witnesses:    p.witnesses,
	}
	w.drop(p, p.grant)
}

// ApplyReturnVerdict applies the verdict on a Return.
func (w *Wallet) ApplyReturnVerdict(r laceledger.Return, verdict laceledger.Verdict) {
	p := w.holding(r.Budget)
	p.pendingReturn, p.uncertain = nil, false
	if verdict.Result == laceledger.Closed {
		w.drop(p, r.Grant)
	}
}

// ReturnFailed handles an attempt to append a Return that was definitely not appended. The Return is undone, unless an
// earlier attempt may have been appended.
func (w *Wallet) ReturnFailed(r laceledger.Return) {
	p := w.holding(r.Budget)
	if p.uncertain {
		p.resend = true
		return
	}
	p.pendingReturn = nil
	if p.grant == r.Grant {
		p.free += r.Tokens
		p.serial--
	}
}

// RetryReturns returns the pending Returns whose outcome is unknown, to be appended again unchanged.
func (w *Wallet) RetryReturns() []laceledger.Return {
	var records []laceledger.Return
	for _, p := range w.holdings {
		if p.pendingReturn != nil && p.resend {
			p.resend = false
			records = append(records, *p.pendingReturn)
		}
	}
	return records
}

// ReturnUncertain handles a Return that may have been appended; RetryReturns returns it again.
func (w *Wallet) ReturnUncertain(r laceledger.Return) {
	p := w.holding(r.Budget)
	p.resend, p.uncertain = p.pendingReturn != nil, p.pendingReturn != nil
}

// prepareReturn deducts free tokens from a grant and returns the record that returns them to the budget.
func (w *Wallet) prepareReturn(budget laceunit.BudgetID, p *holding, tokens laceunit.Tokens) laceledger.Return {
	p.free -= tokens
	p.serial++
	p.offlineLimit = min(p.offlineLimit, w.offlineAllowance(p.free)+p.offlineSpent)
	p.pendingReturn = &laceledger.Return{
		Budget:  budget,
		Grant:   p.grant,
		Tokens:  tokens,
		Offline: p.offlineLimit,
		Serial:  p.serial,
	}
	return *p.pendingReturn
}
