package lacelimit

import (
	"math"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// controlFraction of a link's bandwidth is reserved for control traffic. The largest control message, a complete
	// compressed configuration of 90 KB, takes 0.3 s at a quarter of 10 Mbit/s.
	controlFraction = 0.25
	// burstDuration is the size of the bucket, as a time at the admitted rate. A full burst then queues for at most 75 ms
	// on an otherwise idle link, as the link is faster than the admitted rate; with 200 ms responses delay each other.
	burstDuration = 100 * time.Millisecond
	// headerBytes is the overhead of the headers of a request and its response in each direction, packet headers included.
	headerBytes laceunit.Bytes = 1000
	// classReserve is the fraction of the burst that each class leaves to the next higher one: with six classes, the
	// lowest one still has half of the burst.
	classReserve = 0.1
	// maxReservedFraction bounds the fraction of the burst that new requests leave to reservations of retrying callers.
	// Callers that don't retry cost this fraction of the burst but none of the rate.
	maxReservedFraction = 0.35
	// reservableFraction of the refill rate is assumed when a retry time is computed. At the full rate, each burst of
	// other requests would take the capacity of the reservations: in the worst load of
	// TestLinkReservesBandwidthForControl, 1 honors 27% of them and 0.8 honors 30%.
	reservableFraction = 0.55
	// minRefillFraction is the lowest fraction of the rate that is assumed for a class when its retry time is computed.
	minRefillFraction = 0.1
	// maxWait bounds the time until a retry, since the load can't be predicted further ahead.
	maxWait = 30 * time.Second
	// minWait keeps callers from retrying before anything can have changed.
	minWait = 5 * time.Millisecond
)

// Link admits requests by the bytes that they take of a machine's link. It is a token bucket of bytes that refills at
// the link's rate less the fraction for control traffic. The zero value has no rate and admits every request.
//
// Requests are divided into classes: by rank and, within a rank, by whether their account has recently used more than
// its fair share. Each class leaves a reserve in the bucket to the higher classes, so that the lowest class is refused
// first. A refused request gets a retry time and a reservation of capacity for that time.
type Link struct {
	// Rate is the bandwidth of the link in each direction, in bytes a second; zero means that it is not known.
	Rate float64

	// deficit is how far the bucket is below full, as of refilledAt.
	deficit     float64
	refilledAt  time.Time
	utilization utilization
	routes      routeSizes
	accounts    usageByAccount
	// classUsage is the bytes recently charged to each class.
	classUsage   [classCount]decayingSum
	reservations reservations
}

// LinkRequest is a request for admission to the link.
type LinkRequest struct {
	Account laceunit.AccountID
	// Rank orders requests; 0 is the most urgent.
	Rank  int
	Route string
	// Body is the length of the body, negative if it is not known.
	Body laceunit.Bytes
	// Key identifies a request across its retries.
	Key uint64
}

// LinkVerdict is the decision on a request with the figures that led to it.
type LinkVerdict struct {
	Admitted bool
	// Cost is the expected number of bytes in each direction.
	Cost laceunit.Bytes
	// Wait is how long until a refused request is expected to find capacity.
	Wait time.Duration
	// Rate is the admitted rate in bytes a second, Utilization the fraction of the link that was recently in use.
	Rate        float64
	Utilization float64
}

// Transfer is the number of bytes that a request has transferred.
type Transfer struct {
	// Body is what was sent to backend servers, Response what was received from them.
	Body     laceunit.Bytes
	Response laceunit.Bytes
	// Complete reports whether the response reached its end.
	Complete bool
}

// cost returns the bytes of a transfer in each direction: a body comes in from the caller and goes out to the server, a
// response comes in from the server and goes out to the caller.
func (t Transfer) cost() laceunit.Bytes { return t.Body + t.Response + headerBytes }

// Admit decides on a request; the caller must call End for an admitted one.
func (l *Link) Admit(now time.Time, r LinkRequest) LinkVerdict {
	v := LinkVerdict{
		Cost: l.routes.estimate(now, r,
			laceunit.Bytes(min(initialResponse, l.burst()*maxInitialFraction))).cost(),
		Rate:        l.rate(),
		Utilization: l.utilization.fraction,
	}
	if l.Rate <= 0 {
		v.Admitted = true
		return v
	}
	l.refill(now)
	l.reservations.expire(now)
	c := classOf(r.Rank, l.accounts.overFairShare(now, r.Account))
	index := l.reservations.findDue(now, r.Key)
	if index >= 0 {
		c = min(c, l.reservations.pending[index].class)
	}
	v.Wait = l.waitTime(now, c, float64(v.Cost), index >= 0)
	l.reservations.claim(now, index)
	if v.Wait > 0 {
		l.reservations.add(reservation{
			dueAt:    now.Add(v.Wait),
			key:      r.Key,
			class:    c,
			cost:     float64(v.Cost),
			repeated: index >= 0,
		})
		return v
	}
	v.Admitted = true
	l.charge(now, r.Account, c, float64(v.Cost))
	return v
}

// End records what an admitted request has transferred and charges or refunds the difference to its expected cost.
func (l *Link) End(now time.Time, r LinkRequest, v LinkVerdict, t Transfer) {
	l.routes.update(now, r.Route, t)
	if l.Rate <= 0 {
		return
	}
	l.refill(now)
	l.charge(now, r.Account, classOf(r.Rank, false), float64(t.cost()-v.Cost))
}

// Observe updates the utilization from the total bytes that data connections have read and written so far.
func (l *Link) Observe(now time.Time, in, out laceunit.Bytes) {
	l.utilization.observe(now, l.Rate, in, out)
}

// AdmittedRate returns the rate at which data is admitted, in bytes a second; zero means unlimited.
func (l *Link) AdmittedRate() float64 { return l.rate() }

func (l *Link) rate() float64 { return l.Rate * (1 - controlFraction) }

func (l *Link) burst() float64 { return l.rate() * burstDuration.Seconds() }

// refill adds to the bucket what has accrued since the last call.
func (l *Link) refill(now time.Time) {
	if !l.refilledAt.IsZero() && now.After(l.refilledAt) {
		l.deficit = max(l.deficit-l.rate()*now.Sub(l.refilledAt).Seconds(), 0)
	}
	l.refilledAt = now
}

// charge takes bytes from the bucket, or refunds them if they are negative.
func (l *Link) charge(now time.Time, account laceunit.AccountID, c class, bytes float64) {
	l.deficit = max(l.deficit+bytes, 0)
	l.classUsage[c].add(now, bytes)
	l.accounts.add(now, account, bytes)
}

// waitTime returns how long until the bucket has capacity for a request, zero if it has now. A request with a
// reservation may leave the bucket in debt and, if its account is within its fair share, use the reserve of its class
// for the next higher one. A request without a reservation must leave capacity for the reservations of others.
func (l *Link) waitTime(now time.Time, c class, cost float64, hasReservation bool) time.Duration {
	burst := l.burst()
	floor, level := classReserve*burst*float64(c), burst-l.deficit
	need := min(cost, burst-floor)
	if hasReservation {
		if level >= floor-classReserve*burst*float64(1-c%classesPerRank) {
			return 0
		}
		return l.timeUntilRefilled(now, c, floor+need-level+l.reservations.dueBytes(now, c))
	}
	expected := l.reservations.expectedBytes(now, c)
	setAside := min(expected, maxReservedFraction*burst)
	if level >= floor+setAside+min(need, burst-floor-setAside) {
		return 0
	}
	return l.timeUntilRefilled(now, c, floor+need-level+expected)
}

// timeUntilRefilled returns how long the bucket takes to gain bytes that a class may use, in whole milliseconds, which
// is the unit of the retry time that callers get.
func (l *Link) timeUntilRefilled(now time.Time, c class, bytes float64) time.Duration {
	seconds := min(max(bytes, 0)/(reservableFraction*l.refillRate(now, c)), maxWait.Seconds())
	return max(time.Duration(math.Ceil(seconds*1000))*time.Millisecond, minWait)
}

// refillRate returns the rate at which the bucket refills for a class: the admitted rate less what higher classes use.
func (l *Link) refillRate(now time.Time, c class) float64 {
	higher := 0.0
	for i := range c {
		higher += l.classUsage[i].rate(now)
	}
	return max(l.rate()-higher, minRefillFraction*l.rate())
}

// class is the admission class of a request; 0 is the highest, which is refused last.
type class int

const (
	// classesPerRank is two: one for accounts within their fair share and one for those above it.
	classesPerRank = 2
	// rankCount is the number of distinct ranks; higher numbers count as the last one.
	rankCount  = 3
	classCount = rankCount * classesPerRank
)

func classOf(rank int, overShare bool) class {
	c := class(classesPerRank * min(max(rank, 0), rankCount-1))
	if overShare {
		c++
	}
	return c
}
