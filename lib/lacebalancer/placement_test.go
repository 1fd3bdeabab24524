package lacebalancer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// kind is one kind of request of docs/hard-load.md.
type kind struct {
	name            string
	shared, own     float64
	spread          float64
	events          float64
	rate            float64
	first, limit    float64
	priority        laceunit.Priority
	maxOwn          float64
	late, paused    int
	refused, failed int
	served          int
}

// engineFleet is one deployment of docs/hard-load.md; times are in milliseconds.
type engineFleet struct {
	servers, slots, memory, stride int
	tokensPerMs, step              float64
	kinds                          []*kind
}

func census() engineFleet {
	return engineFleet{servers: 60, slots: 64, memory: 682335, stride: 7, tokensPerMs: 112, step: 3.41, kinds: []*kind{
		{name: "long", shared: 5382, own: 6610, spread: 1, maxOwn: 54600, events: 55, rate: 89.2, first: 800, limit: 15000, priority: 2},
		{name: "short", shared: 198, own: 628, spread: 0.5, maxOwn: 5000, events: 42, rate: 204, first: 500, limit: 12000, priority: 3},
		{name: "brief", shared: 568, own: 1800, spread: 0.5, maxOwn: 9000, events: 3, rate: 169, first: 2000, limit: 3000, priority: 1},
	}}
}

func billCollection() engineFleet {
	return engineFleet{servers: 90, slots: 16, memory: 433606, stride: 9, tokensPerMs: 68.2, step: 3.82, kinds: []*kind{
		{name: "long", shared: 5382, own: 6610, spread: 1, maxOwn: 54600, events: 42, rate: 102, first: 800, limit: 12000, priority: 2},
		{name: "short", shared: 198, own: 628, spread: 0.5, maxOwn: 5000, events: 32, rate: 120, first: 300, limit: 10000, priority: 3},
		{name: "brief", shared: 568, own: 1800, spread: 0.5, maxOwn: 9000, events: 3, rate: 184, first: 400, limit: 2500, priority: 1},
	}}
}

// prompt returns a prompt with two shared parts.
func prompt(shared, own float64) *Prompt {
	return &Prompt{
		Parts: []Part{
			{Hash: 1, Tokens: laceunit.Tokens(shared * 0.6)},
			{Hash: 2, Tokens: laceunit.Tokens(shared * 0.4)},
		},
		OwnTokens:      laceunit.Tokens(own),
		LengthHint:     300,
		TokensPerEvent: 7,
		Objectives:     Objectives{FirstEvent: 800 * time.Millisecond, Pause: 300 * time.Millisecond},
		Strictest:      Objectives{FirstEvent: 300 * time.Millisecond, Pause: 300 * time.Millisecond},
	}
}

const (
	pauseLimit       = 300.0
	placingInstances = 20
	sharedChains     = 24
)

type call struct {
	kind               *kind
	arrivedAt          float64
	instance           int
	parts              []Part
	shared, own        float64
	tokens             int
	ticket             Ticket
	request            Request
	prefill            float64
	done               int
	lastEvent, longest float64
	firstAt            float64
	attempts           int
}

// testEngine prefills one chunk between two decoding steps, in the order of arrival.
type testEngine struct {
	id                 laceunit.ServerID
	speed, slowdown    float64
	prefilling, active []*call
	waiting            []*call
	cache              map[uint64]float64
	used               float64
	nextAt             float64
	index              int
}

type engineHeap []*testEngine

func (h engineHeap) Len() int           { return len(h) }
func (h engineHeap) Less(i, j int) bool { return h[i].nextAt < h[j].nextAt }
func (h engineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *engineHeap) Push(x any)        { *h = append(*h, x.(*testEngine)) }
func (h *engineHeap) Pop() any          { panic("not used") }

type engineSimulation struct {
	fleet      engineFleet
	random     *rand.Rand
	now        float64
	engines    engineHeap
	byID       map[laceunit.ServerID]*testEngine
	instances  []*Balancer
	calls      []map[Ticket]*call
	tokenAware bool
	repeated   float64
	rejected   int
}

func (s *engineSimulation) clock() time.Time {
	return at(time.Duration(s.now * float64(time.Millisecond)))
}

func newEngineSimulation(f engineFleet, run uint64, tokenAware bool) *engineSimulation {
	s := &engineSimulation{fleet: f, random: rand.New(rand.NewPCG(seed, run)), byID: map[laceunit.ServerID]*testEngine{}, tokenAware: tokenAware}
	servers := fleet{}
	for i := range f.servers {
		e := &testEngine{id: laceunit.ServerID(fmt.Sprintf("s%d", i)), slowdown: 1, nextAt: math.Inf(1), index: i, cache: map[uint64]float64{}}
		e.speed = 0.7 * math.Pow(1.7/0.7, s.random.Float64())
		s.engines, s.byID[e.id] = append(s.engines, e), e
		servers[e.id] = laceconfig.Server{Kind: laceconfig.KindEngine, Models: []laceunit.ModelID{"m"}, Slots: f.slots}
	}
	for range placingInstances {
		b, _ := New(laceconfig.Routing{LoadFactor: 3}, s.random.IntN, WithSharedRendezvousOrder())
		b.Update(start(), servers, nil)
		s.instances, s.calls = append(s.instances, b), append(s.calls, map[Ticket]*call{})
	}
	return s
}

func (s *engineSimulation) arrive(k *kind) {
	account := int(float64(sharedChains) * math.Pow(s.random.Float64(), 2))
	c := &call{kind: k, arrivedAt: s.now, instance: (account*7 + s.random.IntN(4)) % placingInstances, shared: k.shared}
	c.own = min(k.own*math.Exp(k.spread*s.random.NormFloat64()-k.spread*k.spread/2), k.maxOwn)
	c.tokens = max(1, int(k.events*(0.5+s.random.Float64()))) * s.fleet.stride
	base := mix(uint64(k.own))
	c.parts = []Part{
		{Hash: mix(base + uint64(account%6)), Tokens: laceunit.Tokens(k.shared * 0.6)},
		{Hash: mix(base + 100 + uint64(account)), Tokens: laceunit.Tokens(k.shared * 0.4)},
	}
	c.request = Request{
		Pool:     ModelPool("m"),
		Account:  laceunit.AccountID(fmt.Sprint(account)),
		Priority: k.priority,
		Prefix:   c.parts[1].Hash,
		Deadline: s.clock().Add(min(500, time.Duration(k.first/4)) * time.Millisecond),
	}
	if s.tokenAware {
		c.request.Deadline = s.clock().Add(time.Duration(k.limit) * time.Millisecond)
		c.request.Prompt = prompt(k.shared, c.own)
		c.request.Prompt.Parts = c.parts
		c.request.Prompt.MaxOutput = laceunit.Tokens(2 * c.tokens)
		c.request.Prompt.LengthHint = laceunit.Tokens(float64(c.tokens) * math.Exp(0.7*s.random.NormFloat64()))
		c.request.Prompt.TokensPerEvent = s.fleet.stride
		c.request.Prompt.Objectives.FirstEvent = time.Duration(k.first) * time.Millisecond
		c.request.Prompt.ServerMemory = laceunit.Tokens(s.fleet.memory)
	}
	s.pick(c)
}

func (s *engineSimulation) pick(c *call) {
	c.attempts++
	b := s.instances[c.instance]
	s.calls[c.instance][b.lastTicket+1] = c
	d, others := b.Pick(s.clock(), c.request)
	s.deliver(c.instance, append(others, d)...)
}

func (s *engineSimulation) deliver(instance int, decisions ...Decision) {
	for _, d := range decisions {
		c := s.calls[instance][d.Ticket]
		switch d.Verdict {
		case Assigned:
			c.ticket = d.Ticket
			s.submit(s.byID[d.Server], c)
		case Refused:
			c.kind.refused++
		}
	}
}

// submit rejects what exceeds a short queue, as the servers do.
func (s *engineSimulation) submit(e *testEngine, c *call) {
	if len(e.waiting) >= s.fleet.slots/4 {
		s.rejected++
		s.report(e, c)
		c.request.Exclude = append(c.request.Exclude, e.id)
		s.deliver(c.instance, s.instances[c.instance].Done(s.clock(), c.ticket, Busy, 0)...)
		if c.attempts < 2 {
			s.pick(c)
		} else {
			c.kind.refused++
		}
		return
	}
	e.waiting = append(e.waiting, c)
	s.admit(e)
}

func (s *engineSimulation) admit(e *testEngine) {
	for len(e.waiting) > 0 && len(e.prefilling)+len(e.active) < s.fleet.slots {
		c := e.waiting[0]
		need := c.shared + c.own + float64(c.tokens)
		if e.used+need > float64(s.fleet.memory) && e.used > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		e.used += need
		c.prefill = c.own
		hit := true
		for _, p := range c.parts {
			if _, ok := e.cache[p.Hash]; !ok || !hit {
				hit = false
				c.prefill += float64(p.Tokens)
				s.repeated += float64(p.Tokens)
			}
			delete(e.cache, p.Hash)
			e.cache[p.Hash] = s.now
		}
		// The least recently used parts give way to the requests.
		for float64(len(e.cache))*2700 > float64(s.fleet.memory)-e.used {
			oldest, oldestAt := uint64(0), math.Inf(1)
			for h, at := range e.cache {
				if at < oldestAt {
					oldest, oldestAt = h, at
				}
			}
			if math.IsInf(oldestAt, 1) {
				break
			}
			delete(e.cache, oldest)
		}
		e.prefilling = append(e.prefilling, c)
	}
	if math.IsInf(e.nextAt, 1) && len(e.prefilling)+len(e.active) > 0 {
		e.nextAt = s.now + s.iteration(e)
		heap.Fix(&s.engines, e.index)
	}
}

// iteration returns the time until the end of the next step.
func (s *engineSimulation) iteration(e *testEngine) float64 {
	t := s.fleet.step
	if len(e.prefilling) > 0 {
		t += min(e.prefilling[0].prefill, 1024) / s.fleet.tokensPerMs
	}
	return t / e.speed * e.slowdown
}

func (s *engineSimulation) report(e *testEngine, c *call) {
	s.deliver(c.instance, s.instances[c.instance].Report(s.clock(), e.id, Load{
		Running: len(e.active) + len(e.prefilling), Waiting: len(e.waiting), Slots: s.fleet.slots, Slowdown: int(100 * e.slowdown),
	}, 0)...)
}

func (s *engineSimulation) step(e *testEngine) {
	kept := e.active[:0]
	var ended []*call
	for _, c := range e.active {
		c.done++
		if c.done%s.fleet.stride == 0 {
			s.event(e, c)
		}
		if c.done >= c.tokens {
			ended = append(ended, c)
			continue
		}
		kept = append(kept, c)
	}
	e.active = kept
	if len(e.prefilling) > 0 {
		c := e.prefilling[0]
		if c.prefill -= min(c.prefill, 1024); c.prefill <= 0 {
			e.prefilling = e.prefilling[1:]
			e.active = append(e.active, c)
		}
	}
	for _, c := range ended {
		s.end(e, c)
	}
	e.nextAt = math.Inf(1)
	if len(e.prefilling)+len(e.active) > 0 {
		e.nextAt = s.now + s.iteration(e)
	}
	heap.Fix(&s.engines, e.index)
	s.admit(e)
}

func (s *engineSimulation) event(e *testEngine, c *call) {
	if c.firstAt == 0 {
		c.firstAt = s.now
		s.report(e, c)
		s.instances[c.instance].Progress(s.clock(), c.ticket, 1)
	} else {
		c.longest = max(c.longest, s.now-c.lastEvent)
	}
	c.lastEvent = s.now
}

func (s *engineSimulation) end(e *testEngine, c *call) {
	e.used -= c.shared + c.own + float64(c.tokens)
	b := s.instances[c.instance]
	b.Progress(s.clock(), c.ticket, c.done/s.fleet.stride)
	k := c.kind
	k.served++
	switch {
	case s.now-c.arrivedAt > k.limit:
		k.failed++
	case c.firstAt-c.arrivedAt > k.first:
		k.late++
	case c.longest > pauseLimit:
		k.paused++
	}
	s.deliver(c.instance, b.Done(s.clock(), c.ticket, Success, time.Duration((s.now-c.arrivedAt)*float64(time.Millisecond)))...)
}

// run plays the load for a time, with the given factor on the rates.
func (s *engineSimulation) run(duration float64, factor func(float64) float64) {
	total := 0.0
	for _, k := range s.fleet.kinds {
		total += k.rate
	}
	nextArrival, nextTick := 0.0, 0.0
	for s.now < duration {
		switch t := min(nextArrival, nextTick, s.engines[0].nextAt); t {
		case nextTick:
			s.now, nextTick = t, t+20
			for i, b := range s.instances {
				s.deliver(i, b.Tick(s.clock())...)
			}
			for _, e := range s.engines {
				if s.random.Float64() < 0.1 {
					e.slowdown = max(0.9, 1+0.3*s.random.NormFloat64())
				}
			}
		case nextArrival:
			s.now = t
			x := s.random.Float64() * total
			for _, k := range s.fleet.kinds {
				if x -= k.rate; x < 0 {
					s.arrive(k)
					break
				}
			}
			nextArrival = t + s.random.ExpFloat64()*1000/(total*factor(t))
		default:
			s.now = t
			s.step(s.engines[0])
		}
	}
}

// totals are the results of a simulation in percent of the requests, and the shared tokens prefilled in millions.
type totals struct {
	late, paused, refused, rejected, repeated float64
}

func play(f engineFleet, run uint64, tokenAware bool, duration, rate float64) totals {
	s := newEngineSimulation(f, run, tokenAware)
	// Bursts of 2 s have one and a half times the rate.
	s.run(duration, func(t float64) float64 {
		if math.Mod(t, 10000) < 2000 {
			return 1.5 * rate
		}
		return rate
	})
	n, r := 0.0, totals{}
	for _, k := range s.fleet.kinds {
		n += float64(k.served + k.refused)
		r.late += float64(k.late)
		r.paused += float64(k.paused)
		r.refused += float64(k.refused + k.failed)
	}
	return totals{
		late:     100 * r.late / n,
		paused:   100 * r.paused / n,
		refused:  100 * r.refused / n,
		rejected: 100 * float64(s.rejected) / n,
		repeated: s.repeated / 1e6,
	}
}

// Guards against a token-aware placement that serves fewer requests in time than the choice by the number of requests,
// or that gains time by prefilling shared parts at many servers.
func TestPlacementUnderLoad(t *testing.T) {
	for name, f := range map[string]func() engineFleet{"census": census, "bill collection": billCollection} {
		before, after := play(f(), 0, false, 15000, 2.5), play(f(), 0, true, 15000, 2.5)
		if after.late > 0.8*before.late || after.paused > before.paused+0.1 || after.refused > before.refused+0.1 ||
			after.rejected > before.rejected || after.repeated > 2*before.repeated {
			t.Errorf("%s, seed %d: %+v, by the number of requests %+v", name, seed, after, before)
		}
	}
}

// BenchmarkPlacement prints the table of docs/design/token-placement.md; each row aggregates 3 runs of 30 s.
func BenchmarkPlacement(*testing.B) {
	for _, rate := range []float64{1, 2, 2.5, 3} {
		for i, f := range []func() engineFleet{census, billCollection} {
			for _, aware := range []bool{false, true} {
				var sum totals
				const runs = 3
				for run := range uint64(runs) {
					r := play(f(), run, aware, 30000, rate)
					sum.late += r.late / runs
					sum.paused += r.paused / runs
					sum.refused += r.refused / runs
					sum.rejected += r.rejected / runs
					sum.repeated += r.repeated / runs
				}
				fmt.Printf("| %s | %v | %s | %.2f | %.2f | %.2f | %.2f | %.2f |\n", []string{"census", "bill collection"}[i], rate,
					map[bool]string{false: "requests", true: "tokens"}[aware], sum.late, sum.paused, sum.refused, sum.rejected, sum.repeated)
			}
		}
	}
}
