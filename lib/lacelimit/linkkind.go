package lacelimit

import "time"

const (
	// guaranteedFraction of the rate for admitted requests is divided evenly between the kinds of requests that are
	// asked for, so that no kind is starved by more urgent or smaller requests.
	guaranteedFraction = 0.3
	// kindActiveTime is how long after its last request a kind still gets its part.
	kindActiveTime = 2 * time.Second
	// guaranteeBurst bounds what a kind accumulates, as a time at its guaranteed rate: the gap between two requests of a
	// kind that is asked for rarely.
	guaranteeBurst = 500 * time.Millisecond
	// maxKinds bounds the number of tracked kinds; further kinds have no guarantee.
	maxKinds = 4096
)

// kind is a route with a rank, as accounts of different ranks may use one route.
type kind struct {
	route string
	rank  int
}

// guarantees tracks what each kind of request may use of its minimum share.
type guarantees struct {
	kinds   map[kind]*guarantee
	sweptAt time.Time
	// all bounds what the guarantees of all kinds admit together, also when many kinds are each asked for rarely.
	all guarantee
}

type guarantee struct {
	// credit is the number of bytes that the kind may use; it is negative after a request that was larger.
	credit      float64
	refilledAt  time.Time
	lastRequest time.Time
}

// refill adds to the credit what has accrued at a rate.
func (x *guarantee) refill(now time.Time, rate float64) {
	if !x.refilledAt.IsZero() {
		x.credit = min(x.credit+rate*max(now.Sub(x.refilledAt).Seconds(), 0), rate*guaranteeBurst.Seconds())
	}
	x.refilledAt = now
}

// covers reports whether a request of a kind is covered by its minimum share of a rate. An account above its fair share
// leaves half of what has accrued to others. The request counts as one that is asked for either way.
func (g *guarantees) covers(now time.Time, k kind, rate float64, overShare bool) bool {
	g.evictIdle(now)
	g.all.refill(now, rate)
	x := g.kinds[k]
	if x == nil {
		if len(g.kinds) >= maxKinds {
			return false
		}
		if g.kinds == nil {
			g.kinds = map[kind]*guarantee{}
		}
		x = &guarantee{}
		g.kinds[k] = x
	}
	x.lastRequest = now
	part := rate / float64(len(g.kinds))
	x.refill(now, part)
	least := 0.0
	if overShare {
		least = part * guaranteeBurst.Seconds() / 2
	}
	return g.all.credit >= 0 && x.credit >= least
}

// charge takes the bytes of an admitted request from the share of its kind, whose credit does not fall below what one
// burst restores; onlyCovered is true for a request that was admitted only because of the share.
func (g *guarantees) charge(k kind, bytes, rate float64, onlyCovered bool) {
	least := -rate * guaranteeBurst.Seconds()
	if onlyCovered {
		g.all.credit = max(g.all.credit-bytes, least)
	}
	if x := g.kinds[k]; x != nil {
		x.credit = max(x.credit-bytes, least)
	}
}

// evictIdle drops the kinds without recent requests.
func (g *guarantees) evictIdle(now time.Time) {
	if now.Sub(g.sweptAt) < kindActiveTime/2 {
		return
	}
	g.sweptAt = now
	for k, x := range g.kinds {
		if now.Sub(x.lastRequest) >= kindActiveTime {
			delete(g.kinds, k)
		}
	}
}
