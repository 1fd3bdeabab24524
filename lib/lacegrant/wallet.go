package lacegrant

import (
	"math"
	"slices"
	"time"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Reservation reserves the ceiling of one request in a grant.
type Reservation struct {
	Budget  laceunit.BudgetID
	Grant   laceunit.GrantID
	Ceiling laceunit.Tokens
	// Offline is true if the ceiling was also deducted from the offline allowance.
	Offline bool

	transfer *receivedTransfer
}

// holding is the state of one budget: the current grant, received transfers and pending records.
type holding struct {
	grant laceunit.GrantID
	// grantCount counts the grants opened for the budget, serial the Opens and Returns of the current one.
	grantCount int
	serial     uint64
	// free is the number of tokens that are not reserved.
	free laceunit.Tokens
	// offlineLimit is the grant's offline allowance in the ledger, offlineSpent the part of it that is reserved or spent
	// and not yet settled there.
	offlineLimit laceunit.Tokens
	offlineSpent laceunit.Tokens
	// witnesses are the witnesses of the grant in the ledger.
	witnesses    []laceunit.Holder
	reservations int
	// transferredOut is true if other instances may spend tokens of the grant.
	transferredOut bool
	// transfers are the transfers received from other instances, transferRequestID is the id of the request in flight,
	// and nextTransferAt is the earliest time of the next one.
	transfers         []*receivedTransfer
	transferRequestID string
	nextTransferAt    time.Time
	// pendingOpen is the Open in flight; resend is true if it, or pendingReturn, has to be sent again. After an append
	// with an unknown outcome the record stays uncertain until a verdict arrives: if a retry definitely fails, the first
	// attempt may still have been appended. settledSinceOpen is the offline spend settled since the Open was created.
	pendingOpen      *laceledger.Open
	resend           bool
	uncertain        bool
	settledSinceOpen laceunit.Tokens
	// pendingReturn is the Return in flight; Opens wait for it, because the ledger ignores records with an old serial.
	pendingReturn   *laceledger.Return
	available       laceunit.Tokens
	availableKnown  bool
	demand          float64
	lastDemandAt    time.Time
	demandUpdatedAt time.Time
}

// offlineAvailable returns how many tokens may be spent while the platform is unreachable. It is zero while an Open
// with different witnesses is in flight, because it is unknown which witnesses the ledger names.
func (p *holding) offlineAvailable() laceunit.Tokens {
	if p.pendingOpen != nil && !slices.Equal(p.pendingOpen.Witnesses, p.witnesses) {
		return 0
	}
	return max(min(p.offlineLimit-p.offlineSpent, p.free), 0)
}

// Wallet holds the grants of one instance incarnation; it is not safe for concurrent use.
type Wallet struct {
	holder               laceunit.Holder
	policy               Policy
	instances            int
	holdings             map[laceunit.BudgetID]*holding
	retired              map[laceunit.GrantID]*retired
	sentTransfers        sentTransfers
	transferRequestCount uint64
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

// SetInstances sets the number of instances that share the budgets.
func (w *Wallet) SetInstances(n int) {
	w.instances = n
}

// Reserve reserves a ceiling from the grant of a budget; it fails if the grant is too small.
func (w *Wallet) Reserve(now time.Time, budget laceunit.BudgetID, ceiling laceunit.Tokens) (Reservation, bool) {
	p := w.holding(budget)
	p.addDemand(now, ceiling)
	if p.grant == "" || p.free < ceiling {
		return Reservation{}, false
	}
	p.free -= ceiling
	p.reservations++
	return Reservation{
		Budget:  budget,
		Grant:   p.grant,
		Ceiling: ceiling,
	}, true
}

// ReserveOffline reserves a ceiling that may be spent while the platform is unreachable, from the grant of the budget
// or from a received transfer.
func (w *Wallet) ReserveOffline(now time.Time, budget laceunit.BudgetID, ceiling laceunit.Tokens) (Reservation, bool) {
	p := w.holding(budget)
	if p.offlineAvailable() < ceiling {
		p.addDemand(now, ceiling)
		return p.reserveFromTransfer(budget, ceiling)
	}
	r, ok := w.Reserve(now, budget, ceiling)
	if !ok {
		return Reservation{}, false
	}
	p.offlineSpent += ceiling
	r.Offline = true
	return r, true
}

// Convert turns a reservation into an offline one; it fails if the offline allowance is too small.
func (w *Wallet) Convert(r Reservation) (Reservation, bool) {
	if r.Offline {
		return r, true
	}
	p := w.holding(r.Budget)
	// The ceiling is already deducted from the free tokens, so only the offline allowance limits it.
	if p.grant != r.Grant || p.offlineLimit-p.offlineSpent < r.Ceiling ||
		p.pendingOpen != nil && !slices.Equal(p.pendingOpen.Witnesses, p.witnesses) {
		return r, false
	}
	p.offlineSpent += r.Ceiling
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
		old.reservations--
		if r.Offline {
			old.offlineSpent -= r.Ceiling - used
		}
		return
	}
	p := w.holding(r.Budget)
	if p.grant != r.Grant {
		return
	}
	p.reservations--
	p.free += r.Ceiling - used
	if r.Offline {
		p.offlineSpent -= r.Ceiling - used
	}
}

// Flushed records that offline spend was settled in the ledger, which lowers the grant's offline allowance.
func (w *Wallet) Flushed(budget laceunit.BudgetID, grant laceunit.GrantID, tokens laceunit.Tokens) {
	if old, ok := w.retired[grant]; ok {
		old.offlineSpent = max(old.offlineSpent-tokens, 0)
		return
	}
	p := w.holding(budget)
	if p.grant != grant {
		return
	}
	p.offlineSpent = max(p.offlineSpent-tokens, 0)
	p.offlineLimit = max(p.offlineLimit-tokens, 0)
	if p.pendingOpen != nil {
		// The verdict in flight may be older than this settlement.
		p.settledSinceOpen += tokens
	}
}

// Forfeit ends a reservation whose request stays open in the ledger; its tokens are not returned to the wallet.
func (w *Wallet) Forfeit(r Reservation) {
	w.Settle(r, r.Ceiling)
}

// PrepareOpen returns the Open that opens or tops up the grant of a budget, or false if a record is in flight or the
// grant is large enough. If blocking is true, a request waits until its ceiling fits into the grant; otherwise the Open
// is an early top-up, which accepts any amount.
//
// The witnesses hold copies of the instance's journal; the Open names them in the grant.
func (w *Wallet) PrepareOpen(
	now time.Time,
	budget laceunit.BudgetID,
	ceiling laceunit.Tokens,
	blocking bool,
	witnesses []laceunit.Holder,
) (laceledger.Open, bool) {
	p := w.holding(budget)
	if p.pendingReturn != nil {
		return laceledger.Open{}, false
	}
	if p.pendingOpen != nil {
		if !p.resend {
			return laceledger.Open{}, false
		}
		p.resend = false
		return *p.pendingOpen, true
	}
	if p.transferredOut && p.grant != "" && !slices.Equal(p.witnesses, witnesses) {
		// Receivers of transfers copy their journal entries to the witnesses named in the transfer. The grant is therefore
		// replaced instead of changing its witnesses.
		w.retire(budget, p)
	}
	target := w.policy.targetSize(p.currentDemand(now), ceiling, p.available+p.free, p.availableKnown, w.instances)
	// Early top-ups ensure that requests rarely wait for the ledger and that enough tokens are left when an outage begins.
	if p.grant != "" && p.free >= ceiling &&
		(p.free >= w.policy.topUpThreshold(p.currentDemand(now), target) || p.availableKnown && p.available == 0) {
		return laceledger.Open{}, false
	}
	if p.grant != "" && p.offlineSpent > 0 {
		// The current witnesses hold the copies of journal entries that are not in the ledger yet, so they must stay.
		witnesses = p.witnesses
	}
	grant, serial := p.grant, p.serial+1
	if grant == "" {
		p.grantCount++
		grant, serial = w.grantID(budget, p.grantCount), 1
	}
	var minTokens laceunit.Tokens
	if blocking {
		minTokens = max(ceiling-p.free, 0)
	}
	tokens := max(target-p.free, minTokens, 1)
	p.pendingOpen = &laceledger.Open{
		Budget:    budget,
		Grant:     grant,
		Holder:    w.holder,
		Tokens:    tokens,
		MinTokens: minTokens,
		Offline:   w.offlineAllowance(p.free+tokens) + p.offlineSpent,
		Serial:    serial,
		Witnesses: witnesses,
	}
	p.settledSinceOpen = 0
	// An Open that lowers the offline allowance may take effect long before its verdict arrives.
	p.offlineLimit = min(p.offlineLimit, p.pendingOpen.Offline)
	return *p.pendingOpen, true
}

// ApplyOpenVerdict applies the verdict on an Open.
func (w *Wallet) ApplyOpenVerdict(open laceledger.Open, verdict laceledger.Verdict) {
	p := w.holding(open.Budget)
	p.pendingOpen, p.uncertain = nil, false
	switch verdict.Result {
	case laceledger.Accepted, laceledger.Repeated:
		p.available, p.availableKnown = verdict.Available, true
		// The verdict on a top-up can arrive after the grant was dropped; only the first Open of a grant creates it.
		if p.grant == "" && open.Serial == 1 {
			p.grant, p.free, p.offlineLimit, p.offlineSpent, p.reservations = open.Grant, 0, 0, 0, 0
		}
		if p.grant != open.Grant {
			return
		}
		p.serial = open.Serial
		p.witnesses = open.Witnesses
		p.free += verdict.Granted
		// The offline allowance in the ledger is never below the local limit.
		p.offlineLimit = max(verdict.Offline-p.settledSinceOpen, p.offlineLimit)
	case laceledger.InsufficientTokens:
		p.available, p.availableKnown = verdict.Available, true
	case laceledger.Closed:
		w.drop(p, open.Grant)
	default:
	}
}

// OpenFailed handles an attempt to append an Open that was definitely not appended. The Open is discarded, unless an
// earlier attempt may have been appended.
func (w *Wallet) OpenFailed(budget laceunit.BudgetID) {
	p := w.holding(budget)
	if p.uncertain {
		p.resend = true
		return
	}
	p.pendingOpen = nil
}

// OpenUncertain handles an Open that may have been appended; PrepareOpen returns it again, and its serial makes the
// retry idempotent.
func (w *Wallet) OpenUncertain(budget laceunit.BudgetID) {
	p := w.holding(budget)
	p.resend, p.uncertain = p.pendingOpen != nil, p.pendingOpen != nil
}

// Drop deletes a grant that the ledger has closed.
func (w *Wallet) Drop(budget laceunit.BudgetID, grant laceunit.GrantID) {
	w.drop(w.holding(budget), grant)
}

// Available returns the unreserved tokens of a budget, and how many of them may be spent offline.
func (w *Wallet) Available(budget laceunit.BudgetID) (free, offline laceunit.Tokens) {
	p, ok := w.holdings[budget]
	if !ok {
		return 0, 0
	}
	return p.free, p.offlineAvailable()
}

// Witnesses returns the witnesses of a grant: the instances that hold copies of the journal entries spent under it.
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
	p.grant, p.free, p.offlineLimit, p.offlineSpent, p.reservations, p.serial, p.witnesses, p.transferredOut =
		"", 0, 0, 0, 0, 0, nil, false
	if p.pendingReturn != nil && p.pendingReturn.Grant == grant {
		p.pendingReturn, p.resend, p.uncertain = nil, false, false
	}
}

func (w *Wallet) grantID(budget laceunit.BudgetID, number int) laceunit.GrantID {
	return laceunit.GrantID(string(budget) + "/" + w.holder.String() + "/" + laceunit.Tokens(number).String())
}

// offlineAllowance returns how many of a number of tokens may be spent offline.
func (w *Wallet) offlineAllowance(tokens laceunit.Tokens) laceunit.Tokens {
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

func (p *holding) hasPending() bool {
	return p.pendingOpen != nil || p.pendingReturn != nil
}

// addDemand adds a requested ceiling to the moving average of demand.
func (p *holding) addDemand(now time.Time, ceiling laceunit.Tokens) {
	p.demand = p.currentDemand(now) + float64(ceiling)/demandTimeConstant.Seconds()
	p.demandUpdatedAt, p.lastDemandAt = now, now
}

// currentDemand returns the exponential moving average of requested tokens per second.
func (p *holding) currentDemand(now time.Time) float64 {
	if p.demandUpdatedAt.IsZero() {
		return 0
	}
	age := max(now.Sub(p.demandUpdatedAt).Seconds(), 0)
	return p.demand * math.Exp(-age/demandTimeConstant.Seconds())
}
