package lacegrant

import (
	"math"
	"time"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Reservation holds the ceiling of one request against a grant.
type Reservation struct {
	Budget  laceunit.BudgetID
	Grant   laceunit.GrantID
	Ceiling laceunit.Tokens
	// Offline is true when the ceiling was also taken from the offline part.
	Offline bool
}

// purse is what the instance holds of one budget.
type purse struct {
	grant   laceunit.GrantID
	serial  int
	free    laceunit.Tokens
	offline laceunit.Tokens
	live    int
	opening bool
	left    laceunit.Tokens
	known   bool
	demand  float64
	touched time.Time
	sampled time.Time
}

// retired is a grant whose size the wallet no longer knows; it is closed when its last reservation ends.
type retired struct {
	budget  laceunit.BudgetID
	live    int
	offline laceunit.Tokens
}

// Wallet holds the grants of one instance incarnation; it is not safe for concurrent use.
type Wallet struct {
	holder    laceunit.Holder
	policy    Policy
	instances int
	purses    map[laceunit.BudgetID]*purse
	retired   map[laceunit.GrantID]*retired
}

// NewWallet returns an empty wallet.
func NewWallet(holder laceunit.Holder, policy Policy) *Wallet {
	return &Wallet{
		holder:    holder,
		policy:    policy,
		instances: 1,
		purses:    map[laceunit.BudgetID]*purse{},
		retired:   map[laceunit.GrantID]*retired{},
	}
}

// SetInstances tells the wallet how many instances share the budgets.
func (w *Wallet) SetInstances(n int) {
	w.instances = n
}

// Reserve takes a ceiling from the grant of a budget; it fails when the grant is too small.
func (w *Wallet) Reserve(now time.Time, budget laceunit.BudgetID, ceiling laceunit.Tokens) (Reservation, bool) {
	p := w.purse(budget)
	p.touch(now, ceiling)
	if p.grant == "" || p.free < ceiling {
		return Reservation{}, false
	}
	p.free -= ceiling
	p.live++
	return Reservation{
		Budget:  budget,
		Grant:   p.grant,
		Ceiling: ceiling,
	}, true
}

// ReserveOffline takes a ceiling that may be spent without the platform.
func (w *Wallet) ReserveOffline(now time.Time, budget laceunit.BudgetID, ceiling laceunit.Tokens) (Reservation, bool) {
	p := w.purse(budget)
	if p.offline < ceiling {
		return Reservation{}, false
	}
	r, ok := w.Reserve(now, budget, ceiling)
	if !ok {
		return Reservation{}, false
	}
	p.offline -= ceiling
	r.Offline = true
	return r, true
}

// Convert turns a reservation into an offline one; it fails when the offline part is too small.
func (w *Wallet) Convert(r Reservation) (Reservation, bool) {
	if r.Offline {
		return r, true
	}
	p := w.purse(r.Budget)
	if p.grant != r.Grant || p.offline < r.Ceiling {
		return r, false
	}
	p.offline -= r.Ceiling
	r.Offline = true
	return r, true
}

// Settle ends a reservation of which some tokens were spent.
func (w *Wallet) Settle(r Reservation, used laceunit.Tokens) {
	used = min(max(used, 0), r.Ceiling)
	if old, ok := w.retired[r.Grant]; ok {
		old.live--
		if r.Offline {
			old.offline += r.Ceiling - used
		}
		return
	}
	p := w.purse(r.Budget)
	if p.grant != r.Grant {
		return
	}
	p.live--
	p.free += r.Ceiling - used
	if r.Offline {
		p.offline += r.Ceiling - used
	}
}

// Cancel ends a reservation of which nothing was spent.
func (w *Wallet) Cancel(r Reservation) {
	w.Settle(r, 0)
}

// Forfeit ends a reservation whose tokens are no longer the wallet's: the request was taken over, or its state is
// unknown. The ledger decides what becomes of them.
func (w *Wallet) Forfeit(r Reservation) {
	w.Settle(r, r.Ceiling)
}

// Need returns the record that the wallet wants appended so that a ceiling fits, or none when an append is under
// way or the grant is large enough.
func (w *Wallet) Need(now time.Time, budget laceunit.BudgetID, ceiling laceunit.Tokens) (laceledger.Open, bool) {
	p := w.purse(budget)
	if p.opening {
		return laceledger.Open{}, false
	}
	target := w.policy.size(p.rate(now), ceiling, p.left+p.free, p.known, w.instances)
	// A grant is topped up at half its size, so that requests seldom wait for the ledger.
	if p.grant != "" && p.free >= ceiling && p.free >= target/2 {
		return laceledger.Open{}, false
	}
	if p.grant != "" && p.known && p.left == 0 && p.free >= ceiling {
		return laceledger.Open{}, false
	}
	p.opening = true
	grant := p.grant
	if grant == "" {
		p.serial++
		grant = w.name(budget, p.serial)
	}
	least := max(ceiling-p.free, 0)
	tokens := max(target-p.free, least)
	return laceledger.Open{
		Budget:  budget,
		Grant:   grant,
		Holder:  w.holder,
		Tokens:  tokens,
		Least:   least,
		Offline: w.offlinePart(p.free + tokens),
	}, true
}

// Opened applies the verdict on an Open record.
func (w *Wallet) Opened(open laceledger.Open, verdict laceledger.Verdict) {
	p := w.purse(open.Budget)
	p.opening = false
	switch verdict.Result {
	case laceledger.Accepted, laceledger.Repeated:
		p.left, p.known = verdict.Left, true
		if p.grant == "" {
			p.grant, p.free, p.live = open.Grant, 0, 0
		}
		if p.grant == open.Grant && verdict.Result == laceledger.Accepted {
			p.free += verdict.Granted
			p.offline = min(w.offlinePart(p.free), verdict.Offline)
		}
	case laceledger.Short:
		p.left, p.known = verdict.Left, true
	case laceledger.Closed:
		w.drop(p, open.Grant)
	default:
	}
}

// OpenFailed tells that an Open was certainly not appended.
func (w *Wallet) OpenFailed(budget laceunit.BudgetID) {
	w.purse(budget).opening = false
}

// OpenLost tells that an Open may have been appended. The wallet can't know the grant's size any more, so the grant is
// retired and a new one is opened for later requests.
func (w *Wallet) OpenLost(open laceledger.Open) {
	p := w.purse(open.Budget)
	p.opening = false
	old := &retired{budget: open.Budget}
	if p.grant == open.Grant {
		old.live, old.offline = p.live, p.offline
		w.drop(p, open.Grant)
	}
	w.retired[open.Grant] = old
}

// Retired returns the records that end the retired grants without reservations. The Return keeps the offline part that
// was spent but not yet settled, so that the Close still holds it.
func (w *Wallet) Retired() []laceledger.Record {
	var records []laceledger.Record
	for g, r := range w.retired {
		if r.live > 0 {
			continue
		}
		records = append(records,
			laceledger.Return{
				Budget:  r.budget,
				Grant:   g,
				Offline: r.offline,
			},
			laceledger.Close{
				Budget: r.budget,
				Grant:  g,
			})
		delete(w.retired, g)
	}
	return records
}

// Drop forgets a grant that the ledger has closed.
func (w *Wallet) Drop(budget laceunit.BudgetID, grant laceunit.GrantID) {
	w.drop(w.purse(budget), grant)
}

// Idle returns the records that give back what has not been used for the idle time.
func (w *Wallet) Idle(now time.Time) []laceledger.Return {
	var records []laceledger.Return
	for b, p := range w.purses {
		if p.grant == "" || p.opening || p.free == 0 || now.Sub(p.touched) < w.policy.Idle {
			continue
		}
		records = append(records, w.giveBack(b, p, p.free))
	}
	return records
}

// Recall returns the record that gives back what the instance can spare of a budget for an instance in need.
func (w *Wallet) Recall(now time.Time, budget laceunit.BudgetID) (laceledger.Return, bool) {
	p, ok := w.purses[budget]
	if !ok || p.grant == "" || p.opening || p.free == 0 {
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
	for b, p := range w.purses {
		if p.grant == "" {
			continue
		}
		w.retired[p.grant] = &retired{
			budget:  b,
			live:    p.live,
			offline: p.offline,
		}
		w.drop(p, p.grant)
	}
}

// ReturnFailed puts back the tokens of a Return that was certainly not appended.
func (w *Wallet) ReturnFailed(r laceledger.Return) {
	p := w.purse(r.Budget)
	if p.grant == r.Grant {
		p.free += r.Tokens
		p.offline += r.Offline
	}
}

// HandOver deducts tokens of the offline part for another instance; the receiver spends them under this grant.
func (w *Wallet) HandOver(budget laceunit.BudgetID, tokens laceunit.Tokens) (Reservation, bool) {
	p, ok := w.purses[budget]
	if !ok || p.grant == "" {
		return Reservation{}, false
	}
	spare := min(p.offline, p.free) / 2
	if spare < tokens {
		return Reservation{}, false
	}
	p.free -= tokens
	p.offline -= tokens
	return Reservation{
		Budget:  budget,
		Grant:   p.grant,
		Ceiling: tokens,
		Offline: true,
	}, true
}

// Free returns what the wallet holds of a budget outside reservations, and the offline part of it.
func (w *Wallet) Free(budget laceunit.BudgetID) (free, offline laceunit.Tokens) {
	p, ok := w.purses[budget]
	if !ok {
		return 0, 0
	}
	return p.free, min(p.offline, p.free)
}

// Left returns what the budget had left for new grants at the last verdict.
func (w *Wallet) Left(budget laceunit.BudgetID) (laceunit.Tokens, bool) {
	p := w.purse(budget)
	return p.left, p.known
}

func (w *Wallet) giveBack(budget laceunit.BudgetID, p *purse, tokens laceunit.Tokens) laceledger.Return {
	p.free -= tokens
	offline := max(p.offline-w.offlinePart(p.free), 0)
	p.offline -= offline
	return laceledger.Return{
		Budget:  budget,
		Grant:   p.grant,
		Tokens:  tokens,
		Offline: offline,
	}
}

func (w *Wallet) drop(p *purse, grant laceunit.GrantID) {
	if p.grant != grant {
		return
	}
	p.grant, p.free, p.offline, p.live = "", 0, 0, 0
}

func (w *Wallet) name(budget laceunit.BudgetID, serial int) laceunit.GrantID {
	return laceunit.GrantID(string(budget) + "/" + w.holder.String() + "/" + laceunit.Tokens(serial).String())
}

func (w *Wallet) offlinePart(tokens laceunit.Tokens) laceunit.Tokens {
	return laceunit.Tokens(float64(tokens) * w.policy.Offline)
}

func (w *Wallet) purse(budget laceunit.BudgetID) *purse {
	p, ok := w.purses[budget]
	if !ok {
		p = &purse{}
		w.purses[budget] = p
	}
	return p
}

func (p *purse) touch(now time.Time, spend laceunit.Tokens) {
	p.demand = p.rate(now) + float64(spend)/demandDecay.Seconds()
	p.sampled, p.touched = now, now
}

// rate returns the moving average of reserved tokens per second.
func (p *purse) rate(now time.Time) float64 {
	if p.sampled.IsZero() {
		return 0
	}
	age := max(now.Sub(p.sampled).Seconds(), 0)
	return p.demand * math.Exp(-age/demandDecay.Seconds())
}
