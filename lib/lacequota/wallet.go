package lacequota

import (
	"math"
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// DefaultShare is the fraction of an account's remaining tokens that all instances together hold. It is a compromise
// between two losses: tokens that are held are lost when machines lose power, and tokens that are not held can't be
// spent while the store is unreachable. Measured on both sites with 0.25, 0.3, 0.35 and 0.5 (docs/platform.md,
// budgets).
const DefaultShare = 0.25

const (
	// outageDuration is how long the headroom lasts without the store at the recent demand. Partitions of 9 s are
	// usual, and the rate is an average over requests whose sizes vary widely.
	outageDuration = 10 * time.Second
	// rateWindow is the time constant of the exponentially decaying average of the demand.
	rateWindow = 8 * time.Second
	// CeilingTTL is how long after its last report an instance spends no more than its ceiling. A process that starts
	// on the same machine within that time knows that its predecessor stayed below the ceiling and reclaims the tokens
	// above it. A restart takes one to two seconds and reports are a second apart.
	CeilingTTL = 4 * time.Second
	// ceilingDuration is how long a ceiling lasts at the recent rate; it must be longer than CeilingTTL.
	ceilingDuration = CeilingTTL + 500*time.Millisecond
	// drainDuration is how long the headroom of a draining instance lasts; the next update follows well within that
	// time.
	drainDuration = time.Second
	// evenFraction of the headroom is divided evenly, for clients that switch to another instance during an outage. The
	// rest is divided by demand, since many accounts use one instance only.
	evenFraction = 0.1
	// lossWeight is how strongly the lost part of an account reduces its headroom later, and minLossFactor the lower
	// bound of the resulting factor. Machines that fail in one partition are likely to fail in the next. The lower
	// bound is reached when a third of the account is lost.
	lossWeight    = 2
	minLossFactor = 0.3
	// workingDuration and workingRequests are the time and the number of largest requests that the headroom of an
	// account with requests covers at least.
	workingDuration = time.Second
	workingRequests = 3
	// workingFraction bounds the part of an account's remaining tokens that this minimum takes over all instances;
	// standbyWorkingFraction is the bound in a fleet where most instances are on standby. Each active instance then has
	// many more clients, which would all wait for an update.
	workingFraction        = 0.2
	standbyWorkingFraction = 0.5
	// combinedOutageDuration and combinedWorkingRequests replace outageDuration and workingRequests where one instance
	// writes the budgets for all: tokens are drawn within milliseconds while the writer reaches the store, so that only
	// partitions of 8 s to 9 s are to be covered.
	combinedOutageDuration  = 9 * time.Second
	combinedWorkingRequests = 1
	// soleOutageDuration and soleShare replace outageDuration and the fleet's share there for an account that only one
	// instance uses: what it holds is missing nowhere else, and it can't borrow during a partition.
	soleOutageDuration = 15 * time.Second
	soleShare          = 0.6
	// combinedCeilingRequests replaces largeRequests for ceilings there. A ceiling that is reached has to be written
	// again while requests wait.
	combinedCeilingRequests = 2
	// idleDuration is how long after its last request an account's headroom is kept in such a fleet.
	idleDuration = 10 * time.Second
	// largeRequests is how many requests of the largest recent size the headroom covers in addition to the average.
	largeRequests = 1
)

// Verdict is the result of a reservation.
type Verdict int

// The verdicts.
const (
	// Reserved means that the tokens are reserved; Settle must follow.
	Reserved Verdict = iota + 1
	// Insufficient means that this instance's cap does not cover the request; an update or a loan may raise it.
	Insufficient
	// Exhausted means that the account does not have enough tokens left in the whole fleet.
	Exhausted
)

// Wallet tracks what one instance may spend of each account; it is a state machine without clock, store or locks.
type Wallet struct {
	// keepsNothing is true while all tokens that are not reserved are lent to instances that ask for them.
	keepsNothing bool
	self         laceunit.Holder
	share        float64
	// startedAt is when this process started; its predecessor on the same machine had ended by then.
	startedAt Instant
	// era is the newest era of the store that the instance knows.
	era      laceplatform.Era
	portions map[laceunit.AccountID]*portion
}

// portion is the instance's part of one account.
type portion struct {
	// configured is true once a configuration has set what the account paid; before that nothing may be spent.
	configured bool
	paid       laceunit.Tokens
	prepaid    bool
	version    laceunit.Version
	// cap bounds used plus reserved. It never exceeds the stored cap of this incarnation plus chargedElsewhere.
	cap laceunit.Tokens
	// ceilings bound the same for some time after each write or proposal was sent.
	ceilings ceilings
	// sentAt is when the newest of them was sent.
	sentAt Instant
	// paidBasis is what was paid when the sum of all caps was last known not to exceed it.
	paidBasis laceunit.Tokens
	// chargedElsewhere is the part of cap that is counted as spent outside the stored allocation of this incarnation:
	// by another instance that considered this one ended, by a lender, or because this instance closed its allocation.
	chargedElsewhere laceunit.Tokens
	// charges are the last additions to chargedElsewhere, which a restored store may lack.
	charges []charge
	// era is the era in which the store last confirmed the allocation.
	era laceplatform.Era

	// borrowed is the sum of all loans from other instances.
	borrowed laceunit.Tokens

	// used includes what was lent to other instances.
	used     laceunit.Tokens
	reserved laceunit.Tokens
	// unmet is the largest reservation that the cap did not cover since the last update.
	unmet laceunit.Tokens
	// waiting is the sum of the reservations that wait for an update.
	waiting laceunit.Tokens
	// reported is the value of used in the last update that the store confirmed.
	reported laceunit.Tokens
	// sentUsed is the value of used in the newest proposal.
	sentUsed laceunit.Tokens
	// othersSpent is the lower bound of what other instances had spent at the last update.
	othersSpent laceunit.Tokens
	updatedAt   time.Time
	// lost is what ended incarnations held and had not reported as spent; unallocated is what no instance held.
	lost        laceunit.Tokens
	unallocated laceunit.Tokens
	// usedElsewhere is true if other instances also have demand for the account and therefore hold a part of it.
	usedElsewhere bool
	// updateDue is true if an update should follow soon.
	updateDue bool
	// allocated is true if the stored budget is known to have an allocation of this incarnation.
	allocated bool
	// shortUntil is until when other instances count as lacking tokens of the account, which are not held idle here.
	shortUntil time.Time
	// unavailableAt is when a writer last answered that the account lacks the tokens that requests need.
	unavailableAt time.Time
	// checkedAt is when it was last computed whether a proposal is due.
	checkedAt time.Time
	// lenders are the instances that held the most unspent tokens at the last answer of a writer.
	lenders []laceunit.InstanceID
	// standing is the state of the account at the last update.
	standing Standing
	// demand is the exponentially decayed sum of requested tokens as of demandAt.
	demand   float64
	demandAt time.Time
	// firstRequest is the time of the first request.
	firstRequest time.Time
	// largestRequest is the decayed size of the largest request.
	largestRequest float64
}

// recordDemand adds the tokens of a request to the demand.
func (p *portion) recordDemand(now time.Time, tokens laceunit.Tokens) {
	if p.firstRequest.IsZero() {
		p.firstRequest, p.demandAt = now, now
	}
	decay := p.decay(now)
	p.demand = p.demand*decay + float64(tokens)
	p.largestRequest = max(p.largestRequest*decay, float64(tokens))
	p.demandAt = now
}

// decay is the weight of earlier demand at a later time.
func (p *portion) decay(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(p.demandAt)) / float64(rateWindow))
}

// need is how many tokens beyond its spend and reservations an instance needs for the requests that are not covered.
func (p *portion) need() laceunit.Tokens { return max(p.unmet, p.waiting) }

// rate is the recent demand in tokens per second. Shortly after the first request, the sum covers less than the whole
// window.
func (p *portion) rate(now time.Time) laceunit.Tokens {
	if p.firstRequest.IsZero() {
		return 0
	}
	age := max(now.Sub(p.firstRequest), minRateWindow)
	covered := rateWindow.Seconds() * (1 - math.Exp(-float64(age)/float64(rateWindow)))
	return laceunit.Tokens(p.demand * p.decay(now) / covered)
}

// minRateWindow keeps a single early request from counting as a high rate.
const minRateWindow = 2 * time.Second

// NewWallet returns an empty wallet of a process started at startedAt; share is the fraction of an account's remaining
// tokens that the fleet holds.
func NewWallet(self laceunit.Holder, share float64, startedAt Instant) *Wallet {
	return &Wallet{
		self:      self,
		share:     share,
		startedAt: startedAt,
		portions:  map[laceunit.AccountID]*portion{},
	}
}

// SetPaid sets the total that an account may consume. A lower total scales the cap down at once. As all instances do
// so, the sum of the scaled caps does not exceed the new total.
func (w *Wallet) SetPaid(account laceunit.AccountID, total laceunit.Tokens, prepaid bool, version laceunit.Version) {
	p := w.portion(account)
	if version < p.version {
		return
	}
	p.version = version
	if p.paid != total || p.prepaid != prepaid {
		p.updateDue = true
	}
	p.paid, p.prepaid, p.configured = total, prepaid, true
}

// adoptTotal applies a total that another instance has from a newer configuration. It does nothing before the first
// configuration, as the instance would not know whether the account is prepaid.
func (p *portion) adoptTotal(total laceunit.Tokens, version laceunit.Version) {
	if !p.configured || version <= p.version {
		return
	}
	p.updateDue = p.updateDue || p.paid != total
	p.paid, p.version = total, version
}

// Reserve reserves the maximum that a request may consume.
func (w *Wallet) Reserve(now time.Time, at Instant, account laceunit.AccountID, maxTokens laceunit.Tokens) Verdict {
	w.portion(account).recordDemand(now, maxTokens)
	return w.RetryReserve(now, at, account, maxTokens)
}

// RetryReserve repeats Reserve for a waiting request, whose demand is already recorded.
func (w *Wallet) RetryReserve(
	now time.Time, at Instant, account laceunit.AccountID, maxTokens laceunit.Tokens,
) Verdict {
	p := w.portion(account)
	if !p.configured {
		return Insufficient
	}
	if !p.prepaid || p.used+p.reserved+maxTokens <= w.limit(p, at) {
		p.reserved += maxTokens
		return Reserved
	}
	if !p.updatedAt.IsZero() && now.Sub(p.updatedAt) < maxSpentAge &&
		p.othersSpent+p.used+p.reserved+maxTokens > p.paid {
		return Exhausted
	}
	p.unmet = max(p.unmet, maxTokens)
	return Insufficient
}

// AddWaiting adds the tokens of a request that waits for an update; a negative number removes them.
func (w *Wallet) AddWaiting(account laceunit.AccountID, tokens laceunit.Tokens) {
	w.portion(account).waiting += tokens
}

// maxSpentAge is the maximum age of the fleet's known spend for a verdict of Exhausted. Spend only grows, so staleness
// matters only if the total was raised in the meantime.
const maxSpentAge = 2 * time.Second

// Settle replaces a reservation by what was consumed.
func (w *Wallet) Settle(account laceunit.AccountID, maxTokens, consumed laceunit.Tokens) {
	p := w.portion(account)
	p.reserved -= maxTokens
	p.used += min(max(consumed, 0), maxTokens)
}

// limit is what may be spent in total at a point in time: the ceiling until CeilingTTL after the latest update,
// otherwise the cap. It is scaled down if the total is lower than the one that the cap is based on.
func (w *Wallet) limit(p *portion, at Instant) laceunit.Tokens {
	limit := p.ceilings.limit(at, p.cap)
	if p.paid >= p.paidBasis {
		return limit
	}
	return laceunit.Tokens(float64(limit) * (float64(p.paid) / float64(p.paidBasis)))
}

func (w *Wallet) portion(account laceunit.AccountID) *portion {
	p := w.portions[account]
	if p == nil {
		p = &portion{}
		w.portions[account] = p
	}
	return p
}

// Urgent reports whether an account needs an update soon: what was paid has changed, or an update may raise the limit
// and a request was not covered or the limit is nearly used up.
func (w *Wallet) Urgent(at Instant, account laceunit.AccountID) bool {
	p := w.portions[account]
	if p == nil || !p.prepaid {
		return false
	}
	limit := w.limit(p, at)
	low := limit-p.used-p.reserved < (limit-p.reported)/lowDivisor
	return p.updateDue || (p.canGrow() && (p.unmet > 0 || low && p.used != p.reported))
}

// canGrow reports whether an update may raise the limit: there was none yet, some tokens were unallocated, or the
// ceiling is below the cap.
func (p *portion) canGrow() bool {
	return p.updatedAt.IsZero() || p.unallocated > 0 || p.ceilings.below(p.cap)
}

// CanGrow reports whether an update may raise the limit of an account.
func (w *Wallet) CanGrow(account laceunit.AccountID) bool { return w.portion(account).canGrow() }

// Due returns the accounts to update: the urgent ones, and others that have changed since their last update if that is
// at least minAge old, or whose last update is so old that other instances may need the tokens held here.
func (w *Wallet) Due(
	now time.Time, at Instant, minAge time.Duration, policy HeadroomPolicy,
) (urgent, others []laceunit.AccountID) {
	for _, a := range w.Accounts() {
		p := w.portions[a]
		age := now.Sub(p.updatedAt)
		empty := p.cap <= p.used && p.used == p.reported
		switch {
		case !p.prepaid:
		case w.mustRestate(p):
			urgent = append(urgent, a)
		case p.unmet > 0 && p.canGrow():
			urgent = append(urgent, a)
		case empty && (policy >= HeadroomMinimal || policy == HeadroomIfRequested && p.firstRequest.IsZero()):
			// There is nothing to return and nothing to report.
		case w.Urgent(at, a) && !p.updateDue && age >= minAge/2:
			urgent = append(urgent, a)
		case p.updateDue, policy >= HeadroomMinimal, p.used != p.reported && age >= minAge, age >= idleAgeFactor*minAge:
			others = append(others, a)
		}
	}
	return urgent, others
}

// idleAgeFactor times minAge is the time between updates of an account without requests.
const idleAgeFactor = 6

// lowDivisor sets the part of the headroom, one third, below which the next update is due early.
const lowDivisor = 3

// State is a snapshot of an account as seen by this instance, for logs and metrics.
type State struct {
	Paid     laceunit.Tokens
	Cap      laceunit.Tokens
	Used     laceunit.Tokens
	Reserved laceunit.Tokens
	// OthersSpent is the lower bound of what other instances had spent at the last update.
	OthersSpent laceunit.Tokens
	// Lost is what ended instances held and had not reported as spent.
	Lost laceunit.Tokens
	// Unallocated is what no instance held after the last update.
	Unallocated laceunit.Tokens
	// UsedElsewhere is true if other instances hold a part of the account for their own clients.
	UsedElsewhere bool
	UpdatedAt     time.Time
}

// State returns the state of an account.
func (w *Wallet) State(account laceunit.AccountID) State {
	p := w.portion(account)
	return State{
		Paid:          p.paid,
		Cap:           p.cap,
		Used:          p.used,
		Reserved:      p.reserved,
		OthersSpent:   p.othersSpent,
		Lost:          p.lost,
		Unallocated:   p.unallocated,
		UsedElsewhere: p.usedElsewhere,
		UpdatedAt:     p.updatedAt,
	}
}
