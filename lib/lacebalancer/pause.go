package lacebalancer

import (
	"cmp"
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// initialSlowStartLimit is the concurrency limit of a server at the end of its pause. Each response raises it by one,
	// so that the queued requests reach the server no faster than it responds.
	initialSlowStartLimit = 1
	// finalSlowStartLimit is the concurrency limit at which slow start ends.
	finalSlowStartLimit = 32
	// maxUnconfirmedPause is the longest pause that one response can ask for: a wrong figure must not shut out a server for
	// an hour. A longer one is in effect once the first request after this time is answered in the same way.
	maxUnconfirmedPause = time.Minute
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
	// shortened is true when the server has asked for a longer pause, and not answered a request since its end.
	shortened bool
}

// extend prolongs the pause by a response to a request that was assigned at a time.
func (x *pause) extend(now, assignedAt time.Time, length time.Duration) {
	confirmed := x.shortened && !assignedAt.Before(x.end)
	if length > maxUnconfirmedPause && !confirmed {
		length, x.shortened = maxUnconfirmedPause, true
	}
	if end := now.Add(length); end.After(x.end) {
		x.end = end
	}
	x.slowStartLimit = initialSlowStartLimit
}

// pauseKey identifies where a pause applies. A server without an address is identified by its incarnation.
type pauseKey struct {
	address laceunit.Address
	server  incarnation
}

func (s *server) pauseKey() pauseKey {
	if s.address != "" {
		return pauseKey{address: s.address}
	}
	return pauseKey{server: s.incarnation()}
}

// pauses are the pauses of all servers, whether they are listed or not. A pause applies to every server at the address
// that asked for it: the entry of a server that has ended may still be listed while another process has its address, so
// that it is not known which of them has answered.
type pauses map[pauseKey]*pause

// prune drops pauses of servers that are not listed: those that ended at least unlistedTTL ago and, beyond maxUnlisted,
// those that end first.
func (p pauses) prune(now time.Time, servers map[laceunit.ServerID]*server) {
	if len(p) == 0 {
		return
	}
	listed := make(map[*pause]bool, len(p))
	for _, s := range servers {
		if s.pause != nil {
			listed[s.pause] = true
		}
	}
	var unlisted []pauseKey
	for key, x := range p {
		switch {
		case listed[x]:
		case now.Sub(x.end) >= unlistedTTL:
			delete(p, key)
		default:
			unlisted = append(unlisted, key)
		}
	}
	if len(unlisted) <= maxUnlisted {
		return
	}
	slices.SortFunc(unlisted, func(a, b pauseKey) int { return p[a].end.Compare(p[b].end) })
	for _, key := range unlisted[:len(unlisted)-maxUnlisted] {
		delete(p, key)
	}
}

// Pause stops requests to the address of the server of a ticket for a time, as the server has asked. A pause is not a
// failure: it does not count towards ejection and has no other effect on the server. Of several pauses the latest end
// applies; one that is longer than maxUnconfirmedPause has to be confirmed. Pause reports whether the address was not
// paused before.
func (b *Balancer) Pause(now time.Time, ticket Ticket, length time.Duration) (bool, []Decision) {
	assigned, ok := b.assigned[ticket]
	if !ok || length <= 0 {
		return false, nil
	}
	key := assigned.server.pauseKey()
	x := b.pauses[key]
	if x == nil {
		x = &pause{}
		b.pauses[key] = x
	}
	changed := !now.Before(x.end)
	x.extend(now, assigned.assignedAt, length)
	var pools []*pool
	for _, s := range b.atAddress(key) {
		s.pause = x
		pools = append(pools, s.pools...)
	}
	return changed, b.drainQueues(now, pools)
}

// atAddress returns the listed servers to which a pause applies, in a fixed order.
func (b *Balancer) atAddress(key pauseKey) []*server {
	var found []*server
	for _, s := range b.servers {
		if s.pauseKey() == key {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(x, y *server) int { return cmp.Compare(x.id, y.id) })
	return found
}

// ResponseStarted records that the server of a ticket has begun to respond, which raises its slow start limit.
func (b *Balancer) ResponseStarted(now time.Time, ticket Ticket) []Decision {
	assigned, ok := b.assigned[ticket]
	if !ok || assigned.slowStart == nil || assigned.responseStarted {
		return nil
	}
	assigned.responseStarted = true
	b.assigned[ticket] = assigned
	b.raiseSlowStartLimit(now, assigned)
	return b.drainQueues(now, b.current(assigned.server).pools)
}

// raiseSlowStartLimit raises the limit after a response to a request of the slow start. Responses during a further
// pause don't count, since they don't show how much the server can take after that pause.
func (b *Balancer) raiseSlowStartLimit(now time.Time, assigned assignedRequest) {
	x, key := assigned.slowStart, assigned.server.pauseKey()
	if x == nil || b.pauses[key] != x || now.Before(x.end) {
		return
	}
	x.slowStartLimit++
	x.shortened = false
	if x.slowStartLimit < finalSlowStartLimit {
		return
	}
	delete(b.pauses, key)
	for _, s := range b.atAddress(key) {
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
	// BlockBrittle means that the server is brittle, and has rejected a request since it was selected.
	BlockBrittle
)

// String returns the label value in metrics.
func (r BlockReason) String() string {
	return [...]string{"", "leaving", "pause", "limit", "brittle"}[r]
}

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
	case b.current(assigned.server).brittle.rejectedSince(assigned.assignedAt):
		return BlockBrittle
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
