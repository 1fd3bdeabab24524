package lacequota

import (
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// Allocation is what one instance incarnation may spend of an account in total, and what it has reported.
type Allocation struct {
	Cap  laceunit.Tokens
	Used laceunit.Tokens
	// Rate is the recent demand of its clients in tokens per second.
	Rate laceunit.Tokens
	// Ceiling is what the incarnation may spend in total until CeilingTTL after SentAt on its machine's clock; after
	// that, Cap applies.
	Ceiling laceunit.Tokens
	SentAt  Instant
	// Era is the era of the store in which the holder last stated its allocation.
	Era laceplatform.Era
}

// Instant is a point in time on a machine's boot clock, which counts suspension and is shared by all processes.
type Instant struct {
	// BootID identifies one boot of the machine.
	BootID    string
	SinceBoot time.Duration
}

// Within reports whether later is on the same clock, not before i and less than limit after it.
func (i Instant) Within(later Instant, limit time.Duration) bool {
	return i.BootID != "" && i.BootID == later.BootID && later.SinceBoot >= i.SinceBoot &&
		later.SinceBoot-i.SinceBoot < limit
}

// Budget is the shared state of one client account, stored in one entry.
type Budget struct {
	// ClosedCap is the sum of the caps of ended incarnations, ClosedUsed the spend that they had reported.
	ClosedCap  laceunit.Tokens
	ClosedUsed laceunit.Tokens
	// Paid is what was paid according to the newest configuration of any writer, Version the version of that
	// configuration.
	Paid        laceunit.Tokens
	Version     laceunit.Version
	Allocations map[laceunit.Holder]Allocation
	// Era is the newest era in which the budget is known to cover what holders have, zero before the first one.
	Era laceplatform.Era
	// After is the revision of the budget that this one replaced.
	After    laceplatform.Revision
	Restored Restored
}

// Budgets are the budgets of the accounts in an update; each account has its own entry in the store.
type Budgets struct {
	ByAccount map[laceunit.AccountID]Budget
}

// Committed is the upper bound of what has been spent.
func (b Budget) Committed() laceunit.Tokens {
	sum := b.ClosedCap
	for _, a := range b.Allocations {
		sum += a.Cap
	}
	return sum
}

// Spent is the lower bound of what has been spent.
func (b Budget) Spent() laceunit.Tokens {
	sum := b.ClosedUsed
	for _, a := range b.Allocations {
		sum += a.Used
	}
	return sum
}

// lost is what ended holders held and had not reported as spent; whether they spent it is unknown.
func (b Budget) lost() laceunit.Tokens { return b.ClosedCap - b.ClosedUsed }

// Rate is the recent demand of the matching holders in tokens per second.
func (b Budget) Rate(match func(laceunit.Holder) bool) laceunit.Tokens {
	var sum laceunit.Tokens
	for h, a := range b.Allocations {
		if match(h) {
			sum += a.Rate
		}
	}
	return sum
}

// withAllocation returns a deep copy in which a holder has the allocation.
func (b Budget) withAllocation(holder laceunit.Holder, a Allocation) Budget {
	c := b.clone()
	c.Allocations[holder] = a
	return c
}

// withClosed returns a copy in which a holder's allocation is closed and counted as spent.
func (b Budget) withClosed(holder laceunit.Holder, a Allocation) Budget {
	c := b.clone()
	delete(c.Allocations, holder)
	c.ClosedCap += a.Cap
	c.ClosedUsed += a.Used
	return c
}

// closeEnded returns a copy in which ended holders are closed and counted as spent up to what they may have spent.
func (b Budget) closeEnded(ended func(laceunit.Holder, Allocation) (maxSpent laceunit.Tokens, ok bool)) Budget {
	c := b.clone()
	for h, a := range b.Allocations {
		maxSpent, ok := ended(h, a)
		if !ok {
			continue
		}
		c.ClosedCap += maxSpent
		c.ClosedUsed += a.Used
		delete(c.Allocations, h)
	}
	return c
}

func (b Budget) clone() Budget {
	c := Budget{
		ClosedCap:   b.ClosedCap,
		ClosedUsed:  b.ClosedUsed,
		Paid:        b.Paid,
		Version:     b.Version,
		Era:         b.Era,
		After:       b.After,
		Restored:    b.Restored,
		Allocations: make(map[laceunit.Holder]Allocation, len(b.Allocations)+1),
	}
	for h, a := range b.Allocations {
		c.Allocations[h] = a
	}
	return c
}
