package lacequota

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Holding is what one instance incarnation may spend of an account in total, and what it has reported.
type Holding struct {
	Cap  laceunit.Tokens
	Used laceunit.Tokens
	// Rate is how many tokens a second its callers lately asked for.
	Rate laceunit.Tokens
	// Ceiling is what the incarnation may spend in total until Patience after Sent on its machine's clock; beyond that
	// Cap holds.
	Ceiling laceunit.Tokens
	Sent    Instant
}

// Instant is a moment on the clock of one machine that runs through suspensions and restarts of processes.
type Instant struct {
	// Boot names the time between two starts of the machine.
	Boot  string
	Since time.Duration
}

// Within reports whether two moments are on the same clock, in order and less than a time apart.
func (i Instant) Within(later Instant, limit time.Duration) bool {
	return i.Boot != "" && i.Boot == later.Boot && later.Since >= i.Since && later.Since-i.Since < limit
}

// Budget is the state of one client account.
type Budget struct {
	// Closed is the sum of the caps of ended incarnations, Burnt the spend that they had reported.
	Closed laceunit.Tokens
	Burnt  laceunit.Tokens
	// Paid is what was paid according to the newest configuration that a writer knew, and Version that configuration.
	Paid    laceunit.Tokens
	Version laceunit.Version
	Holders map[laceunit.Holder]Holding
}

// Page is the state of the accounts that a draw is about; each account has an entry of its own in the store.
type Page struct {
	Budgets map[laceunit.AccountID]Budget
}

// Committed is the most that can have been spent.
func (b Budget) Committed() laceunit.Tokens {
	sum := b.Closed
	for _, h := range b.Holders {
		sum += h.Cap
	}
	return sum
}

// Spent is the least that has been spent.
func (b Budget) Spent() laceunit.Tokens {
	sum := b.Burnt
	for _, h := range b.Holders {
		sum += h.Used
	}
	return sum
}

// lost is what ended holders held without having reported it as spent; whether they spent it is not known.
func (b Budget) lost() laceunit.Tokens { return b.Closed - b.Burnt }

// Rate is how many tokens a second callers lately asked of the holders that match.
func (b Budget) Rate(match func(laceunit.Holder) bool) laceunit.Tokens {
	var sum laceunit.Tokens
	for k, h := range b.Holders {
		if match(k) {
			sum += h.Rate
		}
	}
	return sum
}

// with returns a copy in which a holder has a holding; the copy shares nothing.
func (b Budget) with(holder laceunit.Holder, h Holding) Budget {
	c := b.clone()
	c.Holders[holder] = h
	return c
}

// closed returns a copy in which a holder has ended with a holding.
func (b Budget) closed(holder laceunit.Holder, h Holding) Budget {
	c := b.clone()
	delete(c.Holders, holder)
	c.Closed += h.Cap
	c.Burnt += h.Used
	return c
}

// fold returns a copy in which the ended holders count as spent up to what they may have spent.
func (b Budget) fold(ended func(laceunit.Holder, Holding) (most laceunit.Tokens, ok bool)) Budget {
	c := b.clone()
	for k, h := range b.Holders {
		most, ok := ended(k, h)
		if !ok {
			continue
		}
		c.Closed += most
		c.Burnt += h.Used
		delete(c.Holders, k)
	}
	return c
}

func (b Budget) clone() Budget {
	c := Budget{
		Closed:  b.Closed,
		Burnt:   b.Burnt,
		Paid:    b.Paid,
		Version: b.Version,
		Holders: make(map[laceunit.Holder]Holding, len(b.Holders)+1),
	}
	for k, h := range b.Holders {
		c.Holders[k] = h
	}
	return c
}
