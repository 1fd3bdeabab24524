package lacebalancer

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// stall is a time in which no server of a pool takes a request, since each has asked for a pause or has a limit.
type stall struct {
	reason Reason
	// left is the time until a server takes the request that comes next.
	left time.Duration
	// opens is true when this instance knows that it may send then.
	opens bool
	// rate is what this instance may send to all of the servers.
	rate laceunit.Rate
}

// worth reports whether a request may wait for its end. Servers that asked for a pause are not waited for: all that
// waits would reach them at once.
func (r stall) worth(now time.Time, deadline time.Time) bool {
	return r.opens && now.Add(r.left).Before(deadline)
}

// stall returns for how long no server of the pool takes requests, and false while one does.
func (p *pool) stall(now time.Time) (stall, bool) {
	found := false
	var least stall
	var rate laceunit.Rate
	for _, s := range p.servers {
		if s.leaving {
			continue
		}
		if !s.shut(now) {
			return stall{}, false
		}
		r := s.stall(now)
		if r.opens {
			rate += s.pace.allowance.Rate
		}
		if !found || r.left < least.left {
			least, found = r, true
		}
	}
	least.rate = rate
	return least, found
}

// behind returns the stall as it is for a request behind others that wait.
func (r stall) behind(waiting int) stall {
	if r.opens && waiting > 0 {
		r.left += time.Duration(float64(waiting) * float64(interval(r.rate)))
	}
	return r
}

// stall returns for how long a server takes nothing.
func (s *server) stall(now time.Time) stall {
	r := stall{reason: Paused}
	if s.pausing(now) {
		r.left = s.pause.end.Sub(now)
	}
	if !s.limited(now) {
		return r
	}
	if left := s.pace.left(now); left > r.left {
		_, r.opens = s.pace.opening(now)
		r.opens = r.opens && !s.pausing(now)
		r.reason, r.left = RateLimited, left
	}
	return r
}

// Resting returns when a caller may come back while no server of a pool takes requests, and zero otherwise.
func (b *Balancer) RetryAfter(now time.Time, name Pool) time.Duration {
	p := b.pools[name]
	if p == nil {
		return 0
	}
	r, ok := p.stall(now)
	if !ok {
		return 0
	}
	return b.spread(r.behind(p.queue.Len()).left)
}

// starve notes that a request was kept from the limited servers of a pool.
func (p *pool) starve(now time.Time) {
	for _, s := range p.servers {
		if s.limited(now) {
			s.pace.demand.LastThrottled = now
		}
	}
}
