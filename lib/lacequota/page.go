package lacequota

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Holding is what one instance incarnation may spend of an account in total, and what it has reported.
type Allocation struct {
	Cap  laceunit.Tokens
	Used laceunit.Tokens
	// Rate is how many tokens a second its callers lately asked for.
	Rate laceunit.Tokens
	// Ceiling is what the incarnation may spend in total until Patience after Sent on its machine's clock; beyond that
	// Cap holds.
	Ceiling laceunit.Tokens
	SentAt  Instant
}

// Instant is a moment on the clock of one machine that runs through suspensions and restarts of processes.
type Instant struct {
	// Boot names the time between two starts of the machine.
	BootID    string
	SinceBoot time.Duration
}

// Within reports whether two moments are on the same clock, in order and less than a time apart.
func (i Instant) Within(later Instant, limit time.Duration) bool {
	return i.BootID != "" && i.BootID == later.BootID && later.SinceBoot >= i.SinceBoot && later.SinceBoot-i.SinceBoot < limit
}

// Budget is the state of one client account.
type Budget struct {
	// Closed is the sum of the caps of ended incarnations, Burnt the spend that they had reported.
	ClosedCap  laceunit.Tokens
	ClosedUsed laceunit.Tokens
	// Paid is what was paid according to the newest configuration that a writer knew, and Version that configuration.
	Paid        laceunit.Tokens
	Version     laceunit.Version
	Allocations map[laceunit.Holder]Allocation
}

// Page is the state of the accounts that a draw is about; each account has an entry of its own in the store.
type Budgets struct {
	ByAccount map[laceunit.AccountID]Budget
}

// Committed is the most that can have been spent.
func (b Budget) Committed() laceunit.Tokens {
	sum := b.ClosedCap
	for _, h := range b.Allocations {
		sum += h.Cap
	}
	return sum
}

// Spent is the least that has been spent.
func (b Budget) Spent() laceunit.Tokens {
	sum := b.ClosedUsed
	for _, h := range b.Allocations {
		sum += h.Used
	}
	return sum
}

// lost is what ended holders held without having reported it as spent; whether they spent it is not known.
func (b Budget) lost() laceunit.Tokens { return b.ClosedCap - b.ClosedUsed }

// Rate is how many tokens a second callers lately asked of the holders that match.
func (b Budget) Rate(match func(laceunit.Holder) bool) laceunit.Tokens {
	var sum laceunit.Tokens
	for k, h := range b.Allocations {
		if match(k) {
			sum += h.Rate
		}
	}
	return sum
}

// with returns a copy in which a holder has a holding; the copy shares nothing.
func (b Budget) with(holder laceunit.Holder, h Allocation) Budget {
	c := b.clone()
	c.Allocations[holder] = h
	return c
}

// closed returns a copy in which a holder has ended with a holding.
func (b Budget) closed(holder laceunit.Holder, h Allocation) Budget {
	c := b.clone()
	delete(c.Allocations, holder)
	c.ClosedCap += h.Cap
	c.ClosedUsed += h.Used
	return c
}

// fold returns a copy in which the ended holders count as spent up to what they may have spent.
func (b Budget) fold(ended func(laceunit.Holder, Allocation) (most laceunit.Tokens, ok bool)) Budget {
	c := b.clone()
	for k, h := range b.Allocations {
		most, ok := ended(k, h)
		if !ok {
			continue
		}
		c.ClosedCap += most
		c.ClosedUsed += h.Used
		delete(c.Allocations, k)
	}
	return c
}

func (b Budget) clone() Budget {
	c := Budget{
		ClosedCap:   b.ClosedCap,
		ClosedUsed:  b.ClosedUsed,
		Paid:        b.Paid,
		Version:     b.Version,
		Allocations: make(map[laceunit.Holder]Allocation, len(b.Allocations)+1),
	}
	for k, h := range b.Allocations {
		c.Allocations[k] = h
	}
	return c
}
