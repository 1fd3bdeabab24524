package lacelimit

import (
	"slices"
	"time"
)

const (
	// promiseGrace is how late a caller may come back to find the room that it was told of: a round trip and the wait for
	// the processor on a busy machine.
	promiseGrace = 300 * time.Millisecond
	// mostPromises bounds what is remembered; further callers are told a time and have no room set aside.
	mostPromises = 1024
)

// promise is a time that the caller of a refused request was told.
type promise struct {
	at    time.Time
	key   uint64
	class class
	cost  float64
	// again is true when the caller came at such a time before and found no room.
	again bool
}

// promises are those whose callers may still come.
type promises struct {
	all []promise
	// owed are the bytes of each class.
	owed [classes]float64
	// came and stayed count the callers that lately came back and those that did not.
	came, stayed decayed
}

func (p *promises) add(x promise) {
	if len(p.all) < mostPromises {
		p.all = append(p.all, x)
		p.owed[x.class] += x.cost
	}
}

// expire drops those whose callers have not come.
func (p *promises) expire(now time.Time) {
	p.all = slices.DeleteFunc(p.all, func(x promise) bool {
		gone := now.Sub(x.at) > promiseGrace
		if gone {
			p.owed[x.class] -= x.cost
			p.stayed.add(now, 1)
		}
		return gone
	})
}

// due returns the index of a promise that a request has waited for, negative if there is none.
func (p *promises) due(now time.Time, key uint64) int {
	return slices.IndexFunc(p.all, func(x promise) bool { return x.key == key && !now.Before(x.at) })
}

// claim drops a promise whose caller has come.
func (p *promises) claim(now time.Time, i int) {
	if i < 0 {
		return
	}
	p.owed[p.all[i].class] -= p.all[i].cost
	p.all = slices.Delete(p.all, i, i+1)
	p.came.add(now, 1)
}

// before is the bytes that callers of a class and of those before it will probably come for, as many as lately came.
func (p *promises) before(now time.Time, c class) float64 {
	sum := 0.0
	for _, bytes := range p.owed[:c+1] {
		sum += max(bytes, 0)
	}
	came, stayed := p.came.value(now), p.stayed.value(now)
	return sum * (came + 1) / (came + stayed + 1)
}

// again is the bytes that callers of a class and of those before it come for who should have come by now, or came and found
// no room.
func (p *promises) again(now time.Time, c class) float64 {
	sum := 0.0
	for _, x := range p.all {
		if x.class <= c && (x.again || !now.Before(x.at)) {
			sum += x.cost
		}
	}
	return sum
}
