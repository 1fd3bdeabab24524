package lacebalancer

import (
	"math"
	"time"
)

const (
	// speedPrior is how many samples the mean of the pool counts as in the speed of a server.
	speedPrior = 3
	// minRelativeTime and maxRelativeTime bound the learned time of a server relative to the mean of the pool.
	minRelativeTime = 0.4
	maxRelativeTime = 3
	// slowdownMemory is how quickly a reported slowdown reverts to its mean: it changes many times a second.
	slowdownMemory = 300 * time.Millisecond
	// usualSlowdown is the value of the fourth figure of a load report that means "as usual", maxSlowdown the highest
	// that is believed.
	usualSlowdown = 100
	maxSlowdown   = 1000
	// chainMemory is how long a server is assumed to keep a chain of parts after its last use by this instance.
	chainMemory = 30 * time.Second
	// maxChains bounds the chains that are remembered of each server.
	maxChains = 512
	// homes is how many servers of the rendezvous order are considered as homes of a chain. All instances use the same
	// order, so that the first ones have probably cached it.
	homes = 16
	// homeShare is the assumed probability that the first home has cached a chain that this instance has not sent there
	// lately; each further home has homeDecay of that of the one before.
	homeShare = 0.9
	homeDecay = 0.85
	// sampledServers is how many servers without a cached part are compared. With all of them, instances with the same
	// old reports choose the same servers: in TestPlacementUnderLoad this had more late answers and twice the repeated
	// tokens at the double load.
	sampledServers = 4
	// sampledCached is how many servers with most of the cached parts are compared.
	sampledCached = 24
)

// engineState is the state of a server that token-aware placement needs.
type engineState struct {
	// prefill is the number of prompt tokens of this instance's requests without a first event, memory the number of
	// tokens of all its requests.
	prefill, memory float64
	// perEvent is the time between events in milliseconds at the usual speed of the machine.
	perEvent lowerAverage
	// expectedCached is the expected number of cached tokens of the prompt of the last decision.
	expectedCached float64
	chains         map[uint64]time.Time
}

// slowdown is how long work takes on a machine, relative to the usual time.
type slowdown struct {
	last   float64
	lastAt time.Time
	mean   average
}

func (s *slowdown) report(value int, at time.Time) {
	if value <= 0 || value > maxSlowdown {
		return
	}
	s.last, s.lastAt = float64(value)/usualSlowdown, at
	s.mean.add(s.last)
}

// at returns the expected slowdown.
func (s *slowdown) at(now time.Time) float64 {
	if s.mean.samples == 0 {
		return 1
	}
	return s.mean.value + (s.last-s.mean.value)*math.Exp(-float64(now.Sub(s.lastAt))/float64(slowdownMemory))
}

// relativeTime returns how long work takes on the server relative to the mean of the pool.
func (s *server) relativeTime(now time.Time, d *demand) float64 {
	speed := 1.0
	if d.perEvent.value > 0 {
		speed = s.engine.perEvent.withPrior(d.perEvent.value, speedPrior) / d.perEvent.value
	}
	return min(max(speed, minRelativeTime), maxRelativeTime) * s.slowdown.at(now)
}

// placement is the work of an assigned request.
type placement struct {
	tokens, memory float64
	// before is the number of tokens that this instance had outstanding when the request was assigned.
	before       float64
	relativeTime float64
	firstEventAt time.Time
}

// placer chooses the server for one prompt by the estimated lateness.
type placer struct {
	pool   *pool
	prompt *Prompt
	now    time.Time
	shared float64
	// chain is the hash of all shared parts, zero without any; homeRanks are its highest rendezvous ranks.
	chain     uint64
	homeRanks [homes]uint64
}

func newPlacer(now time.Time, p *pool, prompt *Prompt) *placer {
	c := &placer{
		pool:   p,
		prompt: prompt,
		now:    now,
		shared: prompt.sharedTokens(),
	}
	if n := len(prompt.Parts); n > 0 {
		c.chain = prompt.Parts[n-1].Hash
		c.rankHomes()
	}
	return c
}

// choose returns the candidate of least cost among those that may have a part of the prompt cached and a random sample of
// the others.
func (b *Balancer) choose(now time.Time, p *pool, candidates []*server, prompt *Prompt) *server {
	c := newPlacer(now, p, prompt)
	best := candidates[0]
	lowest := math.Inf(1)
	most := 0.0
	for _, s := range candidates {
		s.engine.expectedCached = c.cachedTokens(s)
		most = max(most, s.engine.expectedCached)
	}
	cached := 0
	for _, s := range candidates {
		if s.engine.expectedCached > most/2 {
			cached++
		}
	}
	n := len(candidates)
	withPart := sample{left: cached, wanted: sampledCached}
	others := sample{left: n - cached, wanted: sampledServers}
	offset := b.random(n)
	for i := range candidates {
		s := candidates[(i+offset)%n]
		group := &others
		if s.engine.expectedCached > most/2 {
			group = &withPart
		}
		if !group.take(b.random) {
			continue
		}
		if e := c.estimate(s); e.cost < lowest {
			best, lowest = s, e.cost
		}
	}
	return best
}

// sample takes a number of elements at random from a known number of them.
type sample struct {
	left, wanted int
}

// take reports whether the next element is taken.
func (s *sample) take(random Random) bool {
	taken := s.wanted >= s.left || s.wanted > 0 && random(s.left) < s.wanted
	s.left--
	if taken {
		s.wanted--
	}
	return taken
}

// rankHomes finds the highest rendezvous ranks of the chain among all servers of the pool.
func (c *placer) rankHomes() {
	for _, s := range c.pool.servers {
		if s.leaving {
			continue
		}
		rank := mix(s.seed ^ c.chain)
		if rank <= c.homeRanks[homes-1] {
			continue
		}
		for i := range c.homeRanks {
			if rank > c.homeRanks[i] {
				rank, c.homeRanks[i] = c.homeRanks[i], rank
			}
		}
	}
}

// cachedTokens returns the expected number of shared tokens that the server has cached.
func (c *placer) cachedTokens(s *server) float64 {
	if c.chain == 0 {
		return 0
	}
	home := 0.0
	if rank := mix(s.seed ^ c.chain); rank >= c.homeRanks[homes-1] {
		home = homeShare * c.shared
		for i := 0; i < homes && c.homeRanks[i] > rank; i++ {
			home *= homeDecay
		}
	}
	cached := 0.0
	for _, p := range c.prompt.Parts {
		if at, ok := s.engine.chains[p.Hash]; !ok || c.now.Sub(at) > chainMemory {
			break
		}
		cached += float64(p.Tokens)
	}
	return max(cached, home)
}

func (c *placer) workload(s *server) workload {
	return workload{
		objectives:     c.prompt.Objectives,
		strictest:      c.prompt.Strictest,
		prompt:         c.shared + float64(c.prompt.OwnTokens),
		cached:         c.cachedTokens(s),
		shared:         c.shared,
		memory:         c.shared + float64(c.prompt.OwnTokens) + c.prompt.output(),
		tokensPerEvent: float64(max(c.prompt.TokensPerEvent, 1)),
	}
}

func (c *placer) estimate(s *server) estimate {
	d := &c.pool.demand
	relative := s.relativeTime(c.now, d)
	remote := max(s.loadEstimate-float64(s.localLoad), 0)
	return estimateAt(c.workload(s), engineLoad{
		perToken:    d.perToken.value * relative,
		perEvent:    d.perEvent.value * relative,
		ownPrefill:  s.engine.prefill,
		requests:    s.loadEstimate,
		remote:      remote,
		slots:       float64(s.slots),
		memory:      s.engine.memory + remote*d.memory.value,
		memoryLimit: float64(c.prompt.ServerMemory),
	}, d)
}

// Placement is the estimate by which a request was placed.
type Placement struct {
	// Prefill is the number of prompt tokens that the server is expected to process, Cached how many it is expected to
	// have.
	Prefill, Cached int
	// FirstEvent is the expected time to the first event, Pause the longest pause that the request is expected to cause.
	FirstEvent, Pause time.Duration
}

// place records that a request with a prompt was assigned to a server.
func (b *Balancer) place(now time.Time, p *pool, s *server, prompt *Prompt) (*placement, *Placement) {
	if prompt == nil {
		return nil, nil
	}
	c := newPlacer(now, p, prompt)
	w, e := c.workload(s), c.estimate(s)
	x := &placement{
		tokens:       max(w.prompt-w.cached, 1),
		memory:       w.memory,
		before:       s.engine.prefill,
		relativeTime: s.relativeTime(now, &p.demand),
	}
	s.engine.prefill += x.tokens
	s.engine.memory += x.memory
	s.engine.remember(now, prompt.Parts)
	p.demand.add(x.tokens, x.memory, milliseconds(prompt.Objectives.FirstEvent))
	return x, &Placement{
		Prefill:    int(x.tokens),
		Cached:     int(w.cached),
		FirstEvent: time.Duration(e.first * float64(time.Millisecond)),
		Pause:      time.Duration(e.pause * float64(time.Millisecond)),
	}
}

// remember records that the server has processed a chain of parts.
func (e *engineState) remember(now time.Time, parts []Part) {
	if e.chains == nil {
		e.chains = map[uint64]time.Time{}
	}
	for _, p := range parts {
		e.chains[p.Hash] = now
	}
	if len(e.chains) <= maxChains {
		return
	}
	for h, at := range e.chains {
		if now.Sub(at) > chainMemory || len(e.chains) > maxChains {
			delete(e.chains, h)
		}
	}
}

// Progress records how many events of a response have arrived; with the first one the prefill of the request is over.
func (b *Balancer) Progress(now time.Time, ticket Ticket, events int) {
	assigned, ok := b.assigned[ticket]
	if !ok || assigned.placement == nil || events < 1 {
		return
	}
	x, e, d := assigned.placement, &assigned.server.engine, &assigned.pool.demand
	if x.firstEventAt.IsZero() {
		x.firstEventAt = now
		e.prefill = max(e.prefill-x.tokens, 0)
		if tokens := x.before + x.tokens; tokens >= minSampleTokens {
			relative := x.relativeTime
			d.perToken.add(max(milliseconds(now.Sub(assigned.assignedAt))/relative-d.perEvent.value, 0) / tokens)
		}
	}
	if events < 2 {
		return
	}
	perEvent := milliseconds(now.Sub(x.firstEventAt)) / float64(events-1)
	e.perEvent.add(perEvent / assigned.server.slowdown.at(now))
	d.perEvent.add(perEvent)
}

// endPlacement releases what an ended request held at its server.
func (a *assignedRequest) endPlacement(result Result, now time.Time) {
	x := a.placement
	if x == nil {
		return
	}
	e := &a.server.engine
	if x.firstEventAt.IsZero() {
		e.prefill = max(e.prefill-x.tokens, 0)
	}
	e.memory = max(e.memory-x.memory, 0)
	if result == Success {
		a.pool.demand.duration.add(milliseconds(now.Sub(a.assignedAt)))
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// serviceTime returns the least time that a prompt takes on a server of mean speed without other requests. Without a
// hint, only the prompt is counted: most answers are much shorter than their maximum.
func (p *pool) serviceTime(prompt *Prompt) time.Duration {
	d := &p.demand
	events := float64(prompt.LengthHint) / float64(max(prompt.TokensPerEvent, 1))
	ms := float64(prompt.OwnTokens)*d.perToken.value + events*d.perEvent.value
	return time.Duration(ms * float64(time.Millisecond))
}
