package lacegrant

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Policy sets the size and the life of grants.
type Policy struct {
	// Seconds of recent spend that a grant should cover.
	Seconds float64
	// Idle is the time without a reservation after which a grant goes back.
	Idle time.Duration
	// Offline is the share of a grant that may be spent without the platform.
	Offline float64
	// Share is the part of what a budget has left that one instance may ask for, before it is divided by the instances.
	Share float64
}

// Defaults of the policy, see docs/design.md, section 4.
const (
	DefaultSeconds          = 10
	DefaultIdle             = 30 * time.Second
	DefaultShare            = 0.5
	DefaultOfflineAvailable = 0.6
	DefaultOfflineStrict    = 0.2
	// demandDecay is the time constant of the moving average of spend; it is as long as a grant lasts.
	demandDecay = DefaultSeconds * time.Second
)

// DefaultPolicy returns the policy of a lean.
func DefaultPolicy(lean laceunit.Lean) Policy {
	p := Policy{
		Seconds: DefaultSeconds,
		Idle:    DefaultIdle,
		Offline: DefaultOfflineAvailable,
		Share:   DefaultShare,
	}
	if lean == laceunit.LeanStrict {
		p.Offline = DefaultOfflineStrict
	}
	return p
}

// size returns how many tokens an instance should hold of a budget.
func (p Policy) size(demand float64, ceiling, left laceunit.Tokens, known bool, instances int) laceunit.Tokens {
	want := max(laceunit.Tokens(demand*p.Seconds), 2*ceiling)
	if !known {
		return want
	}
	if instances < 1 {
		instances = 1
	}
	bound := laceunit.Tokens(float64(left) * p.Share / float64(instances))
	// A single request may take the last tokens of a budget.
	return max(min(want, bound), ceiling)
}
