package lacegrant

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Policy sets the size and the life of grants.
type Policy struct {
	// Span is the stretch of recent spend that a grant should cover; the offline part has to last for an outage.
	Coverage time.Duration
	// Least is the size of a grant in ceilings when there is little demand.
	MinCeilings int
	// Idle is the time without a reservation after which a grant goes back.
	IdleTimeout time.Duration
	// Offline is the share of a grant that may be spent without the platform.
	OfflineFraction float64
	// Share is the part of what a budget has left that one instance may ask for, before it is divided by the instances.
	BudgetFraction float64
}

// Defaults of the policy, see docs/design.md, section 4.
const (
	// DefaultSpan and DefaultOffline let the offline part cover an outage of five minutes with a fifth to spare, because
	// the moving average of spend is below the mean half of the time. Overspend is excluded with any size of grant, so a
	// strict deployment needs no shorter one.
	DefaultCoverage        = 7 * time.Minute
	DefaultOfflineFraction = 0.9
	DefaultIdleTimeout     = 30 * time.Second

	// DefaultShareAvailable and DefaultShareStrict bound what the fleet holds in grants near the end of a budget. A
	// strict deployment keeps more of it in the ledger, where a dead instance does not hold it.
	DefaultBudgetFractionAvailable = 0.5
	DefaultBudgetFractionStrict    = 0.25

	// DefaultLeastAvailable lets an instance with little traffic serve some requests during an outage.
	DefaultMinCeilingsAvailable = 8
	DefaultMinCeilingsStrict    = 4

	// demandDecay is the time constant of the moving average of spend. A shorter one forgets sparse traffic between
	// two requests, so that grants shrink and grow all the time.
	demandDecay = time.Minute
)

// DefaultPolicy returns the policy of a lean.
func DefaultPolicy(lean laceunit.ConsistencyMode) Policy {
	p := Policy{
		Coverage:        DefaultCoverage,
		MinCeilings:     DefaultMinCeilingsAvailable,
		IdleTimeout:     DefaultIdleTimeout,
		OfflineFraction: DefaultOfflineFraction,
		BudgetFraction:  DefaultBudgetFractionAvailable,
	}
	if lean == laceunit.ConsistencyStrict {
		p.MinCeilings = DefaultMinCeilingsStrict
		p.BudgetFraction = DefaultBudgetFractionStrict
	}
	return p
}

// lowPart is the share of the recent spend's span at which a grant is topped up. At half of the span a platform outage
// could begin with a grant that lasts half as long as it should.
const lowPart = 0.9

// low returns the size below which a grant of a target size is topped up. A grant that is small because there is
// little demand is topped up at half its size, so that not every request costs a record.
func (p Policy) low(demand float64, target laceunit.Tokens) laceunit.Tokens {
	span := min(demand*p.Coverage.Seconds(), float64(target))
	return max(target/2, laceunit.Tokens(span*lowPart))
}

// size returns how many tokens an instance should hold of a budget.
func (p Policy) size(demand float64, ceiling, left laceunit.Tokens, known bool, instances int) laceunit.Tokens {
	want := max(laceunit.Tokens(demand*p.Coverage.Seconds()), laceunit.Tokens(max(p.MinCeilings, 1))*ceiling)
	if !known {
		return want
	}
	if instances < 1 {
		instances = 1
	}
	bound := laceunit.Tokens(float64(left) * p.BudgetFraction / float64(instances))
	// A single request may take the last tokens of a budget.
	return max(min(want, bound), ceiling)
}
