package lacequota

import (
	"maps"
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

// Draw is a change of some budgets that is under way: what to write, and the caps to take on when it is written.
type Update struct {
	Budgets Budgets
	caps    map[laceunit.AccountID]grant
}

type grant struct {
	cap     laceunit.Tokens
	ceiling laceunit.Tokens

	folded laceunit.Tokens
	// borrowed is the sum of the loans that the other fields contain.
	borrowed laceunit.Tokens

	used   laceunit.Tokens
	others laceunit.Tokens
	paid   laceunit.Tokens
	lost   laceunit.Tokens
	free   laceunit.Tokens
	// spread is true when callers use the account at other instances as well.
	spread bool
	// whole is true when the caps of all instances respect what was paid.
	whole bool
}

// Keep tells how much an instance holds beyond its spend.
type HeadroomPolicy int

// The ways of keeping.
const (
	// KeepShare is the instance's part by demand.
	HeadroomShare HeadroomPolicy = iota
	// KeepAsked is the same for accounts that callers have asked for, and nothing of the others, for an instance that
	// only some callers use.
	HeadroomIfRequested
	// KeepLittle is what lasts for a moment, for an instance that callers are leaving.
	HeadroomMinimal
	// KeepWanted is what waiting requests need, for an instance that callers do not use.
	HeadroomPending
	// KeepNothing gives everything back that is neither spent nor reserved.
	HeadroomNone
)

// Plan computes a change of the budgets of some accounts. Caps that fall take effect at once, before the page
// is written; those that rise wait for Commit. The ended holders are counted as spent.
func (w *Wallet) Plan(now time.Time, at Instant, page Budgets, accounts []laceunit.AccountID, fleet Fleet, keep HeadroomPolicy) Update {
	d := Update{
		Budgets: Budgets{ByAccount: make(map[laceunit.AccountID]Budget, len(accounts))},
		caps:    make(map[laceunit.AccountID]grant, len(accounts)),
	}
	for _, a := range accounts {
		p := w.purse(a)
		if !p.prepaid {
			continue
		}
		b, g := w.plan(now, at, p, page.ByAccount[a], fleet, keep)
		d.Budgets.ByAccount[a], d.caps[a] = b, g
		p.cap, p.ceiling, p.sent = min(p.cap, g.cap), min(p.ceiling, g.ceiling), at
	}
	return d
}

// Fleet tells what is known of the instances.
type Fleet struct {
	// Members is how many instances take callers.
	ActiveCount int
	// Busy is true when others stand by.
	HasStandby bool
	// Live reports whether an incarnation is a member.
	Live func(laceunit.Holder) bool
	// Ended reports whether an incarnation is known to be gone for good.
	Ended func(laceunit.Holder) bool
}

func (w *Wallet) plan(now time.Time, at Instant, p *purse, b Budget, fleet Fleet, keep HeadroomPolicy) (Budget, grant) {
	b = w.fold(b, fleet)
	own, known := b.Allocations[w.self]
	folded := p.folded
	if !known {
		// Either nothing was drawn, or another instance has folded the holding; its tokens stay usable here.
		folded = p.cap
	}
	low := max(p.used+p.reserved-folded, 0)
	elsewhere := b.Committed() - own.Cap
	p.learn(b.Paid, b.Version)
	paid := p.paid
	b.Paid, b.Version = paid, p.version
	free := max(paid-elsewhere, 0)
	spent := b.Spent() - own.Used
	rest := max(paid-spent-b.lost()-p.used-p.reserved, 0)
	others := b.Rate(func(h laceunit.Holder) bool { return h != w.self && fleet.Live(h) })
	part := w.hold(now, p, others, w.shared(rest, b.lost(), paid), fleet.ActiveCount)
	part = max(part, p.working(now, caution(b.lost(), paid)*float64(rest), fleet), p.wanted)
	hold := w.keeps(now, p, part, keep)
	goal := min(low+hold, free)
	// What has been spent or reserved can't be given back, whatever the others hold.
	goal = max(goal, low)
	if goal > free {
		// Nothing new may be drawn while the caps exceed what was paid; lowering is always right.
		goal = min(goal, max(own.Cap, low))
	}
	ceiling := min(low+max(w.soft(now, p, goal), p.wanted), goal)
	holding := Allocation{
		Cap:     goal,
		Used:    max(p.used-folded, 0),
		Rate:    p.rate(now),
		Ceiling: ceiling,
		SentAt:  at,
	}
	held := goal
	if keep == HeadroomPending && holding.Cap == holding.Used {
		// Nothing is left to spend, so that the page need not name this instance.
		b = b.closed(w.self, holding)
		folded, goal, ceiling = folded+goal, 0, 0
	} else {
		b = b.with(w.self, holding)
	}
	return b, grant{
		cap:     goal + folded,
		ceiling: ceiling + folded,
		folded:  folded,

		borrowed: p.borrowed,

		used:   p.used,
		others: spent,
		paid:   paid,
		lost:   b.lost(),
		free:   max(free-held, 0),
		spread: others > 0,
		whole:  elsewhere+held <= paid,
	}
}

// keeps returns how much of a part by demand is held.
func (w *Wallet) keeps(now time.Time, p *purse, part laceunit.Tokens, keep HeadroomPolicy) laceunit.Tokens {
	switch {
	case keep == HeadroomNone:
		return 0
	case keep == HeadroomPending, keep == HeadroomIfRequested && p.began.IsZero():
		return p.wanted
	case keep == HeadroomMinimal:
		return min(part, max(laceunit.Tokens(leaveTime.Seconds()*float64(p.rate(now))+p.lump), p.wanted))
	default:
		return part
	}
}

// soft is how much an instance may spend before Patience is over; a rate that is not known yet sets no bound.
func (w *Wallet) soft(now time.Time, p *purse, goal laceunit.Tokens) laceunit.Tokens {
	if now.Sub(p.began) < rateTime {
		return goal
	}
	return laceunit.Tokens(ceilingTime.Seconds()*float64(p.rate(now)) + lumps*p.lump)
}

// fold counts the holders that have ended as spent. The process before this one on the same machine ended before this
// one started; if it had reported shortly before that, it can't have gone beyond its ceiling.
func (w *Wallet) fold(b Budget, fleet Fleet) Budget {
	return b.fold(func(h laceunit.Holder, x Allocation) (laceunit.Tokens, bool) {
		switch {
		case h == w.self:
			return 0, false
		case h.Instance != w.self.Instance:
			return x.Cap, fleet.Ended(h)
		case x.SentAt.Within(w.born, CeilingTTL):
			return min(x.Ceiling, x.Cap), true
		default:
			return x.Cap, true
		}
	})
}

// shared is how much all instances together hold of an account's rest.
func (w *Wallet) shared(rest, lost, paid laceunit.Tokens) float64 {
	return w.share * caution(lost, paid) * float64(rest)
}

// caution is the part of usual holdings that is left after losses.
func caution(lost, paid laceunit.Tokens) float64 {
	return max(1-lossWeight*float64(lost)/float64(max(paid, 1)), leastCaution)
}

// hold is how much an instance keeps beyond its spend: its part of what is shared, by demand, and no more than what lasts
// for an outage.
func (w *Wallet) hold(now time.Time, p *purse, others laceunit.Tokens, shared float64, members int) laceunit.Tokens {
	own := p.rate(now)
	even := shared / float64(max(members, 1))
	if own+others == 0 {
		return laceunit.Tokens(even)
	}
	part := evenPart*even + (1-evenPart)*shared*float64(own)/float64(own+others)
	// Requests are of very unequal size, so that a few of the largest have to fit beside the average.
	enough := cover.Seconds()*float64(own) + lumps*p.lump
	if now.Sub(p.began) < rateTime {
		// The rate is not known yet, and what the first instances to ask hold is missing elsewhere for a few seconds only.
		enough = max(enough, even)
	}
	return laceunit.Tokens(max(min(part, enough), evenPart*even))
}

// working is what an instance needs of an account that callers ask it for, so that not each request waits for a draw: room
// for a few of the largest and what comes until the next draw. In a small account it is bounded by the instance's even part.
func (p *purse) working(now time.Time, rest float64, fleet Fleet) laceunit.Tokens {
	part := workingPart
	if fleet.HasStandby {
		part = busyPart
	}
	need := workingTime.Seconds()*float64(p.rate(now)) + workingLumps*p.lump*p.fade(now)
	return laceunit.Tokens(min(need, part*rest/float64(max(fleet.ActiveCount, 1))))
}

// Commit takes on the caps of a draw that the store has written.
func (w *Wallet) Commit(now time.Time, d Update) {
	for a, g := range d.caps {
		p := w.purse(a)
		// Loans that came while the call was under way stand beside the draw.
		more := p.borrowed - g.borrowed
		p.cap, p.ceiling, p.folded = g.cap+more, g.ceiling+more, g.folded+more
		p.reported, p.others, p.drawn = g.used, g.others, now
		p.lost, p.free, p.spread = g.lost, g.free, g.spread
		p.wanted, p.due = 0, false
		if g.whole {
			p.basis = g.paid
		}
		if p.paid != g.paid {
			// A configuration came while the call was under way.
			p.due = true
		}
	}
}

// Accounts returns the accounts that have a purse, in order.
func (w *Wallet) Accounts() []laceunit.AccountID {
	return slices.Sorted(maps.Keys(w.purses))
}
