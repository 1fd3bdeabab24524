package lacelimit

import (
	"math"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// usePeriod is the time over which use is averaged: longer than the gaps between the requests of a steady caller, short
	// enough that an account that has stopped counts as one that does not use the link.
	usePeriod = 2 * time.Second
	// accountIdle is how long an account that has not asked is remembered.
	accountIdle = 5 * time.Second
	// mostAccounts bounds what is remembered; further accounts are held to be below their even part.
	mostAccounts = 1024
	// evenSlack is how far above its even part an account may be.
	evenSlack = 1.25
	// sizeWeight is the weight of the newest answer in a route's average.
	sizeWeight = 0.1
	// firstAnswer is expected of an answer before any was seen, at most firstPart of the burst. What it really took is charged at
	// its end, and a link that is not in use must not refuse the first requests of a process.
	firstAnswer = 16 << 10
	firstPart   = 0.5
	// routeIdle is how long the sizes of a route are remembered, mostRoutes of how many routes.
	routeIdle  = 10 * time.Minute
	mostRoutes = 4096
)

// decayed is a sum whose parts lose weight with their age.
type decayed struct {
	sum float64
	at  time.Time
}

// value returns the sum at a moment.
func (d *decayed) value(now time.Time) float64 {
	if d.at.IsZero() || !now.After(d.at) {
		return d.sum
	}
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/usePeriod.Seconds())
}

func (d *decayed) add(now time.Time, x float64) {
	d.sum = max(d.value(now)+x, 0)
	d.at = now
}

// rate returns the average for each second.
func (d *decayed) rate(now time.Time) float64 { return d.value(now) / usePeriod.Seconds() }

// accountUses are the bytes that accounts were lately given.
type accountUses struct {
	all   map[laceunit.AccountID]*accountUse
	total decayed
	swept time.Time
}

type accountUse struct {
	used  decayed
	asked time.Time
}

// over reports whether an account has used more than its even part, and notes that it asks.
func (u *accountUses) over(now time.Time, id laceunit.AccountID) bool {
	u.sweep(now)
	a := u.all[id]
	if a == nil {
		if len(u.all) >= mostAccounts {
			return false
		}
		if u.all == nil {
			u.all = map[laceunit.AccountID]*accountUse{}
		}
		a = &accountUse{}
		u.all[id] = a
	}
	a.asked = now
	return len(u.all) > 1 && a.used.value(now) > evenSlack*u.total.value(now)/float64(len(u.all))
}

func (u *accountUses) add(now time.Time, id laceunit.AccountID, bytes float64) {
	if a := u.all[id]; a != nil {
		a.used.add(now, bytes)
		u.total.add(now, bytes)
	}
}

// sweep drops idle accounts, at most once in their time.
func (u *accountUses) sweep(now time.Time) {
	if now.Sub(u.swept) < accountIdle {
		return
	}
	u.swept = now
	for id, a := range u.all {
		if now.Sub(a.asked) >= accountIdle {
			u.total.add(now, -a.used.value(now))
			delete(u.all, id)
		}
	}
}

// routeSizes are the average sizes of the requests of each route, and of all together for routes without any yet.
type routeSizes struct {
	all    map[string]*routeSize
	common routeSize
	swept  time.Time
}

type routeSize struct {
	body, answer float64
	seen         time.Time
}

func (s *routeSize) learn(now time.Time, p Transfer) {
	weight := sizeWeight
	if s.seen.IsZero() {
		weight = 1
	}
	s.body += weight * (float64(p.Body) - s.body)
	s.answer += weight * (float64(p.Response) - s.answer)
	s.seen = now
}

// expect returns what a request probably moves; first is the answer that is expected before any was seen.
func (s *routeSizes) expect(now time.Time, r LinkRequest, first laceunit.Bytes) Transfer {
	size := s.all[r.Route]
	if size == nil {
		size = &s.common
	}
	p := Transfer{
		Body:     laceunit.Bytes(size.body),
		Response: laceunit.Bytes(size.answer),
	}
	if size.seen.IsZero() {
		p.Response = first
	} else {
		size.seen = now
	}
	if r.Body >= 0 {
		p.Body = r.Body
	}
	return p
}

// learn takes in what a request has moved; a part of an answer tells nothing of the next, unless it is long already.
func (s *routeSizes) learn(now time.Time, route string, p Transfer) {
	if expected := s.expect(now, LinkRequest{Route: route}, 0).Response; !p.Complete && p.Response <= expected {
		return
	}
	s.common.learn(now, p)
	size := s.all[route]
	if size == nil {
		if s.sweep(now); len(s.all) >= mostRoutes {
			return
		}
		if s.all == nil {
			s.all = map[string]*routeSize{}
		}
		size = &routeSize{}
		s.all[route] = size
	}
	size.learn(now, p)
}

// sweep drops idle routes when there are many.
func (s *routeSizes) sweep(now time.Time) {
	if len(s.all) < mostRoutes || now.Sub(s.swept) < routeIdle {
		return
	}
	s.swept = now
	for name, size := range s.all {
		if now.Sub(size.seen) >= routeIdle {
			delete(s.all, name)
		}
	}
}
