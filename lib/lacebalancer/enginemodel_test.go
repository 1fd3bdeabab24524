package lacebalancer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// kind is a kind of request of docs/hard-load.md and what became of its requests.
type kind struct {
	name                           string
	shared, own, events, rate      float64
	first, limit                   float64
	priority                       laceunit.Priority
	served, late, paused, unserved float64
}

// engineFleet is a deployment of docs/hard-load.md. Times are in milliseconds.
type engineFleet struct {
	name                           string
	servers, slots, memory, stride int
	tokensPerMs, step              float64
	kinds                          []kind
}

func census() engineFleet {
	return engineFleet{name: "census", servers: 60, slots: 64, memory: 682335, stride: 7, tokensPerMs: 112, step: 3.41, kinds: []kind{
		{name: "long", shared: 5382, own: 6610, events: 55, rate: 89.2, first: 800, limit: 15000, priority: 2},
		{name: "short", shared: 198, own: 628, events: 42, rate: 204, first: 500, limit: 12000, priority: 3},
		{name: "brief", shared: 568, own: 1800, events: 3, rate: 169, first: 2000, limit: 3000, priority: 1},
	}}
}

func billCollection() engineFleet {
	return engineFleet{name: "bill collection", servers: 90, slots: 16, memory: 433606, stride: 9, tokensPerMs: 68.2, step: 3.82, kinds: []kind{
		{name: "long", shared: 5382, own: 6610, events: 42, rate: 102, first: 800, limit: 12000, priority: 2},
		{name: "short", shared: 198, own: 628, events: 32, rate: 120, first: 300, limit: 10000, priority: 3},
		{name: "brief", shared: 568, own: 1800, events: 3, rate: 184, first: 400, limit: 2500, priority: 1},
	}}
}

// prompt returns a prompt with two shared parts.
func prompt(shared, own float64) *Prompt {
	return &Prompt{
		Parts:     []Part{{Hash: 1, Tokens: laceunit.Tokens(shared * 0.6)}, {Hash: 2, Tokens: laceunit.Tokens(shared * 0.4)}},
		OwnTokens: laceunit.Tokens(own), LengthHint: 300, TokensPerEvent: 7,
		Objectives: Objectives{FirstEvent: 800 * time.Millisecond, Pause: pauseLimit * time.Millisecond},
		Strictest:  Objectives{FirstEvent: 300 * time.Millisecond, Pause: pauseLimit * time.Millisecond},
	}
}

const (
	pauseLimit       = 300
	placingInstances = 20
	sharedChains     = 24
)

// call is a request in the simulation.
type call struct {
	kind                        *kind
	instance, tokens, done      int
	own, prefill                float64
	arrived, first, last, pause float64
	ticket                      Ticket
	request                     Request
	parts                       []Part
}

func (c *call) memory() float64 { return c.kind.shared + c.own + float64(c.tokens) }

// testEngine prefills one chunk between two decoding steps, in the order of arrival.
type testEngine struct {
	id                          laceunit.ServerID
	speed, slowdown             float64
	waiting, prefilling, active []*call
	cache                       map[uint64]float64
	used, nextAt                float64
	index                       int
}

func (e *testEngine) running() int { return len(e.prefilling) + len(e.active) }

type engineHeap []*testEngine

func (h engineHeap) Len() int           { return len(h) }
func (h engineHeap) Less(i, j int) bool { return h[i].nextAt < h[j].nextAt }
func (h engineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h engineHeap) Push(any)           {}
func (h engineHeap) Pop() any           { return nil }

// engineSimulation plays requests of several instances, which know the servers' loads from answers to their own requests.
type engineSimulation struct {
	engineFleet
	random             *rand.Rand
	now                float64
	engines            engineHeap
	byID               map[laceunit.ServerID]*testEngine
	instances          []*Balancer
	calls              []map[Ticket]*call
	byTokens           bool
	repeated, rejected float64
}

func (s *engineSimulation) clock() time.Time { return at(duration(s.now)) }

func newEngineSimulation(f engineFleet, run uint64, byTokens bool) *engineSimulation {
	s := &engineSimulation{engineFleet: f, random: rand.New(rand.NewPCG(seed, run)), byTokens: byTokens}
	s.byID = map[laceunit.ServerID]*testEngine{}
	listed := engines(f.servers, f.slots)
	for i, id := range sortedKeys(listed) {
		e := &testEngine{id: id, slowdown: 1, nextAt: math.Inf(1), index: i, cache: map[uint64]float64{}}
		e.speed = 0.7 * math.Pow(1.7/0.7, s.random.Float64())
		s.engines, s.byID[id] = append(s.engines, e), e
	}
	for range placingInstances {
		b, _ := New(laceconfig.Routing{LoadFactor: 3}, s.random.IntN, WithSharedRendezvousOrder())
		b.Update(start(), listed, nil)
		s.instances, s.calls = append(s.instances, b), append(s.calls, map[Ticket]*call{})
	}
	return s
}

func (s *engineSimulation) arrive(k *kind) {
	account := int(sharedChains * math.Pow(s.random.Float64(), 2))
	spread := 0.5
	if k.own > 5000 {
		spread = 1
	}
	c := &call{kind: k, arrived: s.now, instance: (account*7 + s.random.IntN(4)) % placingInstances}
	c.own = min(k.own*math.Exp(spread*s.random.NormFloat64()-spread*spread/2), 8*k.own)
	c.tokens = max(1, int(k.events*(0.5+s.random.Float64()))) * s.stride
	base := mix(uint64(k.own))
	c.parts = prompt(k.shared, 0).Parts
	c.parts[0].Hash, c.parts[1].Hash = mix(base+uint64(account%6)), mix(base+100+uint64(account))
	c.request = Request{
		Pool: ModelPool("m"), Account: laceunit.AccountID(fmt.Sprint(account)), Priority: k.priority, Prefix: c.parts[1].Hash,
		Deadline: s.clock().Add(duration(min(500, k.first/4))),
	}
	if s.byTokens {
		p := prompt(k.shared, c.own)
		p.Parts, p.TokensPerEvent, p.ServerMemory = c.parts, s.stride, laceunit.Tokens(s.memory)
		p.MaxOutput = laceunit.Tokens(2 * c.tokens)
		p.LengthHint = laceunit.Tokens(float64(c.tokens) * math.Exp(0.7*s.random.NormFloat64()))
		p.Objectives.FirstEvent = duration(k.first)
		c.request.Prompt, c.request.Deadline = p, s.clock().Add(duration(k.limit))
	}
	s.pick(c)
}

func (s *engineSimulation) pick(c *call) {
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
			c.kind.unserved++
		}
	}
}

// submit adds a request to a server's short queue or, if that is full, tries one other server.
func (s *engineSimulation) submit(e *testEngine, c *call) {
	if len(e.waiting) < s.slots/4 {
		e.waiting = append(e.waiting, c)
		s.admit(e)
		return
	}
	s.rejected++
	s.report(e, c)
	c.request.Exclude = append(c.request.Exclude, e.id)
	s.deliver(c.instance, s.instances[c.instance].Done(s.clock(), c.ticket, Busy, 0)...)
	if len(c.request.Exclude) < 2 {
		s.pick(c)
	} else {
		c.kind.unserved++
	}
}

func (s *engineSimulation) admit(e *testEngine) {
	for len(e.waiting) > 0 && e.running() < s.slots {
		c := e.waiting[0]
		if e.used > 0 && e.used+c.memory() > float64(s.memory) {
			return
		}
		e.waiting, e.prefilling = e.waiting[1:], append(e.prefilling, c)
		e.used += c.memory()
		c.prefill = c.own
		for hit, i := true, 0; i < len(c.parts); i++ {
			p := c.parts[i]
			if _, ok := e.cache[p.Hash]; !ok || !hit {
				hit = false
				c.prefill += float64(p.Tokens)
				s.repeated += float64(p.Tokens)
			}
			e.cache[p.Hash] = s.now
		}
		// Evicts the least recently used parts, of 2,700 tokens on average, where requests need the memory.
		for len(e.cache) > 0 && float64(len(e.cache))*2700 > float64(s.memory)-e.used {
			oldest, oldestAt := uint64(0), math.Inf(1)
			for h, at := range e.cache {
				if at < oldestAt {
					oldest, oldestAt = h, at
				}
			}
			delete(e.cache, oldest)
		}
	}
	if math.IsInf(e.nextAt, 1) {
		s.schedule(e)
	}
}

// schedule sets the end of the engine's next iteration.
func (s *engineSimulation) schedule(e *testEngine) {
	e.nextAt = math.Inf(1)
	if e.running() > 0 {
		work := s.step
		if len(e.prefilling) > 0 {
			work += min(e.prefilling[0].prefill, chunkTokens) / s.tokensPerMs
		}
		e.nextAt = s.now + work/e.speed*e.slowdown
	}
	heap.Fix(&s.engines, e.index)
}

func (s *engineSimulation) report(e *testEngine, c *call) {
	load := Load{Running: e.running(), Waiting: len(e.waiting), Slots: s.slots, Slowdown: int(100 * e.slowdown)}
	s.deliver(c.instance, s.instances[c.instance].Report(s.clock(), e.id, load, 0)...)
}

func (s *engineSimulation) iterate(e *testEngine) {
	var active, ended []*call
	for _, c := range e.active {
		if c.done++; c.done%s.stride == 0 {
			s.event(e, c)
		}
		if c.done >= c.tokens {
			ended = append(ended, c)
		} else {
			active = append(active, c)
		}
	}
	e.active = active
	if len(e.prefilling) > 0 {
		c := e.prefilling[0]
		if c.prefill -= chunkTokens; c.prefill <= 0 {
			e.prefilling, e.active = e.prefilling[1:], append(e.active, c)
		}
	}
	for _, c := range ended {
		s.end(e, c)
	}
	s.schedule(e)
	s.admit(e)
}

func (s *engineSimulation) event(e *testEngine, c *call) {
	if c.first == 0 {
		c.first = s.now
		s.report(e, c)
		s.instances[c.instance].Progress(s.clock(), c.ticket, 1)
	} else {
		c.pause = max(c.pause, s.now-c.last)
	}
	c.last = s.now
}

func (s *engineSimulation) end(e *testEngine, c *call) {
	e.used -= c.memory()
	switch k := c.kind; {
	case s.now-c.arrived > k.limit:
		k.unserved++
	case c.first-c.arrived > k.first:
		k.late++
		k.served++
	case c.pause > pauseLimit:
		k.paused++
		k.served++
	default:
		k.served++
	}
	b := s.instances[c.instance]
	b.Progress(s.clock(), c.ticket, c.done/s.stride)
	s.deliver(c.instance, b.Done(s.clock(), c.ticket, Success, duration(s.now-c.arrived))...)
}

// run plays the load for a time at a multiple of the rates, and 1.5 times that in bursts of 2 s.
func (s *engineSimulation) run(until, factor float64) {
	total := 0.0
	for _, k := range s.kinds {
		total += k.rate
	}
	for nextArrival, nextTick := 0.0, 0.0; s.now < until; {
		s.now = min(nextArrival, nextTick, s.engines[0].nextAt)
		switch s.now {
		case nextTick:
			nextTick += 20
			for i, b := range s.instances {
				s.deliver(i, b.Tick(s.clock())...)
			}
			for _, e := range s.engines {
				if s.random.Float64() < 0.1 {
					e.slowdown = max(0.9, 1+0.3*s.random.NormFloat64())
				}
			}
		case nextArrival:
			x, i := s.random.Float64()*total, 0
			for x -= s.kinds[0].rate; x > 0 && i+1 < len(s.kinds); x -= s.kinds[i].rate {
				i++
			}
			s.arrive(&s.kinds[i])
			rate := total * factor
			if math.Mod(s.now, 10000) < 2000 {
				rate *= 1.5
			}
			nextArrival += s.random.ExpFloat64() * 1000 / rate
		default:
			s.iterate(s.engines[0])
		}
	}
}
