package lacebalancer

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// stall is a period in which no server of a pool is available, since each is paused or rate limited.
type stall struct {
	reason Reason
	// wait is the time until a server is available for the next request.
	wait time.Duration
	// queueable is true when requests may be queued for the end of the stall: it is then known when a rate limiter permits
	// the next request.
	queueable bool
	// rate is the total rate that this instance may send to the servers.
	rate laceunit.Rate
}

// worthQueueing reports whether a request may be queued for the end of the stall. Requests are not queued for the end
// of a pause, since they would all reach the server at once.
func (r stall) worthQueueing(now time.Time, deadline time.Time) bool {
	return r.queueable && now.Add(r.wait).Before(deadline)
}

// stall returns the stall of the pool's servers of a version, nil for all, and false while one of them is available.
func (b *Balancer) stall(now time.Time, p *pool, version *laceunit.SoftwareVersion) (stall, bool) {
	found := false
	var shortest stall
	var rate laceunit.Rate
	for _, s := range p.servers {
		if s.leaving || !s.has(version) {
			continue
		}
		if s.ejected && p.limitsBrittle(now, s) {
			continue
		}
		withheld := b.withheld(now, p, s)
		if !withheld && !s.unavailable(now) {
			return stall{}, false
		}
		r := s.stall(now)
		if withheld {
			r = r.orLonger(b.brittleStall(now, p, s))
		}
		if r.queueable {
			rate += r.rate
		}
		if !found || r.wait < shortest.wait {
			shortest, found = r, true
		}
	}
	shortest.rate = rate
	return shortest, found
}

// withBacklog returns the stall as seen by a request behind a number of queued ones.
func (r stall) withBacklog(queued int) stall {
	if r.queueable && queued > 0 {
		r.wait += time.Duration(float64(queued) * float64(interval(r.rate)))
	}
	return r
}

// stall returns how long and why the server is unavailable.
func (s *server) stall(now time.Time) stall {
	r := stall{reason: Paused}
	if s.paused(now) {
		r.wait = s.pause.end.Sub(now)
	}
	if !s.rateLimited(now) {
		return r
	}
	if wait := s.rateLimiter.wait(now); wait > r.wait {
		_, r.queueable = s.rateLimiter.nextAllowed(now)
		r.queueable = r.queueable && !s.paused(now)
		r.rate = s.rateLimiter.allowance.Rate
		r.reason, r.wait = RateLimited, wait
	}
	return r
}

// orLonger returns the longer of two stalls of a server.
func (r stall) orLonger(other stall) stall {
	if other.wait < r.wait {
		return r
	}
	return other
}

// RetryAfter returns a retry delay with jitter while no server of a pool is available, and zero otherwise.
func (b *Balancer) RetryAfter(now time.Time, name Pool) time.Duration {
	p := b.pools[name]
	if p == nil {
		return 0
	}
	r, ok := b.stall(now, p, nil)
	if !ok {
		return 0
	}
	return b.withJitter(r.withBacklog(p.queue.Len()).wait)
}

// recordThrottled records demand for the servers of a pool whose rate limits prevented a request.
func (p *pool) recordThrottled(now time.Time) {
	if p.isBrittle(now) {
		p.brittle.throttledAt = now
	}
	for _, s := range p.servers {
		if s.rateLimited(now) {
			s.rateLimiter.demand.LastThrottled = now
		}
	}
}
