package laceconfig

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Basis says why new work is taken or refused.
type Freshness string

// The closed set of bases; new work is taken on the first three.
const (
	// BasisConfirmed means that the platform's confirmation is recent.
	FreshnessConfirmed Freshness = "confirmed"
	// BasisUnanimous means that every other member has lost the platform too, so no change can have been accepted.
	FreshnessUnanimous Freshness = "unanimous"
	// BasisHeard means that, with lean available, no member that was heard has the platform.
	FreshnessPartial Freshness = "heard"
	// BasisEmpty means that there is no document yet.
	FreshnessEmpty Freshness = "empty"
	// BasisStale means that a newer version may be in force elsewhere.
	FreshnessStale Freshness = "stale"
)

// Takes reports whether new work is taken.
func (b Freshness) AcceptsWork() bool {
	return b == FreshnessConfirmed || b == FreshnessUnanimous || b == FreshnessPartial
}

// Fresh decides whether new work is taken under the document in force.
func (r *Replica) Freshness(now time.Duration) Freshness {
	if r.entries.version == 0 {
		return FreshnessEmpty
	}
	if !r.older(now, r.rule.MaxStaleness) {
		return FreshnessConfirmed
	}
	// Contact with the platform means that a change may have been accepted that a read has not shown yet.
	if !r.lost {
		return FreshnessStale
	}
	count := 0
	for _, m := range r.view.Peers {
		h, ok := r.heard[m.Holder]
		if !ok || now-h.asked > r.rule.MaxStaleness {
			continue
		}
		if h.status.PlatformReachable || h.status.Version > r.entries.version {
			return FreshnessStale
		}
		count++
	}
	switch {
	case r.view.Agreed && count == len(r.view.Peers):
		return FreshnessUnanimous
	case r.rule.Consistency == laceunit.ConsistencyAvailable && count > 0:
		return FreshnessPartial
	default:
		return FreshnessStale
	}
}
