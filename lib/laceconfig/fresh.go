package laceconfig

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Basis says why new work is taken or refused.
type Basis string

// The closed set of bases; new work is taken on the first three.
const (
	// BasisConfirmed means that the platform's confirmation is recent.
	BasisConfirmed Basis = "confirmed"
	// BasisUnanimous means that every other member has lost the platform too, so no change can have been accepted.
	BasisUnanimous Basis = "unanimous"
	// BasisHeard means that, with lean available, no member that was heard has the platform.
	BasisHeard Basis = "heard"
	// BasisEmpty means that there is no document yet.
	BasisEmpty Basis = "empty"
	// BasisStale means that a newer version may be in force elsewhere.
	BasisStale Basis = "stale"
)

// Takes reports whether new work is taken.
func (b Basis) Takes() bool {
	return b == BasisConfirmed || b == BasisUnanimous || b == BasisHeard
}

// Fresh decides whether new work is taken under the document in force.
func (r *Replica) Fresh(now time.Duration) Basis {
	if r.entries.version == 0 {
		return BasisEmpty
	}
	if !r.older(now, r.rule.Fresh) {
		return BasisConfirmed
	}
	// Contact with the platform means that a change may have been accepted that a read has not shown yet.
	if !r.lost {
		return BasisStale
	}
	count := 0
	for _, m := range r.view.Others {
		h, ok := r.heard[m.Holder]
		if !ok || now-h.asked > r.rule.Fresh {
			continue
		}
		if h.status.Contact || h.status.Version > r.entries.version {
			return BasisStale
		}
		count++
	}
	switch {
	case r.view.Agreed && count == len(r.view.Others):
		return BasisUnanimous
	case r.rule.Lean == laceunit.ConsistencyAvailable && count > 0:
		return BasisHeard
	default:
		return BasisStale
	}
}
