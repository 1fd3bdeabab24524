package laceconfig

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Freshness is why new requests are accepted or rejected under the document in force.
type Freshness string

// The values of Freshness; new requests are accepted under the first three.
const (
	// FreshnessConfirmed means that the version was confirmed by the platform within MaxStaleness.
	FreshnessConfirmed Freshness = "confirmed"
	// FreshnessUnanimous means that no other member can reach the platform either, so that no change can have been
	// accepted.
	FreshnessUnanimous Freshness = "unanimous"
	// FreshnessPartial means that, in available mode, none of the members that replied recently can reach the platform;
	// the state of the others is unknown.
	FreshnessPartial Freshness = "heard"
	// FreshnessEmpty means that there is no document yet.
	FreshnessEmpty Freshness = "empty"
	// FreshnessStale means that a newer version may be in force on other instances.
	FreshnessStale Freshness = "stale"
)

// AcceptsWork reports whether new requests are accepted.
func (f Freshness) AcceptsWork() bool {
	return f == FreshnessConfirmed || f == FreshnessUnanimous || f == FreshnessPartial
}

// Freshness decides whether new requests are accepted under the document in force.
func (r *Replica) Freshness(now time.Duration) Freshness {
	if r.entries.version == 0 {
		return FreshnessEmpty
	}
	if !r.stalerThan(now, r.settings.MaxStaleness) {
		return FreshnessConfirmed
	}
	// While the platform is reachable, a change may have been accepted that no read has returned yet.
	if !r.platformUnreachable {
		return FreshnessStale
	}
	count := 0
	for _, m := range r.view.Peers {
		h, ok := r.lastReplies[m.Holder]
		if !ok || now-h.queriedAt > r.settings.MaxStaleness {
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
	case r.settings.Consistency == laceunit.ConsistencyAvailable && count > 0:
		return FreshnessPartial
	default:
		return FreshnessStale
	}
}
