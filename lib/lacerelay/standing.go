package lacerelay

import (
	"time"

	"lacewingcove/lib/lacefault"
)

// Standing tells what the routing table of an instance may be used for.
type Standing int

// The standings.
const (
	// InForce means that no version is missing that has to be in force.
	InForce Standing = iota
	// Old means that one may be missing. What the table allows is served; what it lacks may exist.
	Old
	// Superseded means that one is known to be missing, so that nothing can be answered from the table.
	Superseded
)

// staleRetry is what a caller is told to wait for a newer configuration, which is asked for each 300 ms.
const staleRetry = 500 * time.Millisecond

// standing returns that of the table in use.
func (r *Relay) standing() Standing {
	if r.options.Standing == nil {
		return InForce
	}
	return r.options.Standing()
}

// lacks returns the answer for what the table lacks: only one that is in force can tell.
func (s Standing) lacks(f *lacefault.Fault) *lacefault.Fault {
	if s == InForce {
		return f
	}
	return fault(lacefault.Stale, "the configuration here is old: "+f.Message, staleRetry)
}
