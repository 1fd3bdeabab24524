package lacelimit

import (
	"math"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// usageDecayTime is the time constant of the moving averages of usage: longer than the gaps between the requests of a
	// steady caller, short enough that an account that has stopped soon counts as not using the link.
	usageDecayTime = 2 * time.Second
	// accountIdleTimeout is how long the usage of an account without requests is kept.
	accountIdleTimeout = 5 * time.Second
	// maxAccounts bounds the number of tracked accounts; further accounts count as within their fair share.
	maxAccounts = 1024
	// fairShareTolerance is the factor by which an account may exceed its fair share.
	fairShareTolerance = 1.25
	// sizeWeight is the weight of the newest transfer in a route's moving average.
	sizeWeight = 0.1
	// initialResponse is the expected size of a response before any was observed, at most maxInitialFraction of the burst.
	// The actual size is charged at its end, and an idle link must not refuse the first requests of a process.
	initialResponse    = 16 << 10
	maxInitialFraction = 0.5
	// routeIdleTimeout is how long the sizes of an unused route are kept, maxRoutes for how many routes.
	routeIdleTimeout = 10 * time.Minute
	maxRoutes        = 4096
)

// decayingSum is an exponentially decaying sum.
type decayingSum struct {
	sum float64
	at  time.Time
}

// value returns the sum as of now.
func (d *decayingSum) value(now time.Time) float64 {
	if d.at.IsZero() || !now.After(d.at) {
		return d.sum
	}
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/usageDecayTime.Seconds())
}

func (d *decayingSum) add(now time.Time, x float64) {
	d.sum = max(d.value(now)+x, 0)
	d.at = now
}

// rate returns the moving average per second.
func (d *decayingSum) rate(now time.Time) float64 { return d.value(now) / usageDecayTime.Seconds() }

// usageByAccount tracks the bytes recently charged to each account.
type usageByAccount struct {
	accounts  map[laceunit.AccountID]*accountUsage
	total     decayingSum
	lastSweep time.Time
}

type accountUsage struct {
	bytes       decayingSum
	lastRequest time.Time
}

// overFairShare reports whether an account has used more than its fair share, and records that it sent a request.
func (u *usageByAccount) overFairShare(now time.Time, id laceunit.AccountID) bool {
	u.evictIdle(now)
	a := u.accounts[id]
	if a == nil {
		if len(u.accounts) >= maxAccounts {
			return false
		}
		if u.accounts == nil {
			u.accounts = map[laceunit.AccountID]*accountUsage{}
		}
		a = &accountUsage{}
		u.accounts[id] = a
	}
	a.lastRequest = now
	return len(u.accounts) > 1 && a.bytes.value(now) > fairShareTolerance*u.total.value(now)/float64(len(u.accounts))
}

func (u *usageByAccount) add(now time.Time, id laceunit.AccountID, bytes float64) {
	if a := u.accounts[id]; a != nil {
		a.bytes.add(now, bytes)
		u.total.add(now, bytes)
	}
}

// evictIdle drops idle accounts, at most once per accountIdleTimeout.
func (u *usageByAccount) evictIdle(now time.Time) {
	if now.Sub(u.lastSweep) < accountIdleTimeout {
		return
	}
	u.lastSweep = now
	for id, a := range u.accounts {
		if now.Sub(a.lastRequest) >= accountIdleTimeout {
			u.total.add(now, -a.bytes.value(now))
			delete(u.accounts, id)
		}
	}
}

// routeSizes tracks the average sizes of the requests of each route, and those of all requests for routes without data.
type routeSizes struct {
	routes    map[string]*routeSize
	overall   routeSize
	lastSweep time.Time
}

type routeSize struct {
	body, response float64
	lastSeen       time.Time
}

func (s *routeSize) update(now time.Time, t Transfer) {
	weight := sizeWeight
	if s.lastSeen.IsZero() {
		weight = 1
	}
	s.body += weight * (float64(t.Body) - s.body)
	s.response += weight * (float64(t.Response) - s.response)
	s.lastSeen = now
}

// transfer returns the mean transfer of a request that is sent to one server.
func (s *routeSize) transfer() Transfer {
	return Transfer{
		Body:      laceunit.Bytes(s.body),
		Sent:      laceunit.Bytes(s.body),
		Response:  laceunit.Bytes(s.response),
		Forwarded: laceunit.Bytes(s.response),
	}
}

// estimate returns the expected transfer of a request; initial is the expected response before any was observed.
func (s *routeSizes) estimate(now time.Time, r LinkRequest, initial laceunit.Bytes) Transfer {
	size := s.routes[r.Route]
	if size == nil {
		size = &s.overall
	}
	t := size.transfer()
	if size.lastSeen.IsZero() {
		t.Response, t.Forwarded = initial, initial
	} else {
		size.lastSeen = now
	}
	if r.Body >= 0 {
		t.Body, t.Sent = r.Body, r.Body
	}
	return t
}

// update adds a transfer to the averages. An incomplete response is ignored unless it is larger than expected already,
// since its full size is not known.
func (s *routeSizes) update(now time.Time, route string, t Transfer) {
	if expected := s.estimate(now, LinkRequest{Route: route}, 0).Response; !t.Complete && t.Response <= expected {
		return
	}
	s.overall.update(now, t)
	size := s.routes[route]
	if size == nil {
		if s.evictIdle(now); len(s.routes) >= maxRoutes {
			return
		}
		if s.routes == nil {
			s.routes = map[string]*routeSize{}
		}
		size = &routeSize{}
		s.routes[route] = size
	}
	size.update(now, t)
}

// evictIdle drops idle routes when the table is full, at most once per routeIdleTimeout.
func (s *routeSizes) evictIdle(now time.Time) {
	if len(s.routes) < maxRoutes || now.Sub(s.lastSweep) < routeIdleTimeout {
		return
	}
	s.lastSweep = now
	for name, size := range s.routes {
		if now.Sub(size.lastSeen) >= routeIdleTimeout {
			delete(s.routes, name)
		}
	}
}
