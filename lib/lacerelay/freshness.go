package lacerelay

import (
	"time"

	"lacewingcove/lib/lacefault"
)

// Freshness tells how far the routing table of an instance may be used.
type Freshness int

// Values of Freshness.
const (
	// Fresh means that the table is the latest version that has to be in effect.
	Fresh Freshness = iota
	// PossiblyStale means that a newer version may exist. Requests that the table allows are served, but routes and
	// accounts that are missing from it may exist.
	PossiblyStale
	// Superseded means that a newer version is known to exist, so that the table can't be used at all.
	Superseded
)

// staleRetryAfter is the Retry-After while a newer configuration is missing, which is requested every 300 ms.
const staleRetryAfter = 500 * time.Millisecond

// lateRetryAfter is the Retry-After while changes of the servers are late. The link stays saturated for seconds, and the
// beginning of the body of each retry takes some of it.
const lateRetryAfter = 2 * time.Second

// tableFreshness returns the freshness of the current routing table.
func (r *Relay) tableFreshness() Freshness {
	if r.options.Freshness == nil {
		return Fresh
	}
	return r.options.Freshness()
}

// lateFault returns an error for a request if changes of the servers are late, since the request could be sent to a server
// that has left, and nil otherwise. A response that has begun continues.
func (r *Relay) lateFault(j *job) *lacefault.Fault {
	if r.options.ServersLate == nil || !j.response.startedAt.IsZero() || !r.options.ServersLate() {
		return nil
	}
	f := newRefusal(lacefault.ConfigurationStale, "changes of the servers are late", lateRetryAfter)
	j.history.correctOutcome(f)
	return f
}

// orStale returns a refusal that follows from the table if the table is fresh. Otherwise a newer version might allow
// the request, so that orStale returns a refusal because of the stale configuration.
func (f Freshness) orStale(refusal *lacefault.Fault) *lacefault.Fault {
	if f == Fresh {
		return refusal
	}
	return newRefusal(lacefault.ConfigurationStale, "the configuration here is old: "+refusal.Message, staleRetryAfter)
}
