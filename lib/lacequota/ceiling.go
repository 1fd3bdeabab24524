package lacequota

import (
	"slices"

	"lacewingcove/lib/laceunit"
)

// sentCeiling is the ceiling of one write or proposal. Until CeilingTTL after it was sent, a successor that finds it in
// the store relies on it, whether or not it was answered.
type sentCeiling struct {
	sentAt Instant
	tokens laceunit.Tokens
}

// ceilings are those of the newest confirmed write and of all later ones whose outcome is not known. Each has its own
// end: during an outage of the store, the ceiling of an old attempt would otherwise stay in force with each new one,
// and half of the headroom that is meant for the outage could not be spent.
type ceilings []sentCeiling

// sent adds the ceiling of a write or proposal and drops those that are no longer in force.
func (c ceilings) sent(at Instant, tokens laceunit.Tokens) ceilings {
	c = slices.DeleteFunc(c, func(x sentCeiling) bool { return !x.inForce(at) })
	return append(c, sentCeiling{
		sentAt: at,
		tokens: tokens,
	})
}

// raise adds tokens that are counted as spent elsewhere, such as a loan.
func (c ceilings) raise(tokens laceunit.Tokens) {
	for i := range c {
		c[i].tokens += tokens
	}
}

// limit returns what may be spent at an instant under a cap.
func (c ceilings) limit(at Instant, limit laceunit.Tokens) laceunit.Tokens {
	for _, x := range c {
		if x.inForce(at) {
			limit = min(limit, x.tokens)
		}
	}
	return limit
}

// below reports whether a ceiling is below a cap.
func (c ceilings) below(limit laceunit.Tokens) bool {
	return slices.ContainsFunc(c, func(x sentCeiling) bool { return x.tokens < limit })
}

func (x sentCeiling) inForce(at Instant) bool {
	return at.BootID != "" && at.SinceBoot-x.sentAt.SinceBoot < CeilingTTL
}
