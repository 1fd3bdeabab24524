package lacelimit

import (
	"math"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// controlPart of a link is never given to data. The largest message of control, a whole packed configuration of 90 KB,
	// takes 0.3 s of a quarter of 10 Mbit/s.
	controlPart = 0.25
	// burstTime is how much of the admitted rate may come at once. Data then waits for at most 75 ms on a link without
	// other load, as the link is faster than the admitted rate; with 200 ms answers get in each other's way.
	burstTime = 100 * time.Millisecond
	// headBytes is what the headers of a request and its answer take in each direction, packets included.
	headBytes laceunit.Bytes = 1000
	// classStep is the part of the burst that each class leaves to the one before it: with six classes the last one still
	// has half of the burst.
	classStep = 0.1
	// holdPart is the most of the burst that new requests leave to those that come back when they were told to. Callers
	// that don't come back cost this part of the burst and nothing of the rate.
	holdPart = 0.35
	// promisedPart of what the bucket gets is told to callers that come back. If all of it were, each burst of others would
	// leave them without room: 1 keeps 27% of the promises in the worst load of TestLinkLeavesRoomForControl, 0.8 30%.
	promisedPart = 0.55
	// leastSupply is the least part of the rate that a class can count on when its time to come back is computed.
	leastSupply = 0.1
	// mostWait bounds the time to come back. The load of later moments is not known.
	mostWait = 30 * time.Second
	// leastWait keeps callers from coming back before anything can have changed.
	leastWait = 5 * time.Millisecond
)

// Link admits requests by the bytes that they take of a machine's link. It is a bucket of bytes that fills with the
// link's rate less the part for control. The zero value knows no rate and refuses nothing.
//
// Requests are divided into classes: by rank and, within a rank, by whether their account has lately used more than its
// even part. Each class leaves a part of the bucket to the classes before it, so that the last one is refused first.
type Link struct {
	// Rate is what the link carries in each direction, in bytes a second; zero means that it is not known.
	Rate float64

	// spent is what is missing of a full bucket, at the moment of filled.
	spent    float64
	filled   time.Time
	pace     pace
	routes   routeSizes
	accounts accountUses
	// classes are the bytes that each class was lately given.
	classes  [classes]decayed
	promises promises
}

// LinkRequest is a request that asks for room on the link.
type LinkRequest struct {
	Account laceunit.AccountID
	// Rank orders requests; 0 is the most urgent.
	Rank  int
	Route string
	// Body is the length of its body, negative when it is not known.
	Body laceunit.Bytes
	// Key is the same when a refused request comes again.
	Key uint64
}

// LinkVerdict is the decision about a request with the figures that it rests on.
type LinkVerdict struct {
	Admitted bool
	// Cost is what the request is expected to take in each direction.
	Cost laceunit.Bytes
	// Wait is when a refused request finds room.
	Wait time.Duration
	// Rate is the admitted rate in bytes a second, Use the part of the link that was lately in use.
	Rate        float64
	Utilization float64
}

// Passage is what a request has moved.
type Transfer struct {
	// Body is what went to backend servers, Answer what came from them.
	Body     laceunit.Bytes
	Response laceunit.Bytes
	// Whole is true when the answer came to its end.
	Complete bool
}

// cost is what a passage takes of each direction: a body comes in from the caller and goes out to the server, an answer
// comes in from the server and goes out to the caller.
func (p Transfer) cost() laceunit.Bytes { return p.Body + p.Response + headBytes }

// Admit decides about a request; an admitted one has to be ended.
func (l *Link) Admit(now time.Time, r LinkRequest) LinkVerdict {
	v := LinkVerdict{
		Cost:        l.routes.expect(now, r, laceunit.Bytes(min(firstAnswer, l.burst()*firstPart))).cost(),
		Rate:        l.rate(),
		Utilization: l.pace.use,
	}
	if l.Rate <= 0 {
		v.Admitted = true
		return v
	}
	l.fill(now)
	l.promises.expire(now)
	c := classOf(r.Rank, l.accounts.over(now, r.Account))
	due := l.promises.due(now, r.Key)
	if due >= 0 {
		c = min(c, l.promises.all[due].class)
	}
	v.Wait = l.wait(now, c, float64(v.Cost), due >= 0)
	l.promises.claim(now, due)
	if v.Wait > 0 {
		l.promises.add(promise{
			at:    now.Add(v.Wait),
			key:   r.Key,
			class: c,
			cost:  float64(v.Cost),
			again: due >= 0,
		})
		return v
	}
	v.Admitted = true
	l.take(now, r.Account, c, float64(v.Cost))
	return v
}

// End takes in what an admitted request has moved and corrects what it was charged.
func (l *Link) End(now time.Time, r LinkRequest, v LinkVerdict, p Transfer) {
	l.routes.learn(now, r.Route, p)
	if l.Rate <= 0 {
		return
	}
	l.fill(now)
	l.take(now, r.Account, classOf(r.Rank, false), float64(p.cost()-v.Cost))
}

// Observe takes in the bytes that data connections have read and written so far.
func (l *Link) Observe(now time.Time, in, out laceunit.Bytes) {
	l.pace.observe(now, l.Rate, in, out)
}

// AdmittedRate is the rate at which data is admitted, in bytes a second; zero means that there is no bound.
func (l *Link) AdmittedRate() float64 { return l.rate() }

func (l *Link) rate() float64 { return l.Rate * (1 - controlPart) }

func (l *Link) burst() float64 { return l.rate() * burstTime.Seconds() }

// fill brings the bucket up to a moment.
func (l *Link) fill(now time.Time) {
	if !l.filled.IsZero() && now.After(l.filled) {
		l.spent = max(l.spent-l.rate()*now.Sub(l.filled).Seconds(), 0)
	}
	l.filled = now
}

// take charges bytes, or gives them back when they are negative.
func (l *Link) take(now time.Time, account laceunit.AccountID, c class, bytes float64) {
	l.spent = max(l.spent+bytes, 0)
	l.classes[c].add(now, bytes)
	l.accounts.add(now, account, bytes)
}

// wait returns when the bucket has room for a request, zero if it has now. One that was told to come now may leave the
// bucket in debt and, if its account is not above its even part, use what its class leaves to the one before; one that is
// new leaves room to those.
func (l *Link) wait(now time.Time, c class, cost float64, due bool) time.Duration {
	burst := l.burst()
	floor, level := classStep*burst*float64(c), burst-l.spent
	need := min(cost, burst-floor)
	if due {
		if level >= floor-classStep*burst*float64(1-c%rankClasses) {
			return 0
		}
		return l.after(now, c, floor+need-level+l.promises.again(now, c))
	}
	owed := l.promises.before(now, c)
	hold := min(owed, holdPart*burst)
	if level >= floor+hold+min(need, burst-floor-hold) {
		return 0
	}
	return l.after(now, c, floor+need-level+owed)
}

// after returns when the bucket has got bytes that a class may use, in whole milliseconds as callers are told to wait.
func (l *Link) after(now time.Time, c class, bytes float64) time.Duration {
	seconds := min(max(bytes, 0)/(promisedPart*l.supply(now, c)), mostWait.Seconds())
	return max(time.Duration(math.Ceil(seconds*1000))*time.Millisecond, leastWait)
}

// supply is the rate at which the bucket fills for a class, less what the classes before it take.
func (l *Link) supply(now time.Time, c class) float64 {
	before := 0.0
	for i := range c {
		before += l.classes[i].rate(now)
	}
	return max(l.rate()-before, leastSupply*l.rate())
}

// class orders requests that ask for room; 0 is refused last.
type class int

const (
	// rankClasses is how many classes a rank has: accounts below and above their even part.
	rankClasses = 2
	// ranks is how many ranks are told apart; later ones count as the last.
	ranks   = 3
	classes = ranks * rankClasses
)

func classOf(rank int, over bool) class {
	c := class(rankClasses * min(max(rank, 0), ranks-1))
	if over {
		c++
	}
	return c
}
