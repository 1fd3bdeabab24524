package lacebalancer

import "time"

const (
	// initialSlowStartLimit is the concurrency limit of a server at the end of its pause. Each response raises it by one,
	// so that the queued requests reach the server no faster than it responds.
	initialSlowStartLimit = 1
	// finalSlowStartLimit is the concurrency limit at which slow start ends.
	finalSlowStartLimit = 32
	// jitterDivisor sets the maximum jitter of a retry delay, which is the delay divided by it but at least minJitter.
	jitterDivisor = 4
	minJitter     = 200 * time.Millisecond
)

// pause is a period in which a server has asked for no requests, and the slow start after its end.
type pause struct {
	end time.Time
	// slowStartLimit limits the concurrent requests that were assigned since the end of a pause, inFlight is their number.
	slowStartLimit int
	inFlight       int
}

// unlistedPauses are the pauses of servers without an entry, which may reappear.
type unlistedPauses map[incarnation]*pause

func (p unlistedPauses) save(s *server) {
	// Without a start time, a server that is listed again can't be distinguished from another incarnation under the same
	// id.
	if s.pause != nil && s.startTime != 0 {
		p[s.incarnation()] = s.pause
	}
}

// restore sets the saved pause of a server, if there is one.
func (p unlistedPauses) restore(s *server) {
	if x, ok := p[s.incarnation()]; ok {
		s.pause = x
		delete(p, s.incarnation())
	}
}

// prune drops pauses that ended at least unlistedTTL ago and, beyond maxUnlisted, those that end first.
func (p unlistedPauses) prune(now time.Time) {
	for s, x := range p {
		if now.Sub(x.end) >= unlistedTTL {
			delete(p, s)
		}
	}
	for len(p) > maxUnlisted {
		var earliest incarnation
		for s, x := range p {
			if f, ok := p[earliest]; !ok || x.end.Before(f.end) {
				earliest = s
			}
		}
		delete(p, earliest)
	}
}

// Pause stops requests to the server of a ticket for a time, as the server has asked. A pause is not a failure: it does
// not count towards ejection and has no other effect on the server. Of several pauses the latest end applies. Pause
// reports whether the server was not paused before.
func (b *Balancer) Pause(now time.Time, ticket Ticket, length time.Duration) (bool, []Decision) {
	assigned, ok := b.assigned[ticket]
	if !ok || length <= 0 {
		return false, nil
	}
	s := b.current(assigned.server)
	if s.removed {
		b.unlistedPauses.restore(s)
	}
	changed := !s.paused(now)
	if s.pause == nil {
		s.pause = &pause{}
	}
	if s.removed {
		b.unlistedPauses.save(s)
	}
	s.pause.slowStartLimit = initialSlowStartLimit
	if end := now.Add(length); end.After(s.pause.end) {
		s.pause.end = end
	}
	return changed, b.drainQueues(now, s.pools)
}

// ResponseStarted records that the server of a ticket has begun to respond, which raises its slow start limit.
func (b *Balancer) ResponseStarted(now time.Time, ticket Ticket) []Decision {
	assigned, ok := b.assigned[ticket]
	if !ok || assigned.slowStart == nil || assigned.responseStarted {
		return nil
	}
	assigned.responseStarted = true
	b.assigned[ticket] = assigned
	s := b.current(assigned.server)
	s.raiseSlowStartLimit(now, assigned.slowStart)
	return b.drainQueues(now, s.pools)
}

// raiseSlowStartLimit raises the limit after a response to a request of the slow start. Responses during a further
// pause don't count, since they don't show how much the server can take after that pause.
func (s *server) raiseSlowStartLimit(now time.Time, slowStart *pause) {
	if s.pause == nil || s.pause != slowStart || s.paused(now) {
		return
	}
	s.pause.slowStartLimit++
	if s.pause.slowStartLimit >= finalSlowStartLimit {
		s.pause = nil
	}
}

// BlockReason is the reason why an assigned request must no longer be sent to its server.
type BlockReason int

// The block reasons.
const (
	// BlockNone means that the request may be sent.
	BlockNone BlockReason = iota
	// BlockLeaving means that the server is leaving or was removed.
	BlockLeaving
	// BlockPaused means that the server has asked for a pause.
	BlockPaused
	// BlockRateLimited means that the server has set a rate limit since it was selected.
	BlockRateLimited
)

// String returns the label value in metrics.
func (r BlockReason) String() string { return [...]string{"", "leaving", "pause", "limit"}[r] }

// BlockReason returns why an assigned request must no longer be sent to its server. Check it before sending, since the
// state of the server may change between its selection and the connection to it.
func (b *Balancer) BlockReason(now time.Time, ticket Ticket) BlockReason {
	assigned, ok := b.assigned[ticket]
	switch {
	case !ok || assigned.server.leaving || assigned.server.removed:
		return BlockLeaving
	case assigned.server.paused(now):
		return BlockPaused
	case b.current(assigned.server).rateLimiter != nil && !assigned.rateLimited:
		return BlockRateLimited
	}
	return BlockNone
}

// withJitter adds random jitter to a retry delay, so that callers don't retry all at once.
func (b *Balancer) withJitter(delay time.Duration) time.Duration {
	return delay + time.Duration(b.random(int(max(delay/jitterDivisor, minJitter))))
}

// paused reports whether a pause of the server is in effect.
func (s *server) paused(now time.Time) bool { return s.pause != nil && now.Before(s.pause.end) }

// atSlowStartLimit reports whether the server has as many requests in flight as slow start permits.
func (s *server) atSlowStartLimit() bool {
	return s.pause != nil && s.pause.inFlight >= s.pause.slowStartLimit
}
