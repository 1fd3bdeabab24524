package lacebalancer

import (
	"math"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// lightLoad is the mean load of the servers, relative to their slots, below which a burst does no harm, so that
	// requests don't wait for their turn.
	lightLoad = 0.5
	// turnLength is the number of intervals after which an unused turn is lost, minTurnLength the least time until then.
	turnLength    = 2
	minTurnLength = 20 * time.Millisecond
	// minOwnSlots is the share of an instance from which the whole part of it needs no turns.
	minOwnSlots = 4
	// serverPace is the least mean interval of requests to a server, relative to that of the instance's share.
	serverPace = 0.6
	// minShare bounds the interval of requests.
	minShare = 1e-3
	// slotsInterval is how often the slots of a pool are counted.
	slotsInterval = 50 * time.Millisecond
)

// addWorkTime adds the latency of a successful request. While all slots are in use, a part of it is the wait for one.
func (p *pool) addWorkTime(s *server, latency time.Duration) {
	t := latency.Seconds() / max(s.brittle.overload, 1)
	s.brittle.workTime.add(t)
	p.workTime.add(t)
}

// serverTime returns the mean time that a server needs for a request, in seconds.
func (p *pool) serverTime(s *server) float64 {
	own := s.brittle.workTime
	return (own.value*own.samples + p.meanWorkTime()*speedPrior) / (own.samples + speedPrior)
}

// meanWorkTime returns the mean time that a request needs, a usual one before the first response.
func (p *pool) meanWorkTime() float64 {
	if p.workTime.samples == 0 {
		return initialDuration / 1000
	}
	return p.workTime.value
}

// brittleShare returns how many requests this instance may have at a brittle server on average.
func (p *pool) brittleShare(now time.Time, s *server) float64 {
	weight := s.brittle.weightNow(now, p.weightRecovery(s))
	return s.Capacity() * p.brittle.level * weight / p.brittle.instances
}

// brittleTotal returns how many requests this instance may have at the brittle servers of the pool together.
func (p *pool) brittleTotal(now time.Time) float64 {
	x := &p.brittle
	if x.slotsAt.IsZero() || now.Sub(x.slotsAt) >= slotsInterval {
		x.slots, x.slotsAt = 0, now
		for _, s := range p.servers {
			if !s.leaving && !s.ejected && s.brittle.state != sound {
				x.slots += s.Capacity()
			}
		}
	}
	return x.slots * x.level / x.instances
}

// ownSlots returns the number of requests up to which this instance may always send one to the brittle servers, and its
// share beyond them, for which it gets turns.
func (p *pool) ownSlots(now time.Time) (own, rest float64) {
	total := p.brittleTotal(now)
	if total < minOwnSlots {
		return 0, total
	}
	return math.Modf(total)
}

// turnInterval returns the mean interval of turns.
func (p *pool) turnInterval(rest float64) time.Duration {
	return time.Duration(p.meanWorkTime() * float64(time.Second) / max(rest, minShare))
}

// nextTurn returns when this instance may send the next request to the brittle servers of the pool. Turns come at random
// times. One that is not used is lost after some time, since the instances would otherwise use all of them at the
// beginning of a burst.
func (b *Balancer) nextTurn(now time.Time, p *pool) time.Time {
	x := &p.brittle
	own, rest := p.ownSlots(now)
	load := float64(p.localLoad)
	switch interval := p.turnInterval(rest); {
	case load < own:
		return now
	case load > own+math.Round(rest):
		return now.Add(time.Duration(p.meanWorkTime() * float64(time.Second)))
	case now.Sub(x.turn) > max(turnLength*interval, minTurnLength) && x.load.value >= lightLoad:
		x.turn = now.Add(time.Duration(float64(b.random(jitterSteps)) / jitterSteps * float64(interval)))
	}
	return x.turn
}

// nextToBrittle returns when the next request may be sent to a brittle server, apart from the turns of the pool.
func (p *pool) nextToBrittle(now time.Time, s *server) time.Time {
	x := &s.brittle
	share := p.brittleShare(now, s)
	serverTime := p.serverTime(s) * float64(time.Second)
	next := x.rejectedUntil
	switch {
	case float64(s.localLoad) >= math.Ceil(share):
		next = later(next, now.Add(time.Duration(serverTime)))
	case share < 1:
		next = later(next, x.sentAt.Add(time.Duration(x.pace*serverTime/max(share, minShare))))
	}
	return next
}

// withheld reports whether a request to a server must wait because the server is brittle.
func (b *Balancer) withheld(now time.Time, p *pool, s *server) bool {
	if !p.limitsBrittle(now, s) {
		return false
	}
	if s.brittle.sentAt.IsZero() {
		// All instances see a server that is back at the same time.
		s.brittle.sentAt, s.brittle.pace = now, float64(b.random(jitterSteps))/jitterSteps
	}
	return now.Before(b.nextTurn(now, p)) || now.Before(p.nextToBrittle(now, s))
}

// holdBack reports whether a request to a server must wait because the server is brittle, and records it.
func (b *Balancer) holdBack(now time.Time, p *pool, s *server) bool {
	if !b.withheld(now, p, s) {
		return false
	}
	p.brittle.throttledAt = now
	return true
}

// sendToBrittle counts a request that is assigned to a server; it precedes the count of requests in flight.
func (b *Balancer) sendToBrittle(now time.Time, p *pool, s *server) {
	if !p.limitsBrittle(now, s) {
		return
	}
	if own, rest := p.ownSlots(now); float64(p.localLoad) >= own {
		p.brittle.turn = now.Add(time.Duration(b.spread() * float64(p.turnInterval(rest))))
	}
	s.brittle.sentAt, s.brittle.pace = now, serverPace*b.spread()
}

// rejectedSince reports whether the server has rejected a request of this instance since a point in time.
func (x *brittleState) rejectedSince(t time.Time) bool {
	return x.state == brittle && x.rejectedAt.After(t)
}

// brittleStall returns how long requests to a brittle server have to wait.
func (b *Balancer) brittleStall(now time.Time, p *pool, s *server) stall {
	return stall{
		reason:    Withheld,
		wait:      later(b.nextTurn(now, p), p.nextToBrittle(now, s)).Sub(now),
		queueable: true,
		rate:      laceunit.Rate(p.brittleShare(now, s) / p.serverTime(s)),
	}
}
