package lacequota

import (
	"maps"
	"slices"
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// Update is a planned change of some budgets: the state to write and the local state to apply once it is written.
// Metrics and logs call it a draw.
type Update struct {
	Budgets Budgets
	// era is the era of the store that the update was planned for.
	era    laceplatform.Era
	grants map[laceunit.AccountID]grant
}

// grant is the state of one account that Commit applies locally.
type grant struct {
	cap     laceunit.Tokens
	ceiling laceunit.Tokens

	chargedElsewhere laceunit.Tokens
	// borrowed is the sum of the loans that the other fields include.
	borrowed laceunit.Tokens

	used        laceunit.Tokens
	othersSpent laceunit.Tokens
	paid        laceunit.Tokens
	lost        laceunit.Tokens
	unallocated laceunit.Tokens
	// usedElsewhere is true if other instances also have demand for the account.
	usedElsewhere bool
	// withinPaid is true if the sum of all caps does not exceed what was paid.
	withinPaid bool
	// allocated is true if the stored budget has an allocation of this instance.
	allocated bool
	// unconfirmed is true if no cap could be raised, as the budget may lack what others hold.
	unconfirmed bool
	standing    Standing
	sentAt      Instant
}

// HeadroomPolicy selects how many tokens an instance holds beyond its spend and reservations.
type HeadroomPolicy int

// The headroom policies, from the highest headroom to the lowest.
const (
	// HeadroomShare is the instance's share by demand.
	HeadroomShare HeadroomPolicy = iota
	// HeadroomIfRequested is HeadroomShare for accounts that had requests here and nothing for the others. It is used
	// by an instance that receives only some clients.
	HeadroomIfRequested
	// HeadroomMinimal covers a short time, for an instance that clients are leaving.
	HeadroomMinimal
	// HeadroomPending covers only the waiting requests, for an instance that clients do not use.
	HeadroomPending
	// HeadroomNone returns everything that is neither spent nor reserved.
	HeadroomNone
)

// Plan computes an update of the budgets of some accounts. Lower caps take effect at once, before the update is
// written; higher ones take effect in Commit. Holders that have ended are counted as spent.
func (w *Wallet) Plan(
	now time.Time, at Instant, budgets Budgets, accounts []laceunit.AccountID, fleet Fleet, policy HeadroomPolicy,
) Update {
	u := Update{
		Budgets: Budgets{ByAccount: make(map[laceunit.AccountID]Budget, len(accounts))},
		era:     w.era,
		grants:  make(map[laceunit.AccountID]grant, len(accounts)),
	}
	for _, a := range accounts {
		p := w.portion(a)
		if !p.prepaid {
			continue
		}
		sentAt := p.sentAt.after(at)
		b, g := w.planAccount(now, sentAt, p, budgets.ByAccount[a], fleet, policy)
		u.Budgets.ByAccount[a], u.grants[a] = b, g
		p.cap, p.ceilings, p.sentAt = min(p.cap, g.cap), p.ceilings.sent(sentAt, g.ceiling), sentAt
	}
	return u
}

// Fleet is the current membership as this instance sees it.
type Fleet struct {
	// ActiveCount is the number of instances that serve clients.
	ActiveCount int
	// HasStandby is true if there are also standby instances.
	HasStandby bool
	// Combined is true if one instance writes the budgets for all, so that tokens are drawn within milliseconds and
	// little has to be held.
	Combined bool
	// Live reports whether an incarnation is a member.
	Live func(laceunit.Holder) bool
	// Ended reports whether an incarnation is known to have ended for good.
	Ended func(laceunit.Holder) bool
	// Unconfirmed reports whether a budget may lack what others hold, since the store was restored; nil means never.
	Unconfirmed func(Budget) bool
}

func (w *Wallet) planAccount(
	now time.Time, at Instant, p *portion, b Budget, fleet Fleet, policy HeadroomPolicy,
) (Budget, grant) {
	b, unconfirmed, restating := w.prepare(p, b, fleet)
	st := b.standing(w.self, fleet.Live)
	chargedElsewhere := p.chargedElsewhere
	if !st.Found || st.Own.Cap < p.cap-p.chargedElsewhere {
		// Either this instance had no allocation, or another instance considered it ended and counted its cap as spent.
		// Those tokens stay usable here. A cap below the own one is that of an older proposal that was stored after that.
		chargedElsewhere = p.cap
	}
	minCap := max(p.used+p.reserved-chargedElsewhere, 0)
	othersCommitted := st.Committed - st.Own.Cap
	p.adoptTotal(st.Paid, st.Version)
	paid := p.paid
	b.Paid, b.Version = paid, p.version
	available := max(paid-othersCommitted, 0)
	newCap := capBounds{
		least:       minCap,
		headroom:    w.headroom(now, p, st, fleet, policy),
		available:   available,
		held:        p.cap - chargedElsewhere,
		stored:      st.Own.Cap,
		unconfirmed: unconfirmed,
		restating:   restating,
	}.cap()
	ceiling := min(minCap+max(w.softLimit(now, p, newCap, fleet), p.need()), newCap)
	allocation := Allocation{
		Cap:     newCap,
		Used:    max(p.used-chargedElsewhere, 0),
		Rate:    p.rate(now),
		Ceiling: ceiling,
		SentAt:  at,
		Era:     w.era,
	}
	allocated, isClosed := newCap, false
	if policy == HeadroomPending && allocation.Cap == allocation.Used && !unconfirmed {
		// Nothing is left to spend, so the stored budget needs no allocation of this instance.
		b = b.withClosed(w.self, allocation)
		chargedElsewhere, newCap, ceiling, isClosed = chargedElsewhere+newCap, 0, 0, true
	} else {
		b = b.withAllocation(w.self, allocation)
	}
	return b, grant{
		cap:              newCap + chargedElsewhere,
		ceiling:          ceiling + chargedElsewhere,
		chargedElsewhere: chargedElsewhere,

		borrowed: p.borrowed,

		used:          p.used,
		othersSpent:   st.Spent - st.Own.Used,
		paid:          paid,
		lost:          b.lost(),
		unallocated:   max(available-allocated, 0),
		usedElsewhere: st.OthersRate > 0,
		withinPaid:    othersCommitted+allocated <= paid,
		allocated:     !isClosed,
		unconfirmed:   unconfirmed,
		standing:      b.standing(w.self, fleet.Live),
		sentAt:        at,
	}
}

// prepare returns the budget that the own allocation is changed in, whether it may lack what others hold, and whether it
// may lack what this instance holds.
func (w *Wallet) prepare(p *portion, b Budget, fleet Fleet) (_ Budget, unconfirmed, restating bool) {
	b = b.beginEra(w.era, 0)
	unconfirmed = fleet.Unconfirmed != nil && fleet.Unconfirmed(b)
	if !unconfirmed {
		b = w.closeEnded(b, fleet)
		b.Era = max(b.Era, w.era)
	}
	own, found := b.Allocations[w.self]
	// A write of an earlier era that the store executed late may have replaced a later allocation.
	restating = p.era < w.era || found && own.Era < p.era || !found && unconfirmed
	if restating {
		b = w.restate(b, p)
	}
	return b, unconfirmed, restating
}

// capBounds are what a new cap depends on.
type capBounds struct {
	// least is what is spent or reserved, headroom what is to be held beyond that, available what others leave.
	least, headroom, available laceunit.Tokens
	// held is the present cap, stored the one in the stored budget.
	held, stored laceunit.Tokens
	// unconfirmed is true if the budget may lack what others hold, restating if it may lack the own allocation.
	unconfirmed, restating bool
}

// cap returns the new cap.
func (c capBounds) cap() laceunit.Tokens {
	if c.unconfirmed {
		// What is held was granted before the store was restored and is kept, whatever the budget shows.
		return min(c.least+c.headroom, max(c.held, c.least))
	}
	// Tokens that are spent or reserved can't be returned, regardless of what other instances hold.
	newCap := max(min(c.least+c.headroom, c.available), c.least)
	if newCap <= c.available {
		return newCap
	}
	// While the sum of the caps exceeds what was paid, the cap must not be raised; lowering it is always safe.
	present := c.stored
	if c.restating {
		// The restored budget may show a cap that was returned since, and that others hold now.
		present = c.held
	}
	return min(newCap, max(present, c.least))
}

// headroom returns how many tokens beyond its spend and reservations an instance holds under a policy.
func (w *Wallet) headroom(
	now time.Time, p *portion, st Standing, fleet Fleet, policy HeadroomPolicy,
) laceunit.Tokens {
	othersSpent := st.Spent - st.Own.Used
	remaining := max(p.paid-othersSpent-st.Lost-p.used-p.reserved, 0)
	share := w.demandShare(now, p, st.OthersRate, w.fleetHeadroom(remaining, st.Lost, p.paid), fleet)
	share = max(share, p.workingHeadroom(now, lossFactor(st.Lost, p.paid)*float64(remaining), fleet))
	if fleet.Combined && now.Sub(p.demandAt) >= idleDuration {
		share = 0
	}
	share = max(share, p.need())
	minimal := min(share, max(laceunit.Tokens(drainDuration.Seconds()*float64(p.rate(now))+p.largestRequest), p.need()))
	switch {
	case policy == HeadroomNone:
		return 0
	case policy == HeadroomPending, policy == HeadroomIfRequested && p.firstRequest.IsZero():
		return p.need()
	case policy == HeadroomMinimal, now.Before(p.shortUntil):
		return minimal
	default:
		return share
	}
}

// softLimit is how much of the headroom an instance may spend until CeilingTTL has passed. While the rate is not known
// yet, there is no soft limit, unless a higher one is a matter of milliseconds.
func (w *Wallet) softLimit(now time.Time, p *portion, newCap laceunit.Tokens, fleet Fleet) laceunit.Tokens {
	requests := float64(largeRequests)
	if fleet.Combined {
		requests = combinedCeilingRequests
	} else if now.Sub(p.firstRequest) < rateWindow {
		return newCap
	}
	return laceunit.Tokens(ceilingDuration.Seconds()*float64(p.rate(now)) + requests*p.largestRequest)
}

// closeEnded counts the holders that have ended as spent. The previous process on this machine ended before this one
// started; if it had reported less than CeilingTTL before that, it can't have spent more than its ceiling.
func (w *Wallet) closeEnded(b Budget, fleet Fleet) Budget {
	return b.closeEnded(func(h laceunit.Holder, x Allocation) (laceunit.Tokens, bool) {
		switch {
		case h == w.self:
			return 0, false
		case h.Instance != w.self.Instance:
			return x.Cap, fleet.Ended(h)
		default:
			return x.maxSpentBefore(w.startedAt), true
		}
	})
}

// fleetHeadroom is how much of an account's remaining tokens all instances together hold.
func (w *Wallet) fleetHeadroom(remaining, lost, paid laceunit.Tokens) float64 {
	return w.share * lossFactor(lost, paid) * float64(remaining)
}

// lossFactor is the factor by which earlier losses reduce the headroom.
func lossFactor(lost, paid laceunit.Tokens) float64 {
	return max(1-lossWeight*float64(lost)/float64(max(paid, 1)), minLossFactor)
}

// demandShare is the instance's share of the fleet's headroom, divided by demand and capped at what an outage needs.
func (w *Wallet) demandShare(
	now time.Time, p *portion, othersRate laceunit.Tokens, fleetHeadroom float64, fleet Fleet,
) laceunit.Tokens {
	ownRate := p.rate(now)
	if fleet.Combined {
		duration := combinedOutageDuration
		if othersRate == 0 {
			duration, fleetHeadroom = soleOutageDuration, fleetHeadroom*max(soleShare/w.share, 1)
		}
		share := fleetHeadroom * float64(ownRate) / float64(max(ownRate+othersRate, 1))
		return laceunit.Tokens(min(share, duration.Seconds()*float64(ownRate)+largeRequests*p.largestRequest))
	}
	even := fleetHeadroom / float64(max(fleet.ActiveCount, 1))
	if ownRate+othersRate == 0 {
		return laceunit.Tokens(even)
	}
	share := evenFraction*even + (1-evenFraction)*fleetHeadroom*float64(ownRate)/float64(ownRate+othersRate)
	// Request sizes vary widely, so a few of the largest have to fit in addition to the average.
	enough := outageDuration.Seconds()*float64(ownRate) + largeRequests*p.largestRequest
	if now.Sub(p.firstRequest) < rateWindow {
		// The rate is not known yet. What the first instances hold is unavailable elsewhere only for a few seconds.
		enough = max(enough, even)
	}
	return laceunit.Tokens(max(min(share, enough), evenFraction*even))
}

// workingHeadroom is what an instance needs for an account with requests so that not every request waits for an update:
// a few of the largest requests and the demand until the next update. In a small account it is bounded by the
// instance's even share.
func (p *portion) workingHeadroom(now time.Time, remaining float64, fleet Fleet) laceunit.Tokens {
	fraction := workingFraction
	if fleet.HasStandby {
		fraction = standbyWorkingFraction
	}
	requests := float64(workingRequests)
	if fleet.Combined {
		requests = combinedWorkingRequests
	}
	need := workingDuration.Seconds()*float64(p.rate(now)) + requests*p.largestRequest*p.decay(now)
	return laceunit.Tokens(min(need, fraction*remaining/float64(max(fleet.ActiveCount, 1))))
}

// Commit applies an update that the store has written.
func (w *Wallet) Commit(now time.Time, u Update) {
	if u.era != w.era {
		// The store may have lost the write.
		return
	}
	for a, g := range u.grants {
		p := w.portion(a)
		if p.sentAt != g.sentAt {
			// A newer write or proposal is on its way and may lower the stored cap.
			continue
		}
		// Loans that were received during the call are not part of the update.
		loans := p.borrowed - g.borrowed
		p.charge(now, g.chargedElsewhere+loans-p.chargedElsewhere)
		p.cap = g.cap + loans
		p.era = u.era
		p.ceilings = ceilings(nil).sent(g.sentAt, g.ceiling+loans)
		p.reported, p.othersSpent, p.updatedAt = g.used, g.othersSpent, now
		p.lost, p.unallocated, p.usedElsewhere = g.lost, g.unallocated, g.usedElsewhere
		p.unmet, p.updateDue, p.allocated, p.standing = 0, false, g.allocated, g.standing
		if g.withinPaid {
			p.paidBasis = g.paid
		}
		if g.unconfirmed {
			// Requests take loans meanwhile; the next regular update may find the budget confirmed.
			p.unallocated, p.updateDue = 0, true
		}
		if p.paid != g.paid {
			// A new configuration arrived during the call.
			p.updateDue = true
		}
	}
}

// Accounts returns the accounts of the wallet in order.
func (w *Wallet) Accounts() []laceunit.AccountID {
	return slices.Sorted(maps.Keys(w.portions))
}
