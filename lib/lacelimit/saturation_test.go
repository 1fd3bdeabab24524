package lacelimit

import (
	"container/heap"
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
)

// callKind is a kind of request in the load of the tests on a saturated link.
type callKind struct {
	rank  int
	share float64
	body  laceunit.Bytes
	// The response consists of events of eventBytes each, which the server sends over serverTime.
	events     int
	eventBytes laceunit.Bytes
	serverTime time.Duration
	// limit is how long callers wait for the complete response.
	limit time.Duration
}

// censusKinds are the kinds of requests of the deployment that docs/hard-load.md calls census, with an upload.
func censusKinds() []callKind {
	return []callKind{
		{
			rank: 1, share: 5, body: 12_000, events: 55, eventBytes: 250, serverTime: 2 * time.Second,
			limit: 15 * time.Second,
		},
		{
			rank: 0, share: 204, body: 830, events: 42, eventBytes: 250, serverTime: 1500 * time.Millisecond,
			limit: 12 * time.Second,
		},
		{
			rank: 2, share: 60, body: 2_400, events: 3, eventBytes: 250, serverTime: 100 * time.Millisecond,
			limit: 3 * time.Second,
		},
		{
			rank: 2, share: 60, body: 600, events: 1, eventBytes: 400, serverTime: 15 * time.Millisecond,
			limit: 1500 * time.Millisecond,
		},
		{
			rank: 2, share: 38, events: 1, eventBytes: 800, serverTime: 15 * time.Millisecond,
			limit: 1500 * time.Millisecond,
		},
		{
			rank: 2, share: 2, body: 100_000, events: 1, eventBytes: 400, serverTime: 15 * time.Millisecond,
			limit: 5 * time.Second,
		},
	}
}

// transfer returns the transfer of a completed request.
func (k callKind) transfer() Transfer { return whole(k.body, laceunit.Bytes(k.events)*k.eventBytes) }

// saturatingAdmitter is an admitter that counts refused requests and measures the link.
type saturatingAdmitter interface {
	admitter
	Refused(now time.Time, body laceunit.Bytes)
	Observe(now time.Time, t LinkTraffic)
}

// saturatingLoad plays arrivals at a multiple of what a link carries. The link transmits one message after the other in
// each direction; what callers send before they can learn of a refusal passes it whether the request is admitted or not.
type saturatingLoad struct {
	kinds    []callKind
	rate     float64
	factor   float64
	duration time.Duration

	admitter  saturatingAdmitter
	random    *rand.Rand
	startedAt time.Time
	events    events
	freeAt    [directionCount]time.Time
	moved     LinkTraffic

	result saturation
}

// saturation is the result of a played load.
type saturation struct {
	// offered, served and late count requests by kind, uses is what they and refused attempts took inbound.
	offered, served, late []float64
	delivered, refused    float64
	carried               float64
	refusals              []time.Duration
	controlDelays         []time.Duration
	waits                 []time.Duration
}

const (
	// rampTime is how long the load is initialFactor times the capacity at first, as sizes are not known yet.
	rampTime      = 5 * time.Second
	initialFactor = 0.5
	// measuredFrom is when the result begins to count: late enough that responses to the load at full rate end.
	measuredFrom = rampTime + 2*time.Second
)

const observationInterval = 250 * time.Millisecond

func (s *saturatingLoad) play(seed int64) saturation {
	s.random, s.startedAt = rand.New(rand.NewSource(seed)), time.Unix(1000, 0)
	s.freeAt = [directionCount]time.Time{s.startedAt, s.startedAt}
	s.reset(s.startedAt)
	s.at(s.startedAt.Add(measuredFrom), s.reset)
	s.arrive(s.startedAt)
	s.observe(s.startedAt)
	s.control(s.startedAt)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at.Sub(s.startedAt) > s.duration {
			break
		}
		e.run(e.at)
	}
	return s.result
}

// reset starts the measurement anew.
func (s *saturatingLoad) reset(now time.Time) {
	s.result = saturation{
		offered: make([]float64, len(s.kinds)),
		served:  make([]float64, len(s.kinds)),
		late:    make([]float64, len(s.kinds)),
		carried: s.rate * (s.duration - now.Sub(s.startedAt)).Seconds(),
	}
}

func (s *saturatingLoad) at(t time.Time, run func(now time.Time)) {
	heap.Push(&s.events, event{
		at:  t,
		run: run,
	})
}

// transmit sends bytes in a direction behind what is queued there.
func (s *saturatingLoad) transmit(now time.Time, d direction, bytes laceunit.Bytes, then func(now time.Time)) {
	if s.freeAt[d].Before(now) {
		s.freeAt[d] = now
	}
	s.freeAt[d] = s.freeAt[d].Add(time.Duration(float64(bytes) / s.rate * float64(time.Second)))
	s.at(s.freeAt[d], func(now time.Time) {
		if d == directionIn {
			s.moved.In += bytes
		} else {
			s.moved.Out += bytes
		}
		then(now)
	})
}

func (s *saturatingLoad) observe(now time.Time) {
	s.admitter.Observe(now, s.moved)
	s.at(now.Add(observationInterval), s.observe)
}

// control exchanges a small message with the store.
func (s *saturatingLoad) control(now time.Time) {
	const size = 1000
	s.transmit(now, directionOut, size, func(sent time.Time) {
		s.transmit(sent, directionIn, size, func(received time.Time) {
			s.moved.ControlIn += size
			s.moved.ControlOut += size
			s.result.controlDelays = append(s.result.controlDelays, received.Sub(now))
		})
	})
	s.at(now.Add(observationInterval/2), s.control)
}

// arrive sends a new request and schedules the next arrival of a Poisson process.
func (s *saturatingLoad) arrive(now time.Time) {
	shares, mean, sum := make([]float64, len(s.kinds)), 0.0, 0.0
	for i, k := range s.kinds {
		shares[i] = k.share
		mean += k.share * k.transfer().volume()[directionIn]
		sum += k.share
	}
	factor := s.factor
	if now.Sub(s.startedAt) < rampTime {
		factor = min(factor, initialFactor)
	}
	gap := s.random.ExpFloat64() * mean / sum / (factor * s.rate)
	s.at(now.Add(time.Duration(gap*float64(time.Second))), s.arrive)
	i := pickWeighted(s.random, shares)
	s.result.offered[i]++
	s.send(now, now.Add(s.kinds[i].limit), i, LinkRequest{
		Account: laceunit.AccountID(fmt.Sprint("account-", pickWeighted(s.random, []float64{10, 1, 1, 1, 1}))),
		Rank:    s.kinds[i].rank,
		Route:   fmt.Sprint("route-", i),
		Body:    s.kinds[i].body,
		Key:     s.random.Uint64(),
		Jitter:  s.random.Float64(),
	}, false)
}

// send sends the head of a request with what the caller writes at once of its body. The caller repeats a refused
// request once, after the retry time or a third of the time that it has left.
func (s *saturatingLoad) send(now, deadline time.Time, i int, r LinkRequest, isRetry bool) {
	first := laceunit.Bytes(arrived(r.Body)) - headerBytes/2
	s.transmit(now, directionIn, first+headerBytes/2, func(arrived time.Time) {
		r.Remaining = deadline.Sub(arrived)
		v := s.admitter.Admit(arrived, r)
		if v.Admitted {
			s.transmit(arrived, directionIn, r.Body-first, func(now time.Time) { s.forward(now, deadline, i, r, v) })
			return
		}
		s.admitter.Refused(arrived, first)
		s.result.refused += float64(first + headerBytes/2)
		s.transmit(arrived, directionOut, headerBytes/2, func(refused time.Time) {
			s.result.refusals = append(s.result.refusals, refused.Sub(now))
			if !isRetry {
				s.result.waits = append(s.result.waits, v.Wait)
				wait := min(v.Wait, deadline.Sub(refused)/3)
				s.at(refused.Add(max(wait, 0)), func(now time.Time) { s.send(now, deadline, i, r, true) })
			}
		})
	})
}

// forward sends a request to a server and its response to the caller.
func (s *saturatingLoad) forward(now, deadline time.Time, i int, r LinkRequest, v LinkVerdict) {
	k := s.kinds[i]
	remaining := k.events
	s.transmit(now, directionOut, r.Body+headerBytes/2, func(now time.Time) {
		for e := range k.events {
			s.at(now.Add(k.serverTime*time.Duration(e+1)/time.Duration(k.events)), func(now time.Time) {
				size := k.eventBytes + headerBytes/2/laceunit.Bytes(k.events)
				s.transmit(now, directionIn, size, func(now time.Time) {
					s.transmit(now, directionOut, size, func(now time.Time) {
						if remaining--; remaining > 0 {
							return
						}
						s.admitter.End(now, r, v, k.transfer())
						if now.After(deadline) {
							s.result.late[i]++
							return
						}
						s.result.served[i]++
						s.result.delivered += k.transfer().volume()[directionIn]
					})
				})
			})
		}
	})
}

// Requirements on an instance that more callers use than its link carries.
const (
	// minDelivered is the fraction of what the link carries, less what refused requests take, that reaches callers in
	// complete responses.
	minDelivered = 0.8
	// minKindServed is the fraction of each kind of request that has to be served at twice the capacity.
	minKindServed = 0.08
	// maxRefusalDelay bounds the 95th percentile of the time from sending a request to its refusal.
	maxRefusalDelay = 200 * time.Millisecond
)

// failures returns the requirements that a result violates.
func (r saturation) failures(kinds []callKind) []string {
	var all []string
	if part := r.delivered / (r.carried - r.refused); part < minDelivered {
		all = append(all, fmt.Sprintf("delivered: %.2f of what the link carries", part))
	}
	for i := range kinds {
		if part := r.served[i] / r.offered[i]; part < minKindServed {
			all = append(all, fmt.Sprintf("starvation: %.3f of kind %d are served", part, i))
		}
	}
	if d := percentile(r.refusals, 0.95); d > maxRefusalDelay {
		all = append(all, fmt.Sprintf("refusals: they take %s", d))
	}
	if d := percentile(r.controlDelays, 0.95); d > maxControlDelay {
		all = append(all, fmt.Sprintf("control: messages take %s", d))
	}
	return all
}

func percentile(durations []time.Duration, p float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[int(p*float64(len(sorted)-1))]
}

// Guards against an instance whose served requests collapse while callers offer twice what its link carries, since what
// refused requests take of the link is not counted.
func TestSaturatedLinkDelivers(t *testing.T) {
	for seed := int64(1); seed <= 2; seed++ {
		play := func(link bool) saturation {
			l := &saturatingLoad{
				kinds:    censusKinds(),
				rate:     1_250_000,
				factor:   2,
				duration: 40 * time.Second,
			}
			l.admitter = &admittedOnly{rate: l.rate}
			if link {
				l.admitter = &Link{Rate: l.rate}
			}
			return l.play(seed)
		}
		r := play(true)
		t.Logf("seed %d: %s", seed, r)
		for _, f := range r.failures(censusKinds()) {
			t.Errorf("seed %d: %s", seed, f)
		}
		if seed > 1 {
			continue
		}
		before := play(false)
		t.Logf("seed %d, baseline: %s", seed, before)
		if len(before.failures(censusKinds())) == 0 {
			t.Errorf("seed %d: the baseline passes", seed)
		}
	}
}

// String implements fmt.Stringer.
func (r saturation) String() string {
	parts := make([]string, len(r.offered))
	for i := range parts {
		parts[i] = fmt.Sprintf("%.2f", r.served[i]/r.offered[i])
	}
	total := func(x []float64) (sum float64) {
		for _, v := range x {
			sum += v
		}
		return sum
	}
	return fmt.Sprintf("served %.0f of %.0f, by kind %v, late %.0f, delivered %.2f of the rest, refused take %.2f, refusals %s, "+
		"control %s, waits p50 %s p95 %s", total(r.served), total(r.offered), parts, total(r.late), r.delivered/(r.carried-r.refused),
		r.refused/r.carried, percentile(r.refusals, 0.95), percentile(r.controlDelays, 0.95),
		percentile(r.waits, 0.5), percentile(r.waits, 0.95))
}

// Guards against decisions on idle and wide links that differ from those of the earlier admission.
func TestLinkWithRoomDecidesAsBefore(t *testing.T) {
	for _, c := range []struct{ rate, use float64 }{{1_250_000, 0.05}, {25_000_000, 0.2}, {125_000_000, 0.04}} {
		play := func(a saturatingAdmitter) saturation {
			l := &saturatingLoad{
				kinds:    censusKinds(),
				rate:     c.rate,
				factor:   c.use,
				duration: 10 * time.Second,
				admitter: a,
			}
			return l.play(1)
		}
		now, before := play(&Link{Rate: c.rate}), play(&admittedOnly{rate: c.rate})
		if len(now.waits) > 0 || !reflect.DeepEqual(now, before) {
			t.Errorf("rate %.0f: %s; before: %s", c.rate, now, before)
		}
	}
}

// Guards against callers that were refused together and return together while the link is saturated, and against a
// spread on a link with room.
func TestRefusedCallersAreSpread(t *testing.T) {
	for _, saturated := range []bool{true, false} {
		l, now := &Link{Rate: 1_250_000}, time.Unix(1000, 0)
		if saturated {
			l.utilization.saturatedUntil = now.Add(time.Second)
		}
		latest, spread := 5*time.Second, 0
		for i := range 400 {
			v := l.Admit(now, LinkRequest{
				Rank:      2,
				Body:      830,
				Key:       uint64(i),
				Remaining: 3 * latest,
				Jitter:    0.9,
			})
			if v.Wait > latest*4/5 {
				spread++
			}
			if v.Wait > latest {
				t.Errorf("saturated %t: a caller that waits %s at most gets %s", saturated, latest, v.Wait)
			}
			if !v.Admitted {
				break
			}
		}
		if (spread > 0) != saturated {
			t.Errorf("saturated %t: %d refused callers return late", saturated, spread)
		}
	}
}
