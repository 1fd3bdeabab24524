package lacegrant

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Policy controls the size and the lifetime of grants.
type Policy struct {
	// Coverage is how long a grant should last at the current demand; its offline allowance has to last for a platform
	// outage.
	Coverage time.Duration
	// MinCeilings is the minimum size of a grant, as a multiple of the ceiling of a request.
	MinCeilings int
	// IdleTimeout is the time without a reservation after which the free tokens of a grant are returned to the budget.
	IdleTimeout time.Duration
	// OfflineFraction is the fraction of a grant that may be spent while the platform is unreachable.
	OfflineFraction float64
	// BudgetFraction, divided by the number of instances, is the fraction of a budget's available tokens that one
	// instance may hold.
	BudgetFraction float64
}

// Defaults of the policy; see docs/design.md, section 4.
const (
	// DefaultCoverage and DefaultOfflineFraction let the offline allowance cover an outage of five minutes with a margin
	// of 20%, because the moving average of demand is below the mean half of the time. Overspending is impossible with
	// grants of any size, so a strict deployment does not need a shorter coverage.
	DefaultCoverage        = 7 * time.Minute
	DefaultOfflineFraction = 0.9
	DefaultIdleTimeout     = 30 * time.Second

	// DefaultBudgetFractionAvailable and DefaultBudgetFractionStrict limit the tokens that the fleet holds in grants when
	// a budget is nearly exhausted. A strict deployment keeps more of them in the ledger, where a crashed instance cannot
	// hold them.
	DefaultBudgetFractionAvailable = 0.5
	DefaultBudgetFractionStrict    = 0.25

	// DefaultMinCeilingsAvailable lets an instance with little traffic serve some requests during an outage.
	DefaultMinCeilingsAvailable = 8
	DefaultMinCeilingsStrict    = 4

	// demandTimeConstant is the time constant of the exponential moving average of demand. With a shorter one the
	// average decays to zero between two requests of sparse traffic, so that grants shrink and grow all the time.
	demandTimeConstant = time.Minute
)

// DefaultPolicy returns the default policy of a consistency mode.
func DefaultPolicy(mode laceunit.ConsistencyMode) Policy {
	p := Policy{
		Coverage:        DefaultCoverage,
		MinCeilings:     DefaultMinCeilingsAvailable,
		IdleTimeout:     DefaultIdleTimeout,
		OfflineFraction: DefaultOfflineFraction,
		BudgetFraction:  DefaultBudgetFractionAvailable,
	}
	if mode == laceunit.ConsistencyStrict {
		p.MinCeilings = DefaultMinCeilingsStrict
		p.BudgetFraction = DefaultBudgetFractionStrict
	}
	return p
}

// topUpFraction is the fraction of the tokens needed for Policy.Coverage below which a grant is topped up. With a
// fraction of one half, a platform outage could begin with a grant that lasts half as long as it should.
const topUpFraction = 0.9

// topUpThreshold returns the number of free tokens below which a grant with the given target size is topped up. If
// demand is low, a grant is topped up at half its target size, so that not every request costs a ledger record.
func (p Policy) topUpThreshold(demand float64, target laceunit.Tokens) laceunit.Tokens {
	coverage := min(demand*p.Coverage.Seconds(), float64(target))
	return max(target/2, laceunit.Tokens(coverage*topUpFraction))
}

// targetSize returns how many tokens of a budget an instance should hold. The budget's available tokens limit the
// result only if availableKnown is true.
func (p Policy) targetSize(
	demand float64,
	ceiling, available laceunit.Tokens,
	availableKnown bool,
	instances int,
) laceunit.Tokens {
	target := max(laceunit.Tokens(demand*p.Coverage.Seconds()), laceunit.Tokens(max(p.MinCeilings, 1))*ceiling)
	if !availableKnown {
		return target
	}
	if instances < 1 {
		instances = 1
	}
	limit := laceunit.Tokens(float64(available) * p.BudgetFraction / float64(instances))
	// A single request may take the last tokens of a budget.
	return max(min(target, limit), ceiling)
}
