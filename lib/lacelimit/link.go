package lacelimit

import (
	"math"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// targetUse is the fraction of the link's rate that data and control traffic together are to take. The rest is for
	// packet headers, which are not measured (4% of full packets), and to empty the queue that bursts have left.
	targetUse = 0.94
	// controlFraction of a link's rate is kept for control traffic, such as store calls, renewals of leases and updates.
	// Control traffic that takes more takes it from data, up to maxControlFraction: the largest message, a complete
	// compressed configuration of 90 KB, then takes 0.2 s at 10 Mbit/s.
	controlFraction    = 0.04
	maxControlFraction = 0.4
	// minAdmittedFraction of the link's rate stays for admitted requests however much refused ones take. A request that
	// is refused comes back, so that admitting nothing would not reduce what arrives.
	minAdmittedFraction = 0.1
	// congestedUse is the measured use of a direction from which a queue is assumed at the sending side: it exceeds
	// targetUse, so that more passes than was admitted.
	congestedUse = 0.95
	// throttleStep is the factor by which the admitted rate falls with each measurement of a congested link,
	// recoveryStep how much of the rate returns with each measurement below the threshold, so that the full rate is back
	// after a second. minThrottle is the lowest fraction.
	throttleStep = 0.9
	recoveryStep = 0.15
	minThrottle  = 0.6
	// burstDuration is the size of a bucket, as a time at the admitted rate. A full burst then queues for at most 90 ms
	// on an otherwise idle link; with 200 ms responses delay each other.
	burstDuration = 100 * time.Millisecond
	// maxDebt bounds how far a bucket may be below empty, as a multiple of its burst: what refused requests take beyond
	// the rate does not delay the recovery once they stop.
	maxDebt = 1.0
	// headerBytes is the overhead of the headers of a request and its response in each direction, packet headers included.
	headerBytes laceunit.Bytes = 1000
	// initialWindow is how much of a request a sender transmits before it can learn of a refusal: ten packets of TCP. It
	// arrives whether the request is admitted or not.
	initialWindow laceunit.Bytes = 14600
	// arrivals is how often a request that is refused arrives: callers repeat it once.
	arrivals = 2
	// classReserve is the fraction of the burst that each class leaves to the next higher one: with six classes, the
	// lowest one still has half of the burst. Within a class, small requests leave less of it than large ones.
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
	// maxJitter is the largest fraction of a wait that is added to it, so that callers that were refused together don't
	// return together.
	maxJitter = 0.25
	// retryTimeFraction is the largest part of the time it has left that a caller waits until its retry.
	retryTimeFraction = 1.0 / 3
	// minWait keeps callers from retrying before anything can have changed.
	minWait = 5 * time.Millisecond
)

// Link admits requests by the bytes that they take of a machine's link. Each direction has a token bucket of bytes that
// refills at the link's rate less what control traffic takes. What refused requests take is charged as well. A request is
// admitted if there is capacity for what its admission adds: what arrives before it can be refused passes the link either
// way. The zero value has no rate and admits every request.
//
// Requests are divided into classes: by rank and, within a rank, by whether their account has recently used more than
// its fair share. Each class leaves a reserve in the bucket to the higher classes, and a large request more of it than a
// small one, so that large requests of the lowest class are refused first. Each kind of request has a guaranteed share
// beside that. A refused request gets a retry time and a reservation of capacity for that time.
type Link struct {
	// Rate is the bandwidth of the link in each direction, in bytes a second; zero means that it is not known.
	Rate float64

	// deficit is how far the bucket of each direction is below full, as of refilledAt.
	deficit    volume
	refilledAt time.Time
	// throttled is by how much of its rate each direction is reduced, since it is congested nevertheless.
	throttled   volume
	utilization utilization
	routes      routeSizes
	accounts    usageByAccount
	guarantees  guarantees
	// refused is the bytes recently taken by refused requests, in the inbound direction.
	refused decayingSum
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
	// Remaining is the time until the deadline of the request; zero means that it is not known.
	Remaining time.Duration
	// Jitter is a random number in [0, 1) that spreads the retry time.
	Jitter float64
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

	// cost is the expected number of bytes of an admitted request.
	cost  volume
	class class
}

// Transfer is the number of bytes that a request has transferred.
type Transfer struct {
	// Body is what was received from the caller, Sent what was sent to backend servers, in all attempts.
	Body, Sent laceunit.Bytes
	// Response is what was received from backend servers, Forwarded what was sent to the caller.
	Response, Forwarded laceunit.Bytes
	// Complete reports whether the response reached its end.
	Complete bool
}

// volume returns the bytes of a transfer in each direction.
func (t Transfer) volume() volume {
	return volume{float64(t.Body + t.Response + headerBytes), float64(t.Sent + t.Forwarded + headerBytes)}
}

// arrived returns how many inbound bytes of a request pass the link before it can be refused.
func arrived(body laceunit.Bytes) float64 { return float64(min(body+headerBytes/2, initialWindow)) }

// Admit decides on a request; the caller must call End for an admitted one.
func (l *Link) Admit(now time.Time, r LinkRequest) LinkVerdict {
	t := l.routes.estimate(now, r, laceunit.Bytes(min(initialResponse, l.burst(directionIn)*maxInitialFraction)))
	v := LinkVerdict{
		Rate:        l.dataRate(directionIn),
		Utilization: l.utilization.fraction(),
		cost:        t.volume(),
	}
	v.Cost = laceunit.Bytes(max(v.cost[directionIn], v.cost[directionOut]))
	if l.Rate <= 0 {
		v.Admitted = true
		return v
	}
	l.refill(now)
	l.reservations.expire(now)
	overShare := l.accounts.overFairShare(now, r.Account)
	v.class = classOf(r.Rank, overShare)
	index := l.reservations.findDue(now, r.Key)
	if index >= 0 {
		v.class = min(v.class, l.reservations.pending[index].class)
	}
	added := addedBytes(t)
	k, guaranteed := kind{
		route: r.Route,
		rank:  r.Rank,
	}, guaranteedFraction*l.answerRate(now)
	covered := l.guarantees.covers(now, k, guaranteed, overShare)
	v.Wait = l.waitTime(now, v.class, added, index >= 0)
	l.reservations.claim(now, index)
	if v.Wait > 0 && !covered {
		v.Wait = l.spreadWait(now, r, v.Wait)
		l.reservations.add(reservation{
			dueAt:    now.Add(v.Wait),
			key:      r.Key,
			class:    v.class,
			cost:     added,
			repeated: index >= 0,
		})
		if !l.Saturated(now) {
			v.Wait += time.Duration(r.Jitter * maxJitter * float64(v.Wait)).Truncate(time.Millisecond)
		}
		return v
	}
	l.guarantees.charge(k, v.cost[l.tightest()], guaranteed, v.Wait > 0)
	v.Admitted, v.Wait = true, 0
	l.charge(v.cost)
	l.chargeUsage(now, r.Account, v.class, float64(v.Cost))
	return v
}

// spreadWait returns when the caller of a refused request should retry, given the time until the buckets have capacity.
// While the link is saturated, that time is short for all requests that are refused together, and most of them would be
// refused again. They are spread over the time in which their callers retry at all.
func (l *Link) spreadWait(now time.Time, r LinkRequest, wait time.Duration) time.Duration {
	latest := time.Duration(retryTimeFraction * float64(r.Remaining))
	if !l.Saturated(now) || latest <= wait {
		return wait
	}
	return wait + time.Duration(r.Jitter*float64(latest-wait)).Truncate(time.Millisecond)
}

// addedBytes returns what the admission of a request adds to what passes the link. What has arrived of it when it is
// refused passes the link in vain, and again when its caller retries.
func addedBytes(t Transfer) volume {
	added := t.volume()
	added[directionIn] = max(added[directionIn]-arrivals*arrived(t.Body), 0)
	return added
}

// End records what an admitted request has transferred and charges or refunds the difference to its expected cost.
func (l *Link) End(now time.Time, r LinkRequest, v LinkVerdict, t Transfer) {
	l.routes.update(now, r.Route, t)
	if l.Rate <= 0 {
		return
	}
	l.refill(now)
	actual := t.volume()
	l.charge(volume{
		actual[directionIn] - v.cost[directionIn],
		actual[directionOut] - v.cost[directionOut],
	})
	l.chargeUsage(now, r.Account, v.class, max(actual[directionIn], actual[directionOut])-float64(v.Cost))
}

// Refused records how many bytes of the body of a refused request were read.
func (l *Link) Refused(now time.Time, body laceunit.Bytes) {
	if l.Rate <= 0 {
		return
	}
	l.refill(now)
	bytes := volume{float64(body + headerBytes/2), float64(headerBytes / 2)}
	l.charge(bytes)
	l.refused.add(now, bytes[directionIn])
}

// Observe updates the utilization from the total traffic so far, and the admitted rate. What passes a congested link is
// less than what was sent to it, so that the admitted rate is reduced until the use is below the threshold.
func (l *Link) Observe(now time.Time, t LinkTraffic) {
	if !l.utilization.observe(now, l.Rate, t) {
		return
	}
	for d, use := range l.utilization.mean {
		switch {
		case use >= congestedUse:
			l.throttled[d] = min(1-(1-l.throttled[d])*throttleStep, 1-minThrottle)
		case use < targetUse:
			l.throttled[d] = max(l.throttled[d]-recoveryStep, 0)
		}
	}
}

// Saturated reports whether the link was saturated within the last second.
func (l *Link) Saturated(now time.Time) bool { return now.Before(l.utilization.saturatedUntil) }

// Use returns the fraction of the link's rate that was in use in each direction when it was last measured.
func (l *Link) Use() (in, out float64) {
	return l.utilization.use[directionIn], l.utilization.use[directionOut]
}

// AdmittedRate returns the rate at which data is admitted, in bytes a second; zero means unlimited.
func (l *Link) AdmittedRate() float64 { return min(l.dataRate(directionIn), l.dataRate(directionOut)) }

// dataRate returns the rate for data in a direction: the target less what control traffic takes.
func (l *Link) dataRate(d direction) float64 {
	control := min(max(l.utilization.control[d], controlFraction), maxControlFraction)
	return l.Rate * (targetUse - control) * (1 - l.throttled[d])
}

// answerRate returns the rate for admitted requests: that for data less what refused requests take.
func (l *Link) answerRate(now time.Time) float64 {
	return max(min(l.dataRate(directionIn)-l.refused.rate(now), l.dataRate(directionOut)), minAdmittedFraction*l.Rate)
}

func (l *Link) burst(d direction) float64 { return l.dataRate(d) * burstDuration.Seconds() }

// tightest returns the direction whose bucket is fuller used.
func (l *Link) tightest() direction {
	if l.deficit[directionIn]*l.burst(directionOut) >= l.deficit[directionOut]*l.burst(directionIn) {
		return directionIn
	}
	return directionOut
}

// refill adds to the buckets what has accrued since the last call.
func (l *Link) refill(now time.Time) {
	if !l.refilledAt.IsZero() && now.After(l.refilledAt) {
		elapsed := now.Sub(l.refilledAt).Seconds()
		for d := range directionCount {
			l.deficit[d] = max(l.deficit[d]-l.dataRate(d)*elapsed, 0)
		}
	}
	l.refilledAt = now
}

// charge takes bytes from the buckets, or refunds them if they are negative.
func (l *Link) charge(bytes volume) {
	for d := range directionCount {
		l.deficit[d] = min(max(l.deficit[d]+bytes[d], 0), (1+maxDebt)*l.burst(d))
	}
}

// chargeUsage adds to the usage by class and account.
func (l *Link) chargeUsage(now time.Time, account laceunit.AccountID, c class, bytes float64) {
	l.classUsage[c].add(now, bytes)
	l.accounts.add(now, account, bytes)
}

// waitTime returns how long until the buckets of both directions have capacity for a request, zero if they have now.
func (l *Link) waitTime(now time.Time, c class, cost volume, hasReservation bool) time.Duration {
	return max(l.directionWait(now, directionIn, c, cost, hasReservation),
		l.directionWait(now, directionOut, c, cost, hasReservation))
}

// directionWait returns how long until the bucket of a direction has capacity for a request. A request with a
// reservation may leave the bucket in debt and, if its account is within its fair share, use the reserve of its class
// for the next higher one. A request without a reservation must leave capacity for the reservations of others. A request
// that adds nothing to what passes the link has capacity.
func (l *Link) directionWait(now time.Time, d direction, c class, cost volume, hasReservation bool) time.Duration {
	if cost[d] <= 0 {
		return 0
	}
	burst := l.burst(d)
	reserve := classReserve * burst
	floor, level := reserve*(float64(c)+l.sizePart(d, cost[d])), burst-l.deficit[d]
	need := min(cost[d], burst-floor)
	if hasReservation {
		if level >= floor-reserve*float64(1-c%classesPerRank) {
			return 0
		}
		return l.timeUntilRefilled(now, d, c, floor+need-level+l.reservations.dueBytes(now, d, c))
	}
	expected := l.reservations.expectedBytes(now, d, c)
	setAside := min(expected, maxReservedFraction*burst)
	if level >= floor+setAside+min(need, burst-floor-setAside) {
		return 0
	}
	return l.timeUntilRefilled(now, d, c, floor+need-level+expected)
}

// sizePart returns the part of its class's reserve that a request leaves to smaller ones: half of it at the mean size.
func (l *Link) sizePart(d direction, cost float64) float64 {
	mean := l.routes.overall.transfer().volume()[d]
	return cost / (cost + mean)
}

// timeUntilRefilled returns how long a bucket takes to gain bytes that a class may use, in whole milliseconds, which is
// the unit of the retry time that callers get.
func (l *Link) timeUntilRefilled(now time.Time, d direction, c class, bytes float64) time.Duration {
	seconds := min(max(bytes, 0)/(reservableFraction*l.refillRate(now, d, c)), maxWait.Seconds())
	return max(time.Duration(math.Ceil(seconds*1000))*time.Millisecond, minWait)
}

// refillRate returns the rate at which a bucket refills for a class: the rate for data less what higher classes use
// and, inbound, refused requests take.
func (l *Link) refillRate(now time.Time, d direction, c class) float64 {
	taken := 0.0
	for i := range c {
		taken += l.classUsage[i].rate(now)
	}
	if d == directionIn {
		taken += l.refused.rate(now)
	}
	return max(l.dataRate(d)-taken, minRefillFraction*l.dataRate(d))
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
