package lacelimit

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"lacewingcove/lib/laceunit"
)

// load describes the requests of the callers.
type load struct {
	seed int64
	// rate is the bandwidth of the link in bytes a second, factor the offered load as a multiple of it.
	rate   float64
	factor float64
	// accountShares and rankShares are the relative loads of each account and each rank.
	accountShares []float64
	rankShares    []float64
	duration      time.Duration
}

// simRequest is the state of one simulated request.
type simRequest struct {
	request  LinkRequest
	transfer Transfer
	account  int
	attempts int
	// returning is true once the request was refused with a retry time.
	returning bool
	// counted is false for requests near the end, which have no time to retry.
	counted bool
	verdict LinkVerdict
}

// outcome is the result of a simulation.
type outcome struct {
	// controlDelay is the longest queueing delay that a new message would have had.
	controlDelay      time.Duration
	utilization       float64
	requested, served []float64 // by rank
	accounts          [][2]int  // requests and those served, by account
	// returned counts the retries at the given time, honored those of them that were admitted.
	returned, honored int
	// missingWait counts the refusals without a retry time.
	missingWait int
}

// simulation runs a load on a link that transmits one message after the other in each direction.
type simulation struct {
	load
	admitter admitter
	random   *rand.Rand
	events   events
	// freeAt is when each direction has transmitted everything queued on it.
	freeAt     [2]time.Time
	bytesMoved volume
	startedAt  time.Time
	outcome
}

const (
	// maxAttempts is how many times a caller sends a request.
	maxAttempts = 4
	// uncountedTail is the time at the end of a simulation whose new requests are not counted.
	uncountedTail = 3 * time.Second
)

func simulate(l load, g admitter) outcome {
	s := &simulation{
		load:      l,
		admitter:  g,
		random:    rand.New(rand.NewSource(l.seed)),
		startedAt: time.Unix(1000, 0),
	}
	s.requested, s.served, s.accounts = make([]float64, len(l.rankShares)), make([]float64, len(l.rankShares)),
		make([][2]int, len(l.accountShares))
	s.freeAt = [2]time.Time{s.startedAt, s.startedAt}
	s.arrive(s.startedAt)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at.Sub(s.startedAt) > l.duration {
			break
		}
		e.run(e.at)
	}
	s.utilization = max(s.bytesMoved[directionIn], s.bytesMoved[directionOut]) / l.rate / l.duration.Seconds()
	return s.outcome
}

func (s *simulation) schedule(t time.Time, run func(now time.Time)) {
	heap.Push(&s.events, event{
		at:  t,
		run: run,
	})
}

// whole returns the transfer of a request that was sent once and answered.
func whole(body, response laceunit.Bytes) Transfer {
	return Transfer{
		Body:      body,
		Sent:      body,
		Response:  response,
		Forwarded: response,
		Complete:  true,
	}
}

// meanTransfers returns the mean size of the bodies and responses of each route.
func meanTransfers() []Transfer {
	return []Transfer{
		whole(200, 3_000),
		whole(4_000, 12_000),
		whole(1_000, 30_000),
		whole(15_000, 1_000),
	}
}

// meanCost returns the mean number of bytes of a request in each direction, over all routes.
func meanCost() float64 {
	sum := 0.0
	for _, k := range meanTransfers() {
		sum += k.volume()[directionIn]
	}
	return sum / float64(len(meanTransfers()))
}

// arrive sends a new request and schedules the next arrival of a Poisson process.
func (s *simulation) arrive(now time.Time) {
	gap := s.random.ExpFloat64() * meanCost() / (s.factor * s.rate)
	s.schedule(now.Add(time.Duration(gap*float64(time.Second))), s.arrive)
	route := s.random.Intn(len(meanTransfers()))
	vary := func(mean laceunit.Bytes) laceunit.Bytes {
		return laceunit.Bytes(float64(mean) * (0.5 + s.random.Float64()))
	}
	x := &simRequest{
		transfer: whole(vary(meanTransfers()[route].Body), vary(meanTransfers()[route].Response)),
	}
	account := pickWeighted(s.random, s.accountShares)
	x.request = LinkRequest{
		Account: laceunit.AccountID(fmt.Sprint("account-", account)),
		Rank:    pickWeighted(s.random, s.rankShares),
		Route:   fmt.Sprint("route-", route),
		Body:    x.transfer.Body,
		Key:     s.random.Uint64(),
	}
	if s.random.Intn(4) == 0 {
		x.request.Body = -1
	}
	x.account, x.counted = account, now.Before(s.startedAt.Add(s.duration-uncountedTail))
	if x.counted {
		s.requested[x.request.Rank]++
		s.accounts[account][0]++
	}
	s.submit(now, x)
}

// pickWeighted draws a random index with the given weights.
func pickWeighted(random *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := random.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// submit asks for the admission of a request; a refused one is submitted again at its retry time.
func (s *simulation) submit(now time.Time, x *simRequest) {
	x.verdict = s.admitter.Admit(now, x.request)
	if x.returning {
		s.returned++
	}
	if !x.verdict.Admitted {
		if x.verdict.Wait <= 0 {
			s.missingWait++
		}
		if x.returning, x.attempts = true, x.attempts+1; x.attempts < maxAttempts {
			// Callers retry a few milliseconds late.
			delay := time.Duration(s.random.Intn(10)) * time.Millisecond
			s.schedule(now.Add(x.verdict.Wait+delay), func(now time.Time) { s.submit(now, x) })
		}
		return
	}
	if x.returning {
		s.honored++
	}
	if x.counted {
		s.served[x.request.Rank]++
		s.accounts[x.account][1]++
	}
	s.transmit(now, directionIn, x.transfer.Body+headerBytes/2, func(now time.Time) {
		s.transmit(now, directionOut, x.transfer.Body+headerBytes/2, func(now time.Time) {
			serviceTime := time.Duration(10+s.random.Intn(40)) * time.Millisecond
			s.schedule(now.Add(serviceTime), func(now time.Time) { s.respond(now, x) })
		})
	})
}

func (s *simulation) respond(now time.Time, x *simRequest) {
	s.transmit(now, directionIn, x.transfer.Response+headerBytes/2, func(now time.Time) {
		s.transmit(now, directionOut, x.transfer.Response+headerBytes/2, func(now time.Time) {
			s.admitter.End(now, x.request, x.verdict, x.transfer)
		})
	})
}

// transmit sends bytes in a direction and records the queueing delay that they cause for the next message.
func (s *simulation) transmit(now time.Time, d direction, bytes laceunit.Bytes, then func(now time.Time)) {
	if s.freeAt[d].Before(now) {
		s.freeAt[d] = now
	}
	transmissionTime := time.Duration(float64(bytes) / s.rate * float64(time.Second))
	s.freeAt[d] = s.freeAt[d].Add(transmissionTime)
	s.bytesMoved[d] += float64(bytes)
	s.controlDelay = max(s.controlDelay, s.freeAt[d].Sub(now))
	s.schedule(s.freeAt[d], then)
}

// event is a callback scheduled for a time.
type event struct {
	at  time.Time
	run func(now time.Time)
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
