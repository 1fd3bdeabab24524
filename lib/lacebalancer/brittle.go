package lacebalancer

import (
	"math"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// brittlePeriod is how long servers count as brittle without another response that says so.
	brittlePeriod = 10 * time.Second
	// initialBrittleLevel is the load of brittle servers, relative to their slots, that the instances aim at together
	// until responses show how much the servers take.
	initialBrittleLevel = 0.7
	minBrittleLevel     = 0.2
	// smallLimit is the number of permitted rejections a second below which the initial level is lower, down to the part
	// smallLimitLevel of it.
	smallLimit      = 5
	smallLimitLevel = 0.7
	// maxBrittleLoad bounds the share of one instance, relative to the slots of a server.
	maxBrittleLoad = 1.25
	// rejectionMargin is the number by which the permitted rejections are divided to get those that are aimed at.
	rejectionMargin = 16
	// minRejectionShare and maxRejectionShare bound the share of the requests that may be rejected.
	minRejectionShare = 0.002
	maxRejectionShare = 0.05
	// minRejectionBackoff and maxRejectionBackoff bound the time without requests after a rejection.
	minRejectionBackoff = time.Second
	maxRejectionBackoff = 30 * time.Second
	minBrittleWeight    = 1.0 / 16
	// minBorrowLoad is the load of a server, relative to its slots, below which an instance may use more than an equal
	// share, maxBorrowLoad that from which it gives the excess back.
	minBorrowLoad = 0.5
	maxBorrowLoad = 0.75
	// maxWeightRecovery is the most that the weight of a server grows in a second.
	maxWeightRecovery = 0.25
	// weightGrowth is the factor by which a report of free slots raises the weight.
	weightGrowth = 1.25
	// throttleMemory is how long the level grows after the last request that it has held back, and excessDecay how long
	// a level above 1 takes to fall back without one.
	throttleMemory = time.Second
	excessDecay    = 5 * time.Second
	// minRejectionLimit replaces a lower limit, at which no request could be sent.
	minRejectionLimit = 0.5
	// jitterSteps is the resolution of random factors.
	jitterSteps = 1024
)

// BrittleObservation is what a response shows of the brittleness of its server.
type BrittleObservation struct {
	// Brittle is true when the server says that it fails once it rejects more than MaxRejections requests a second for
	// lack of room.
	Brittle       bool
	MaxRejections laceunit.Rate
	// Instances is the number of instances among which the room of the servers is divided.
	Instances int
	// Rejected is true when the server has rejected the request for lack of room.
	Rejected bool
	// Load is the load report of the response, or nil.
	Load *Load
}

// brittleness is what is known of whether a server is brittle.
type brittleness int

const (
	// brittlenessUnknown applies until the first response. Such a server is assumed to be like the others of its pool.
	brittlenessUnknown brittleness = iota
	sound
	brittle
)

// brittleState limits the requests of this instance to a brittle server.
type brittleState struct {
	state         brittleness
	maxRejections laceunit.Rate
	// weight is the part of the instance's share that is used; rejections lower it.
	weight        float64
	weightAt      time.Time
	rejectedUntil time.Time
	rejectedAt    time.Time
	// workTime is the mean time in seconds that the server needs for a request, without the wait for a slot.
	workTime average
	// overload is the last reported load relative to the slots, at least 1.
	overload float64
	// sentAt is when the last request was sent. With a share below 1, the next one follows after pace times the mean
	// interval of requests.
	sentAt time.Time
	pace   float64
}

// brittlePool is the state that an instance shares among the brittle servers of a pool.
type brittlePool struct {
	// seenAt is when a server last said that it is brittle; zero while none does.
	seenAt time.Time
	// since is when the period began. What was sent before does not show whether the level is right.
	since     time.Time
	instances float64
	// level is the load of the servers, relative to their slots, that is reached if all instances use the same level.
	level      float64
	adjustedAt time.Time
	// turn is when a request may be sent beyond the whole part of the share.
	turn time.Time
	// load is the mean reported load of the servers relative to their slots.
	load average
	// slots is the number of slots of the servers that are in use, at slotsAt.
	slots   float64
	slotsAt time.Time
	// throttledAt is when a request was last held back.
	throttledAt time.Time
}

// ObserveBrittle records what a response shows of the brittleness of the server of a ticket. It reports whether the
// server has become brittle, or has ceased to be.
func (b *Balancer) ObserveBrittle(now time.Time, ticket Ticket, o BrittleObservation) (bool, []Decision) {
	assigned, ok := b.assigned[ticket]
	if !ok {
		return false, nil
	}
	s := b.current(assigned.server)
	x := &s.brittle
	was := x.state
	x.overload = o.reportedLoad()
	x.state = sound
	if o.Brittle {
		x.state, x.maxRejections = brittle, max(o.MaxRejections, minRejectionLimit)
	}
	for _, p := range s.pools {
		p.observeBrittle(now, assigned.assignedAt, s, o)
	}
	switch {
	case o.Brittle && o.Rejected:
		b.backOff(now, assigned.pool, s)
	case o.Brittle && o.Load != nil:
		x.followLoad(now, o.reportedLoad(), assigned.pool.weightRecovery(s))
	}
	if was == brittle == o.Brittle {
		return false, nil
	}
	return true, b.drainQueues(now, s.pools)
}

func (p *pool) observeBrittle(now, assignedAt time.Time, s *server, o BrittleObservation) {
	x := &p.brittle
	if !o.Brittle {
		if x.seenAt.IsZero() {
			return
		}
		for _, other := range p.servers {
			if other.brittle.state == brittle {
				return
			}
		}
		*x = brittlePool{}
		return
	}
	if !p.isBrittle(now) {
		*x = brittlePool{
			level:      initialLevel(s.brittle.maxRejections),
			adjustedAt: now,
			since:      now,
		}
	}
	x.seenAt, x.instances = now, float64(max(o.Instances, 1))
	if o.Load != nil {
		x.load.add(o.reportedLoad())
	}
	x.relax(now)
	if assignedAt.After(x.since) {
		x.adjust(now, p.rejectionShare(s), max(float64(p.localLoad), 2), o)
	}
}

// initialLevel returns the level at which the instances begin; it is lower for few permitted rejections.
func initialLevel(maxRejections laceunit.Rate) float64 {
	return initialBrittleLevel * min(1, smallLimitLevel+float64(maxRejections)/smallLimit*(1-smallLimitLevel))
}

// reportedLoad returns the load relative to the slots; without a report it is unknown and taken for high.
func (o BrittleObservation) reportedLoad() float64 {
	if o.Load == nil || o.Load.Slots <= 0 {
		return 1
	}
	return float64(o.Load.Running+o.Load.Waiting) / float64(o.Load.Slots)
}

// relax lets a level above 1 fall back while it is not used, since other instances may use the room.
func (x *brittlePool) relax(now time.Time) {
	if now.Sub(x.throttledAt) >= throttleMemory && x.level > 1 {
		x.level = 1 + (x.level-1)*math.Exp(-now.Sub(x.adjustedAt).Seconds()/excessDecay.Seconds())
	}
	x.adjustedAt = now
}

// adjust changes the level by a response, so that the given share of requests is rejected in equilibrium. A step is
// divided by the number of requests in flight, so that the level changes as fast with many requests as with few.
func (x *brittlePool) adjust(now time.Time, rejectionShare, inFlight float64, o BrittleObservation) {
	switch {
	case o.Rejected:
		x.level *= 1 - 1/inFlight
	case x.level > 1 && o.reportedLoad() > maxBorrowLoad:
		x.level = 1 + (x.level-1)/2
	case now.Sub(x.throttledAt) < throttleMemory && (x.level < 1 || o.reportedLoad() < minBorrowLoad):
		x.level *= 1 + rejectionShare/inFlight
	}
	x.level = min(max(x.level, minBrittleLevel), maxBrittleLoad*x.instances)
}

// rejectionShare returns the share of the requests to a server that may be rejected.
func (p *pool) rejectionShare(s *server) float64 {
	permitted := float64(s.brittle.maxRejections) / rejectionMargin
	return min(max(permitted*p.serverTime(s)/s.Capacity(), minRejectionShare), maxRejectionShare)
}

// backOff stops requests to a server that has rejected one, and lowers its weight.
func (b *Balancer) backOff(now time.Time, p *pool, s *server) {
	x := &s.brittle
	x.weight, x.weightAt = max(x.weightNow(now, p.weightRecovery(s))/2, minBrittleWeight), now
	wait := time.Duration(p.brittle.instances / float64(x.maxRejections) * float64(time.Second))
	wait = min(max(wait, minRejectionBackoff), maxRejectionBackoff)
	x.rejectedAt = now
	x.rejectedUntil = later(x.rejectedUntil, now.Add(time.Duration(b.spread()*float64(wait))))
}

// spread returns a random factor from 0.75 to 1.25.
func (b *Balancer) spread() float64 { return 0.75 + 0.5*float64(b.random(jitterSteps))/jitterSteps }

// weightRecovery returns by how much the weight of a server grows in a second. In equilibrium, the instances together
// then get a small part of the permitted rejections.
func (p *pool) weightRecovery(s *server) float64 {
	return min(float64(s.brittle.maxRejections)/(rejectionMargin*p.brittle.instances), maxWeightRecovery)
}

func (x *brittleState) weightNow(now time.Time, recovery float64) float64 {
	if x.weightAt.IsZero() {
		return 1
	}
	return min(1, x.weight+recovery*now.Sub(x.weightAt).Seconds())
}

// followLoad lowers the weight of a server whose slots are all in use, and raises that of one with free slots.
func (x *brittleState) followLoad(now time.Time, load, recovery float64) {
	weight := x.weightNow(now, recovery)
	switch {
	case load > 1:
		weight /= load
	case load < maxBorrowLoad:
		weight *= weightGrowth
	}
	x.weight, x.weightAt = min(max(weight, minBrittleWeight), 1), now
}

// isBrittle reports whether a server of the pool has lately said that it is brittle.
func (p *pool) isBrittle(now time.Time) bool {
	return !p.brittle.seenAt.IsZero() && now.Sub(p.brittle.seenAt) < brittlePeriod
}

// limitsBrittle reports whether the requests to a server are limited because it is brittle.
func (p *pool) limitsBrittle(now time.Time, s *server) bool {
	return s.brittle.state != sound && p.isBrittle(now)
}
