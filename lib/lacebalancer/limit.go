package lacebalancer

import (
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// burstTime is how much of its allowance a server may get at once, if it got nothing before; one request always may.
	burstTime = 250 * time.Millisecond
	// leastOpening and mostOpening bound what a caller is told about a server of which this instance has no part.
	leastOpening = 100 * time.Millisecond
	mostOpening  = 30 * time.Second
)

// Allowance is what this instance may send to a server that has named a limit.
type Allowance struct {
	// Rate is this instance's part, zero for none.
	Rate laceunit.Rate
	// Whole is what the server takes from all instances together.
	Total laceunit.Rate
	// From is when the first request may be sent, Until when the part ends unless it is renewed; zero means never.
	From  time.Time
	Until time.Time
}

// Demand tells what requests lately asked of a server with a limit.
type Demand struct {
	// Used is when a request was last sent within the allowance, Short when one was last kept from the server by it.
	LastSent      time.Time
	LastThrottled time.Time
}

// pace spaces the requests to a server with a limit.
type pace struct {
	allowance Allowance
	// next is when the next request is due if they are spaced evenly.
	next   time.Time
	demand Demand
}

func (p *pace) set(now time.Time, a Allowance) {
	if a.Rate > p.allowance.Rate {
		// What was sent at the lower rate does not count for longer than at the new one.
		if last := now.Add(interval(a.Rate) + early(a.Rate)); p.next.After(last) {
			p.next = last
		}
	}
	p.next = later(p.next, a.From)
	p.allowance = a
}

// interval returns the time between two requests at a rate.
func interval(r laceunit.Rate) time.Duration { return time.Duration(float64(time.Second) / float64(r)) }

// early is how long before it is due a request may be sent.
func early(r laceunit.Rate) time.Duration { return max(burstTime-interval(r), 0) }

// opening returns when a request may be sent, and false while that is not known.
func (p *pace) opening(now time.Time) (time.Time, bool) {
	a := p.allowance
	if a.Rate <= 0 || !a.Until.IsZero() && !now.Before(a.Until) {
		return time.Time{}, false
	}
	return later(p.next.Add(-early(a.Rate)), a.From), true
}

// open reports whether a request may be sent now.
func (p *pace) open(now time.Time) bool {
	at, known := p.opening(now)
	return known && !now.Before(at)
}

// take counts a request.
func (p *pace) take(now time.Time) {
	p.next = later(p.next, now).Add(interval(p.allowance.Rate))
	p.demand.LastSent = now
}

// left returns how long the server takes nothing from this instance.
func (p *pace) left(now time.Time) time.Duration {
	if at, known := p.opening(now); known {
		return max(at.Sub(now), 0)
	}
	// Parts of the limit may be free elsewhere or come here.
	if p.allowance.Total <= 0 {
		return mostOpening
	}
	return min(max(interval(p.allowance.Total), leastOpening), mostOpening)
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// Limit sets what this instance may send to a start of a server, whether it is listed or not.
func (b *Balancer) SetAllowance(now time.Time, id laceunit.ServerID, born int64, a Allowance) []Decision {
	key := birth{
		id:   id,
		born: born,
	}
	p := b.paces[key]
	if p == nil {
		p = &pace{}
		b.paces[key] = p
	}
	p.set(now, a)
	s := b.servers[id]
	if s == nil || s.born != born {
		return nil
	}
	s.pace = p
	return b.drainAll(now, s.pools)
}

// Unlimit ends the limit of a start of a server.
func (b *Balancer) ClearAllowance(now time.Time, id laceunit.ServerID, born int64) []Decision {
	delete(b.paces, birth{
		id:   id,
		born: born,
	})
	s := b.servers[id]
	if s == nil || s.born != born || s.pace == nil {
		return nil
	}
	s.pace = nil
	return b.drainAll(now, s.pools)
}

// Demand tells what requests lately asked of a start of a server with a limit.
func (b *Balancer) Demand(id laceunit.ServerID, born int64) Demand {
	if p := b.paces[birth{
		id:   id,
		born: born,
	}]; p != nil {
		return p.demand
	}
	return Demand{}
}

// Sending is what became of a request that was given a server.
type Assignment struct {
	Server    laceunit.ServerID
	StartTime int64
	// At is when the server was chosen.
	At time.Time
}

// Sending returns where and when a ticket was sent.
func (b *Balancer) Assignment(ticket Ticket) (Assignment, bool) {
	f, ok := b.flights[ticket]
	if !ok {
		return Assignment{}, false
	}
	return Assignment{
		Server:    f.server.id,
		StartTime: f.server.born,
		At:        f.at,
	}, true
}

// limited reports whether the server takes nothing now because of its limit.
func (s *server) limited(now time.Time) bool { return s.pace != nil && !s.pace.open(now) }

// shut reports whether the server takes nothing now, because it has asked for a pause or by its limit.
func (s *server) shut(now time.Time) bool { return s.pausing(now) || s.limited(now) }
