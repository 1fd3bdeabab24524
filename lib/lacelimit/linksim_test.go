package lacelimit

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"lacewingcove/lib/laceunit"
)

// load is what callers ask for.
type load struct {
	seed int64
	// rate is that of the link, factor how many times its bytes are asked for.
	rate   float64
	factor float64
	// shares are the parts of the load of each account, ranks those of each rank.
	shares []float64
	ranks  []float64
	length time.Duration
}

// sample is one request on its way through the simulation.
type sample struct {
	request LinkRequest
	moved   Transfer
	account int
	tries   int
	told    bool
	// counts is false for requests near the end, which have no time to come back.
	counts  bool
	verdict LinkVerdict
}

// outcome counts what became of requests.
type outcome struct {
	queue        time.Duration
	used         float64
	asked, given []float64 // by rank
	account      [][2]int  // requests and those served, by account
	told, kept   int
	// silent counts refusals without a time to come back.
	silent int
}

// simulation plays a load on a link that passes one message after the other in each direction.
type simulation struct {
	load
	gate   gate
	random *rand.Rand
	events events
	// free is when each direction has passed what it was given.
	free  [2]time.Time
	moved [2]float64
	begin time.Time
	outcome
}

const (
	directionIn = iota
	directionOut
)

const (
	// maxTries is how often a caller asks.
	maxTries = 4
	// lastCounted is how long before the end requests no longer count.
	lastCounted = 3 * time.Second
)

func play(l load, g gate) outcome {
	s := &simulation{
		load:   l,
		gate:   g,
		random: rand.New(rand.NewSource(l.seed)),
		begin:  time.Unix(1000, 0),
	}
	s.asked, s.given, s.account = make([]float64, len(l.ranks)), make([]float64, len(l.ranks)), make([][2]int, len(l.shares))
	s.free = [2]time.Time{s.begin, s.begin}
	s.arrive(s.begin)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at.Sub(s.begin) > l.length {
			break
		}
		e.act(e.at)
	}
	s.used = max(s.moved[directionIn], s.moved[directionOut]) / l.rate / l.length.Seconds()
	return s.outcome
}

func (s *simulation) at(t time.Time, act func(now time.Time)) {
	heap.Push(&s.events, event{
		at:  t,
		act: act,
	})
}

// kinds are the mean bytes of the body and the answer of each route's requests.
func kinds() []Transfer {
	return []Transfer{
		{Body: 200, Response: 3_000},
		{Body: 4_000, Response: 12_000},
		{Body: 1_000, Response: 30_000},
		{Body: 15_000, Response: 1_000},
	}
}

// meanBytes is what a request of the kinds takes on average in each direction.
func meanBytes() float64 {
	sum := 0.0
	for _, k := range kinds() {
		sum += float64(k.cost())
	}
	return sum / float64(len(kinds()))
}

// arrive makes a request and the next arrival.
func (s *simulation) arrive(now time.Time) {
	gap := s.random.ExpFloat64() * meanBytes() / (s.factor * s.rate)
	s.at(now.Add(time.Duration(gap*float64(time.Second))), s.arrive)
	kind := s.random.Intn(len(kinds()))
	vary := func(mean laceunit.Bytes) laceunit.Bytes {
		return laceunit.Bytes(float64(mean) * (0.5 + s.random.Float64()))
	}
	x := &sample{
		moved: Transfer{
			Body:     vary(kinds()[kind].Body),
			Response: vary(kinds()[kind].Response),
			Complete: true,
		},
	}
	account := pick(s.random, s.shares)
	x.request = LinkRequest{
		Account: laceunit.AccountID(fmt.Sprint("account-", account)),
		Rank:    pick(s.random, s.ranks),
		Route:   fmt.Sprint("route-", kind),
		Body:    x.moved.Body,
		Key:     s.random.Uint64(),
	}
	if s.random.Intn(4) == 0 {
		x.request.Body = -1
	}
	x.account, x.counts = account, now.Before(s.begin.Add(s.length-lastCounted))
	if x.counts {
		s.asked[x.request.Rank]++
		s.account[account][0]++
	}
	s.ask(now, x)
}

// pick draws an index by its part.
func pick(random *rand.Rand, parts []float64) int {
	sum := 0.0
	for _, p := range parts {
		sum += p
	}
	x := random.Float64() * sum
	for i, p := range parts {
		if x -= p; x < 0 {
			return i
		}
	}
	return len(parts) - 1
}

// ask has a request decided about; a refused one comes back when it was told to.
func (s *simulation) ask(now time.Time, x *sample) {
	x.verdict = s.gate.Admit(now, x.request)
	if x.told {
		s.told++
	}
	if !x.verdict.Admitted {
		if x.verdict.Wait <= 0 {
			s.silent++
		}
		if x.told, x.tries = true, x.tries+1; x.tries < maxTries {
			// A caller is a few milliseconds late.
			late := time.Duration(s.random.Intn(10)) * time.Millisecond
			s.at(now.Add(x.verdict.Wait+late), func(now time.Time) { s.ask(now, x) })
		}
		return
	}
	if x.told {
		s.kept++
	}
	if x.counts {
		s.given[x.request.Rank]++
		s.account[x.account][1]++
	}
	s.cross(now, directionIn, x.moved.Body+headBytes/2, func(now time.Time) {
		s.cross(now, directionOut, x.moved.Body+headBytes/2, func(now time.Time) {
			works := time.Duration(10+s.random.Intn(40)) * time.Millisecond
			s.at(now.Add(works), func(now time.Time) { s.answer(now, x) })
		})
	})
}

func (s *simulation) answer(now time.Time, x *sample) {
	s.cross(now, directionIn, x.moved.Response+headBytes/2, func(now time.Time) {
		s.cross(now, directionOut, x.moved.Response+headBytes/2, func(now time.Time) {
			s.gate.End(now, x.request, x.verdict, x.moved)
		})
	})
}

// cross passes bytes in a direction and notes how long what comes next has to wait.
func (s *simulation) cross(now time.Time, direction int, bytes laceunit.Bytes, then func(now time.Time)) {
	if s.free[direction].Before(now) {
		s.free[direction] = now
	}
	took := time.Duration(float64(bytes) / s.rate * float64(time.Second))
	s.free[direction] = s.free[direction].Add(took)
	s.moved[direction] += float64(bytes)
	s.queue = max(s.queue, s.free[direction].Sub(now))
	s.at(s.free[direction], then)
}

// event is something that happens at a moment.
type event struct {
	at  time.Time
	act func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	all := *e
	last := all[len(all)-1]
	*e = all[:len(all)-1]
	return last
}
