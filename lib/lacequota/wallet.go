package lacequota

import (
	"math"
	"time"

	"lacewingcove/lib/laceunit"
)

// DefaultShare is the part of what an account has left that all instances together hold. It is the compromise between
// two losses: what is held is gone when machines lose power, and what is not held can't be spent while the store is out of
// reach. Measured on both sites with 0.25, 0.3, 0.35 and 0.5 (docs/platform.md, budgets).
const DefaultShare = 0.25

const (
	// cover is how long a holding lasts without the store at the rate at which callers asked lately. Partitions of 9 s
	// are usual, and the rate is an average over requests of very unequal size.
	cover = 10 * time.Second
	// rateTime is the time over which the rate is averaged.
	rateTime = 8 * time.Second
	// Patience is how long after its last report an instance keeps below its ceiling. A process that starts on the same
	// machine within that time knows that the one before it did, and gets back what lay above. A restart takes one to
	// two seconds and reports are a second apart.
	CeilingTTL = 4 * time.Second
	// ceilingTime is how long a ceiling lasts at the recent rate; it has to bridge Patience.
	ceilingTime = CeilingTTL + 500*time.Millisecond
	// leaveTime is how long what a stopping instance keeps lasts; it draws again well within that.
	leaveTime = time.Second
	// evenPart is divided evenly; the rest follows demand, since many accounts use one instance only. It serves callers
	// that change the instance during an outage.
	evenPart = 0.1
	// lossWeight is how strongly the lost part of an account lowers what is held of it later, and leastCaution the part of
	// the share that stays. Machines that die in one partition are likely to die in the next; at a third of the account
	// lost, the share is at its least.
	lossWeight   = 2
	leastCaution = 0.3
	// workingTime and workingLumps are the least that a holding covers where callers ask for an account.
	workingTime  = time.Second
	workingLumps = 3
	// workingPart is the part of an account's rest that all such holdings take at most, busyPart the same in a fleet of
	// which most instances stand by: the active ones have many more callers each, who would all wait for a draw.
	workingPart = 0.2
	busyPart    = 0.5
	// lumps is how many requests of the largest recent size a holding covers beside the average.
	lumps = 1
)

// Verdict is the answer to a reservation.
type Verdict int

// The verdicts.
const (
	// Held means that the tokens are reserved; Settle must follow.
	Reserved Verdict = iota + 1
	// Short means that this instance's cap does not cover the request; a draw may.
	Insufficient
	// Spent means that the account has not enough left at any instance.
	Exhausted
)

// Wallet is what one instance may spend; it is a state machine without clock, store or locks.
type Wallet struct {
	self  laceunit.Holder
	share float64
	// born is the start of this process: the one before it on the same machine had ended by then.
	born   Instant
	purses map[laceunit.AccountID]*purse
}

// purse is the instance's part of one account.
type purse struct {
	// configured is true once a configuration has told what the account paid; before that nothing may be spent.
	configured bool
	paid       laceunit.Tokens
	prepaid    bool
	version    laceunit.Version
	// cap bounds used plus reserved; it is never above what the store holds for this incarnation plus folded.
	cap laceunit.Tokens
	// ceiling bounds the same until Patience after the newest change was sent, whether that was answered or not.
	ceiling laceunit.Tokens
	sent    Instant
	// basis is what was paid when the sum of the caps was last seen to respect it.
	basis laceunit.Tokens
	// folded is the part of cap that another instance has counted as spent because it took this one for ended.
	folded laceunit.Tokens

	// borrowed is the sum of all loans from other instances.
	borrowed laceunit.Tokens

	// used includes what was lent to other instances.
	used     laceunit.Tokens
	reserved laceunit.Tokens
	// wanted is the largest reservation that the cap did not cover since the last draw.
	wanted laceunit.Tokens
	// reported is the spend that the store knows of.
	reported laceunit.Tokens
	// others is the least that the other instances had spent at the last draw.
	others laceunit.Tokens
	drawn  time.Time
	// lost is what ended incarnations held and had not reported as spent, free what no instance held.
	lost laceunit.Tokens
	free laceunit.Tokens
	// spread is true when callers use the account at other instances as well, which then hold a part of it.
	spread bool
	// due is true when the store should be asked soon.
	due bool
	// asked is the decayed sum of what callers asked for, up to the moment at.
	asked float64
	at    time.Time
	// began is the first request's moment.
	began time.Time
	// lump is the decayed size of the largest request.
	lump float64
}

// ask adds a request's tokens to the rate.
func (p *purse) ask(now time.Time, tokens laceunit.Tokens) {
	if p.began.IsZero() {
		p.began, p.at = now, now
	}
	fade := p.fade(now)
	p.asked = p.asked*fade + float64(tokens)
	p.lump = max(p.lump*fade, float64(tokens))
	p.at = now
}

// fade is what is left of older requests.
func (p *purse) fade(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(p.at)) / float64(rateTime))
}

// rate is how many tokens a second callers lately asked for. Shortly after the first request the sum covers less than
// the whole time.
func (p *purse) rate(now time.Time) laceunit.Tokens {
	if p.began.IsZero() {
		return 0
	}
	age := max(now.Sub(p.began), leastRateTime)
	covered := rateTime.Seconds() * (1 - math.Exp(-float64(age)/float64(rateTime)))
	return laceunit.Tokens(p.asked * p.fade(now) / covered)
}

// leastRateTime keeps one early request from looking like a high rate.
const leastRateTime = 2 * time.Second

// NewWallet returns an empty wallet of a process that started at a moment; share is the part of an account's rest that
// the fleet holds.
func NewWallet(self laceunit.Holder, share float64, born Instant) *Wallet {
	return &Wallet{
		self:   self,
		share:  share,
		born:   born,
		purses: map[laceunit.AccountID]*purse{},
	}
}

// Paid sets what an account may consume in total. A lower total scales the cap at once, since the other instances do
// the same: the scaled caps sum up to no more than the new total.
func (w *Wallet) SetPaid(account laceunit.AccountID, total laceunit.Tokens, prepaid bool, version laceunit.Version) {
	p := w.purse(account)
	if version < p.version {
		return
	}
	p.version = version
	if p.paid != total || p.prepaid != prepaid {
		p.due = true
	}
	p.paid, p.prepaid, p.configured = total, prepaid, true
}

// learn takes over a total that another instance knows from a newer configuration. Without a configuration of its own the
// instance would not know whether the account is prepaid.
func (p *purse) learn(total laceunit.Tokens, version laceunit.Version) {
	if !p.configured || version <= p.version {
		return
	}
	p.due = p.due || p.paid != total
	p.paid, p.version = total, version
}

// Reserve sets tokens aside for a request at its largest.
func (w *Wallet) Reserve(now time.Time, at Instant, account laceunit.AccountID, most laceunit.Tokens) Verdict {
	w.purse(account).ask(now, most)
	return w.RetryReserve(now, at, account, most)
}

// Again is Reserve for a request that has asked before.
func (w *Wallet) RetryReserve(now time.Time, at Instant, account laceunit.AccountID, most laceunit.Tokens) Verdict {
	p := w.purse(account)
	if !p.configured {
		return Insufficient
	}
	if !p.prepaid || p.used+p.reserved+most <= w.limit(p, at) {
		p.reserved += most
		return Reserved
	}
	if !p.drawn.IsZero() && now.Sub(p.drawn) < spentFresh && p.others+p.used+p.reserved+most > p.paid {
		return Exhausted
	}
	p.wanted = max(p.wanted, most)
	return Insufficient
}

// spentFresh is the age up to which the fleet's spend is taken as known; spend only grows, so that the age matters
// only for a total that was raised meanwhile.
const spentFresh = 2 * time.Second

// Settle ends a reservation with what was consumed.
func (w *Wallet) Settle(account laceunit.AccountID, most, consumed laceunit.Tokens) {
	p := w.purse(account)
	p.reserved -= most
	p.used += min(max(consumed, 0), most)
}

// limit is what may be spent in total at a moment: the ceiling while the store may hold a recent report, else the cap,
// scaled down when the total fell below the one it was drawn under.
func (w *Wallet) limit(p *purse, at Instant) laceunit.Tokens {
	limit := p.cap
	if at.BootID != "" && at.SinceBoot-p.sent.SinceBoot < CeilingTTL {
		limit = min(limit, p.ceiling)
	}
	if p.paid >= p.basis {
		return limit
	}
	return laceunit.Tokens(float64(limit) * (float64(p.paid) / float64(p.basis)))
}

func (w *Wallet) purse(account laceunit.AccountID) *purse {
	p := w.purses[account]
	if p == nil {
		p = &purse{}
		w.purses[account] = p
	}
	return p
}

// Urgent reports whether the store should be asked about an account soon: what was paid has changed, or a request found
// too little or the limit is nearly used up while no instance held all of the rest.
func (w *Wallet) Urgent(at Instant, account laceunit.AccountID) bool {
	p := w.purses[account]
	if p == nil || !p.prepaid {
		return false
	}
	limit := w.limit(p, at)
	low := limit-p.used-p.reserved < (limit-p.reported)/lowPart
	return p.due || (p.hopeful() && (p.wanted > 0 || low && p.used != p.reported))
}

// hopeful reports whether a draw may bring more: some tokens were held by nobody, or the instance holds more than its
// ceiling lets it spend.
func (p *purse) hopeful() bool { return p.drawn.IsZero() || p.free > 0 || p.ceiling < p.cap }

// Hopeful reports whether a draw may bring more for an account.
func (w *Wallet) CanGrow(account laceunit.AccountID) bool { return w.purse(account).hopeful() }

// Due returns the accounts to draw for: those in need, and others that have changed since their last draw when that has
// an age, or whose last draw is so long ago that other instances may need what is held.
func (w *Wallet) Due(now time.Time, at Instant, age time.Duration, keep HeadroomPolicy) (urgent, others []laceunit.AccountID) {
	for _, a := range w.Accounts() {
		p := w.purses[a]
		since := now.Sub(p.drawn)
		empty := p.cap <= p.used && p.used == p.reported
		switch {
		case !p.prepaid:
		case p.wanted > 0 && p.hopeful():
			urgent = append(urgent, a)
		case empty && (keep >= HeadroomMinimal || keep == HeadroomIfRequested && p.began.IsZero()):
			// Nothing is held and nothing is to be told.
		case w.Urgent(at, a) && !p.due && since >= age/2:
			urgent = append(urgent, a)
		case p.due, keep >= HeadroomMinimal, p.used != p.reported && since >= age, since >= quietDraws*age:
			others = append(others, a)
		}
	}
	return urgent, others
}

// quietDraws is how many intervals pass between the draws for an account without requests.
const quietDraws = 6

// lowPart is the part of a holding below which the next draw comes early.
const lowPart = 3

// State is what an instance knows of an account, for logs and metrics.
type State struct {
	Paid     laceunit.Tokens
	Cap      laceunit.Tokens
	Used     laceunit.Tokens
	Reserved laceunit.Tokens
	// Others is the least that other instances had spent at the last draw.
	OthersSpent laceunit.Tokens
	// Lost is what ended instances held without having reported it as spent.
	Lost laceunit.Tokens
	// Free is what no instance held after the last draw.
	Unallocated laceunit.Tokens
	// Spread is true when other instances hold a part of the account for their own callers.
	UsedElsewhere bool
	UpdatedAt     time.Time
}

// State returns what is known of an account.
func (w *Wallet) State(account laceunit.AccountID) State {
	p := w.purse(account)
	return State{
		Paid:          p.paid,
		Cap:           p.cap,
		Used:          p.used,
		Reserved:      p.reserved,
		OthersSpent:   p.others,
		Lost:          p.lost,
		Unallocated:   p.free,
		UsedElsewhere: p.spread,
		UpdatedAt:     p.drawn,
	}
}
