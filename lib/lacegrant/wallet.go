package lacegrant

import (
	"math"
	"slices"
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

	transfer *transfer
}

// holding is what the instance holds of one budget.
type holding struct {
	grant laceunit.GrantID
	// names counts the grants opened for the budget, serial the Opens and Returns of the present one.
	names  int
	serial uint64
	// free are the tokens outside reservations.
	free laceunit.Tokens
	// limit is the grant's offline part in the ledger, spent what was taken from it and is not settled there yet.
	limit laceunit.Tokens
	spent laceunit.Tokens
	// witnesses are those that the grant names in the ledger.
	witnesses []laceunit.Holder
	live      int
	// gave is true when other instances may spend tokens of the grant.
	gave bool
	// transfers are what other instances have given, transferRequest the id of the request under way, and
	// nextTransfer when the next one may go.
	transfers       []*transfer
	transferRequest string
	nextTransfer    time.Time
	// open is the record under way, and repeat is true when it has to be sent again. After a lost answer the record is
	// in doubt until there is a verdict: a later failure says nothing about the first try.
	open    *laceledger.Open
	repeat  bool
	doubt   bool
	flushed laceunit.Tokens
	// back is the Return under way; Opens wait for it, because the ledger ignores records whose serial is too low.
	back    *laceledger.Return
	left    laceunit.Tokens
	known   bool
	demand  float64
	touched time.Time
	sampled time.Time
}

// offline returns what may be spent without the platform. While an Open with other witnesses is under way it is not
// known which of them the ledger will ask, so nothing may be.
func (p *holding) offline() laceunit.Tokens {
	if p.open != nil && !slices.Equal(p.open.Witnesses, p.witnesses) {
		return 0
	}
	return max(min(p.limit-p.spent, p.free), 0)
}

// Wallet holds the grants of one instance incarnation; it is not safe for concurrent use.
type Wallet struct {
	holder           laceunit.Holder
	policy           Policy
	instances        int
	holdings         map[laceunit.BudgetID]*holding
	retired          map[laceunit.GrantID]*retired
	given            given
	transferRequests uint64
}

// NewWallet returns an empty wallet.
func NewWallet(holder laceunit.Holder, policy Policy) *Wallet {
	return &Wallet{
		holder:    holder,
		policy:    policy,
		instances: 1,
		holdings:  map[laceunit.BudgetID]*holding{},
		retired:   map[laceunit.GrantID]*retired{},
	}
}

// SetInstances tells the wallet how many instances share the budgets.
func (w *Wallet) SetInstances(n int) {
	w.instances = n
}

// Reserve takes a ceiling from the grant of a budget; it fails when the grant is too small.
func (w *Wallet) Reserve(now time.Time, budget laceunit.BudgetID, ceiling laceunit.Tokens) (Reservation, bool) {
	p := w.holding(budget)
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

// ReserveOffline takes a ceiling that may be spent without the platform, from the own grant or from a transfer.
func (w *Wallet) ReserveOffline(now time.Time, budget laceunit.BudgetID, ceiling laceunit.Tokens) (Reservation, bool) {
	p := w.holding(budget)
	if p.offline() < ceiling {
		p.touch(now, ceiling)
		return p.reserveTransfer(budget, ceiling)
	}
	r, ok := w.Reserve(now, budget, ceiling)
	if !ok {
		return Reservation{}, false
	}
	p.spent += ceiling
	r.Offline = true
	return r, true
}

// Convert turns a reservation into an offline one; it fails when the offline part is too small.
func (w *Wallet) Convert(r Reservation) (Reservation, bool) {
	if r.Offline {
		return r, true
	}
	p := w.holding(r.Budget)
	// The ceiling is already taken from the free tokens, so only the offline part bounds it.
	if p.grant != r.Grant || p.limit-p.spent < r.Ceiling || p.open != nil && !slices.Equal(p.open.Witnesses, p.witnesses) {
		return r, false
	}
	p.spent += r.Ceiling
	r.Offline = true
	return r, true
}

// Settle ends a reservation of which some tokens were spent.
func (w *Wallet) Settle(r Reservation, used laceunit.Tokens) {
	used = min(max(used, 0), r.Ceiling)
	if r.transfer != nil {
		w.holding(r.Budget).settleTransfer(r, used)
		return
	}
	if old, ok := w.retired[r.Grant]; ok {
		old.live--
		if r.Offline {
			old.spent -= r.Ceiling - used
		}
		return
	}
	p := w.holding(r.Budget)
	if p.grant != r.Grant {
		return
	}
	p.live--
	p.free += r.Ceiling - used
	if r.Offline {
		p.spent -= r.Ceiling - used
	}
}

// Flushed tells that offline spend was settled in the ledger, which lowers the grant's offline part.
func (w *Wallet) Flushed(budget laceunit.BudgetID, grant laceunit.GrantID, tokens laceunit.Tokens) {
	if old, ok := w.retired[grant]; ok {
		old.spent = max(old.spent-tokens, 0)
		return
	}
	p := w.holding(budget)
	if p.grant != grant {
		return
	}
	p.spent = max(p.spent-tokens, 0)
	p.limit = max(p.limit-tokens, 0)
	if p.open != nil {
		// The verdict under way may have been given before this settlement.
		p.flushed += tokens
	}
}

// Forfeit ends a reservation whose request stays open in the ledger; its tokens don't come back to the wallet.
func (w *Wallet) Forfeit(r Reservation) {
	w.Settle(r, r.Ceiling)
}

// Need returns the record that the wallet wants appended so that a ceiling fits, or none when an append is under
// way or the grant is large enough. Without urgency nobody waits for the ceiling, and any amount is welcome.
//
// The witnesses hold copies of the instance's journal; the grant names them.
func (w *Wallet) PrepareOpen(now time.Time, budget laceunit.BudgetID, ceiling laceunit.Tokens, urgent bool, witnesses []laceunit.Holder) (laceledger.Open, bool) {
	p := w.holding(budget)
	if p.back != nil {
		return laceledger.Open{}, false
	}
	if p.open != nil {
		if !p.repeat {
			return laceledger.Open{}, false
		}
		p.repeat = false
		return *p.open, true
	}
	if p.gave && p.grant != "" && !slices.Equal(p.witnesses, witnesses) {
		// Receivers copy their spend to the witnesses that they were told, so the grant ends with these.
		w.retire(budget, p)
	}
	target := w.policy.size(p.rate(now), ceiling, p.left+p.free, p.known, w.instances)
	// A grant is topped up early, so that requests seldom wait for the ledger and an outage finds enough.
	if p.grant != "" && p.free >= ceiling && (p.free >= w.policy.low(p.rate(now), target) || p.known && p.left == 0) {
		return laceledger.Open{}, false
	}
	if p.grant != "" && p.spent > 0 {
		// Entries that the ledger lacks have their copies at the present witnesses, which have to be asked about them.
		witnesses = p.witnesses
	}
	grant, serial := p.grant, p.serial+1
	if grant == "" {
		p.names++
		grant, serial = w.name(budget, p.names), 1
	}
	var least laceunit.Tokens
	if urgent {
		least = max(ceiling-p.free, 0)
	}
	tokens := max(target-p.free, least, 1)
	p.open = &laceledger.Open{
		Budget:    budget,
		Grant:     grant,
		Holder:    w.holder,
		Tokens:    tokens,
		MinTokens: least,
		Offline:   w.offlinePart(p.free+tokens) + p.spent,
		Serial:    serial,
		Witnesses: witnesses,
	}
	p.flushed = 0
	// An Open that lowers the offline part may take effect long before its verdict arrives.
	p.limit = min(p.limit, p.open.Offline)
	return *p.open, true
}

// Opened applies the verdict on an Open record.
func (w *Wallet) ApplyOpenVerdict(open laceledger.Open, verdict laceledger.Verdict) {
	p := w.holding(open.Budget)
	p.open, p.doubt = nil, false
	switch verdict.Result {
	case laceledger.Accepted, laceledger.Repeated:
		p.left, p.known = verdict.Available, true
		// The verdict on an extension can arrive after the grant was dropped; only a first Open starts a grant.
		if p.grant == "" && open.Serial == 1 {
			p.grant, p.free, p.limit, p.spent, p.live = open.Grant, 0, 0, 0, 0
		}
		if p.grant != open.Grant {
			return
		}
		p.serial = open.Serial
		p.witnesses = open.Witnesses
		p.free += verdict.Granted
		// The ledger's offline part is never below the limit known here.
		p.limit = max(verdict.Offline-p.flushed, p.limit)
	case laceledger.InsufficientTokens:
		p.left, p.known = verdict.Available, true
	case laceledger.Closed:
		w.drop(p, open.Grant)
	default:
	}
}

// OpenFailed tells that this try of an Open was certainly not appended.
func (w *Wallet) OpenFailed(budget laceunit.BudgetID) {
	p := w.holding(budget)
	if p.doubt {
		p.repeat = true
		return
	}
	p.open = nil
}

// OpenLost tells that an Open may have been appended; Need returns it again, and its serial makes it count once.
func (w *Wallet) OpenUncertain(budget laceunit.BudgetID) {
	p := w.holding(budget)
	p.repeat, p.doubt = p.open != nil, p.open != nil
}

// Drop forgets a grant that the ledger has closed.
func (w *Wallet) Drop(budget laceunit.BudgetID, grant laceunit.GrantID) {
	w.drop(w.holding(budget), grant)
}

// Free returns what the wallet holds of a budget outside reservations, and the offline part of it.
func (w *Wallet) Available(budget laceunit.BudgetID) (free, offline laceunit.Tokens) {
	p, ok := w.holdings[budget]
	if !ok {
		return 0, 0
	}
	return p.free, p.offline()
}

// Witnesses returns the instances that a grant names as holders of journal copies.
func (w *Wallet) Witnesses(budget laceunit.BudgetID, grant laceunit.GrantID) []laceunit.Holder {
	if p, ok := w.holdings[budget]; ok && p.grant == grant {
		return p.witnesses
	}
	if old, ok := w.retired[grant]; ok {
		return old.witnesses
	}
	_, witnesses, _ := w.TransferOrigin(budget, grant)
	return witnesses
}

func (w *Wallet) drop(p *holding, grant laceunit.GrantID) {
	p.dropTransfers(grant)
	if p.grant != grant {
		return
	}
	p.grant, p.free, p.limit, p.spent, p.live, p.serial, p.witnesses, p.gave = "", 0, 0, 0, 0, 0, nil, false
	if p.back != nil && p.back.Grant == grant {
		p.back, p.repeat, p.doubt = nil, false, false
	}
}

func (w *Wallet) name(budget laceunit.BudgetID, serial int) laceunit.GrantID {
	return laceunit.GrantID(string(budget) + "/" + w.holder.String() + "/" + laceunit.Tokens(serial).String())
}

func (w *Wallet) offlinePart(tokens laceunit.Tokens) laceunit.Tokens {
	return laceunit.Tokens(float64(tokens) * w.policy.OfflineFraction)
}

func (w *Wallet) holding(budget laceunit.BudgetID) *holding {
	p, ok := w.holdings[budget]
	if !ok {
		p = &holding{}
		w.holdings[budget] = p
	}
	return p
}

func (p *holding) busy() bool {
	return p.open != nil || p.back != nil
}

func (p *holding) touch(now time.Time, spend laceunit.Tokens) {
	p.demand = p.rate(now) + float64(spend)/demandDecay.Seconds()
	p.sampled, p.touched = now, now
}

// rate returns the moving average of reserved tokens per second.
func (p *holding) rate(now time.Time) float64 {
	if p.sampled.IsZero() {
		return 0
	}
	age := max(now.Sub(p.sampled).Seconds(), 0)
	return p.demand * math.Exp(-age/demandDecay.Seconds())
}
