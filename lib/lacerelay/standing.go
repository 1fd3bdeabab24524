package lacerelay

import (
	"time"

	"lacewingcove/lib/lacefault"
)

// Standing tells what the routing table of an instance may be used for.
type Freshness int

// The standings.
const (
	// InForce means that no version is missing that has to be in force.
	Fresh Freshness = iota
	// Old means that one may be missing. What the table allows is served; what it lacks may exist.
	PossiblyStale
	// Superseded means that one is known to be missing, so that nothing can be answered from the table.
	Superseded
)

// staleRetry is what a caller is told to wait for a newer configuration, which is asked for each 300 ms.
const staleRetry = 500 * time.Millisecond

// standing returns that of the table in use.
func (r *Relay) standing() Freshness {
	if r.options.Freshness == nil {
		return Fresh
	}
	return r.options.Freshness()
}

// lacks returns the answer for what the table lacks: only one that is in force can tell.
func (s Freshness) lacks(f *lacefault.Fault) *lacefault.Fault {
	if s == Fresh {
		return f
	}
	return fault(lacefault.Stale, "the configuration here is old: "+f.Message, staleRetry)
}
