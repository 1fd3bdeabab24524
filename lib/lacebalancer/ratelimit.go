package lacebalancer

import (
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// burstWindow is the burst size, as time at the allowed rate: after an idle period a server may get this much of its
	// allowance at once. One request is always possible.
	burstWindow = 250 * time.Millisecond
	// minLimitRetryAfter and maxLimitRetryAfter bound the retry delay for a server whose rate limit this instance has no
	// share of.
	minLimitRetryAfter = 100 * time.Millisecond
	maxLimitRetryAfter = 30 * time.Second
)

// Allowance is the share that this instance has of the rate limit of a server.
type Allowance struct {
	// Rate is the share of this instance, zero for none.
	Rate laceunit.Rate
	// Total is the rate limit of the server for all instances together.
	Total laceunit.Rate
	// From is when the first request may be sent. Until is when the share expires unless it is renewed; the zero time
	// stands for no expiry.
	From  time.Time
	Until time.Time
}

// Demand is the recent demand for a server with a rate limit.
type Demand struct {
	// LastSent is when a request was last assigned within the allowance, LastThrottled when the allowance last prevented
	// one.
	LastSent      time.Time
	LastThrottled time.Time
}

// rateLimiter limits the rate of requests to a server by the generic cell rate algorithm (GCRA): nextDue is the
// theoretical arrival time, and a request may come earlier than that by burstTolerance.
type rateLimiter struct {
	allowance Allowance
	// nextDue is when the next request is due if requests are spaced evenly.
	nextDue time.Time
	demand  Demand
}

func (l *rateLimiter) set(now time.Time, a Allowance) {
	if a.Rate > l.allowance.Rate {
		// Requests sent at the lower rate must not delay the next one by more than an interval of the new rate.
		if latest := now.Add(interval(a.Rate) + burstTolerance(a.Rate)); l.nextDue.After(latest) {
			l.nextDue = latest
		}
	}
	l.nextDue = later(l.nextDue, a.From)
	l.allowance = a
}

// interval returns the time between two evenly spaced requests at a rate.
func interval(r laceunit.Rate) time.Duration { return time.Duration(float64(time.Second) / float64(r)) }

// burstTolerance returns how long before its due time a request may be sent.
func burstTolerance(r laceunit.Rate) time.Duration { return max(burstWindow-interval(r), 0) }

// nextAllowed returns when the next request may be sent, and false while there is no valid share.
func (l *rateLimiter) nextAllowed(now time.Time) (time.Time, bool) {
	a := l.allowance
	if a.Rate <= 0 || !a.Until.IsZero() && !now.Before(a.Until) {
		return time.Time{}, false
	}
	return later(l.nextDue.Add(-burstTolerance(a.Rate)), a.From), true
}

// allows reports whether a request may be sent now.
func (l *rateLimiter) allows(now time.Time) bool {
	at, known := l.nextAllowed(now)
	return known && !now.Before(at)
}

// consume counts a request against the allowance.
func (l *rateLimiter) consume(now time.Time) {
	l.nextDue = later(l.nextDue, now).Add(interval(l.allowance.Rate))
	l.demand.LastSent = now
}

// throttle records that the allowance prevents a request, and reports whether the next one may be sent before a deadline.
func (l *rateLimiter) throttle(now, deadline time.Time) bool {
	l.demand.LastThrottled = now
	at, known := l.nextAllowed(now)
	return known && at.Before(deadline)
}

// wait returns the time until this instance may send the next request, or an estimate while it has no valid share.
func (l *rateLimiter) wait(now time.Time) time.Duration {
	if at, known := l.nextAllowed(now); known {
		return max(at.Sub(now), 0)
	}
	// Other instances may have unused shares of the limit, or this instance may get one.
	if l.allowance.Total <= 0 {
		return maxLimitRetryAfter
	}
	return min(max(interval(l.allowance.Total), minLimitRetryAfter), maxLimitRetryAfter)
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// SetAllowance sets the allowance for an incarnation of a server, whether it is listed or not.
func (b *Balancer) SetAllowance(now time.Time, id laceunit.ServerID, startTime int64, a Allowance) []Decision {
	key := incarnation{
		id:        id,
		startTime: startTime,
	}
	l := b.rateLimiters[key]
	if l == nil {
		l = &rateLimiter{}
		b.rateLimiters[key] = l
	}
	l.set(now, a)
	s := b.servers[id]
	if s == nil || s.startTime != startTime {
		return nil
	}
	s.rateLimiter = l
	return b.drainQueues(now, s.pools)
}

// ClearAllowance removes the rate limit of an incarnation of a server.
func (b *Balancer) ClearAllowance(now time.Time, id laceunit.ServerID, startTime int64) []Decision {
	delete(b.rateLimiters, incarnation{
		id:        id,
		startTime: startTime,
	})
	s := b.servers[id]
	if s == nil || s.startTime != startTime || s.rateLimiter == nil {
		return nil
	}
	s.rateLimiter = nil
	return b.drainQueues(now, s.pools)
}

// Demand returns the recent demand for an incarnation of a server with a rate limit.
func (b *Balancer) Demand(id laceunit.ServerID, startTime int64) Demand {
	if l := b.rateLimiters[incarnation{
		id:        id,
		startTime: startTime,
	}]; l != nil {
		return l.demand
	}
	return Demand{}
}

// Assignment is the server that a request was assigned to.
type Assignment struct {
	Server    laceunit.ServerID
	StartTime int64
	// At is when the server was selected.
	At time.Time
}

// Assignment returns the assignment of a ticket, and false if it has none or is done.
func (b *Balancer) Assignment(ticket Ticket) (Assignment, bool) {
	assigned, ok := b.assigned[ticket]
	if !ok {
		return Assignment{}, false
	}
	return Assignment{
		Server:    assigned.server.id,
		StartTime: assigned.server.startTime,
		At:        assigned.assignedAt,
	}, true
}

// rateLimited reports whether the rate limit of the server prevents a request now.
func (s *server) rateLimited(now time.Time) bool {
	return s.rateLimiter != nil && !s.rateLimiter.allows(now)
}

// unavailable reports whether a pause or the rate limit of the server prevents a request now.
func (s *server) unavailable(now time.Time) bool { return s.paused(now) || s.rateLimited(now) }
