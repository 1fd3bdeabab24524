package lacelimit

import (
	"math"
	"time"

	"lacewingcove/lib/laceunit"
)

// admittedOnly is the baseline of the tests on a saturated link: the earlier admission, which has one bucket for both
// directions, charges only admitted requests and doesn't measure the link.
type admittedOnly struct {
	rate         float64
	deficit      float64
	refilledAt   time.Time
	routes       routeSizes
	accounts     usageByAccount
	classUsage   [classCount]decayingSum
	reservations reservations
}

// dataRate is three quarters of the link.
func (l *admittedOnly) dataRate() float64 { return 0.75 * l.rate }

func (l *admittedOnly) Refused(time.Time, laceunit.Bytes) {}
func (l *admittedOnly) Observe(time.Time, LinkTraffic)    {}

func (l *admittedOnly) Admit(now time.Time, r LinkRequest) LinkVerdict {
	v := LinkVerdict{Cost: laceunit.Bytes(l.routes.estimate(now, r, initialResponse).volume()[directionIn])}
	l.refill(now)
	l.reservations.expire(now)
	c := classOf(r.Rank, l.accounts.overFairShare(now, r.Account))
	index := l.reservations.findDue(now, r.Key)
	if index >= 0 {
		c = min(c, l.reservations.pending[index].class)
	}
	cost := float64(v.Cost)
	v.Wait = l.waitTime(now, c, cost, index >= 0)
	l.reservations.claim(now, index)
	if v.Wait > 0 {
		l.reservations.add(reservation{
			dueAt:    now.Add(v.Wait),
			key:      r.Key,
			class:    c,
			cost:     volume{cost, cost},
			repeated: index >= 0,
		})
		return v
	}
	v.Admitted = true
	l.charge(now, r.Account, c, cost)
	return v
}

func (l *admittedOnly) End(now time.Time, r LinkRequest, v LinkVerdict, t Transfer) {
	l.routes.update(now, r.Route, t)
	l.refill(now)
	l.charge(now, r.Account, classOf(r.Rank, false), t.volume()[directionIn]-float64(v.Cost))
}

func (l *admittedOnly) refill(now time.Time) {
	if !l.refilledAt.IsZero() && now.After(l.refilledAt) {
		l.deficit = max(l.deficit-l.dataRate()*now.Sub(l.refilledAt).Seconds(), 0)
	}
	l.refilledAt = now
}

func (l *admittedOnly) charge(now time.Time, account laceunit.AccountID, c class, bytes float64) {
	l.deficit = max(l.deficit+bytes, 0)
	l.classUsage[c].add(now, bytes)
	l.accounts.add(now, account, bytes)
}

func (l *admittedOnly) waitTime(now time.Time, c class, cost float64, hasReservation bool) time.Duration {
	burst := l.dataRate() * burstDuration.Seconds()
	floor, level := classReserve*burst*float64(c), burst-l.deficit
	need := min(cost, burst-floor)
	if hasReservation {
		if level >= floor-classReserve*burst*float64(1-c%classesPerRank) {
			return 0
		}
		return l.timeUntilRefilled(now, c, floor+need-level+l.reservations.dueBytes(now, directionIn, c))
	}
	expected := l.reservations.expectedBytes(now, directionIn, c)
	setAside := min(expected, maxReservedFraction*burst)
	if level >= floor+setAside+min(need, burst-floor-setAside) {
		return 0
	}
	return l.timeUntilRefilled(now, c, floor+need-level+expected)
}

func (l *admittedOnly) timeUntilRefilled(now time.Time, c class, bytes float64) time.Duration {
	higher := 0.0
	for i := range c {
		higher += l.classUsage[i].rate(now)
	}
	rate := max(l.dataRate()-higher, minRefillFraction*l.dataRate())
	seconds := min(max(bytes, 0)/(reservableFraction*rate), maxWait.Seconds())
	return max(time.Duration(math.Ceil(seconds*1000))*time.Millisecond, minWait)
}
