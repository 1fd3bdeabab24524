package lacebalancer

import (
	"math"
	"time"
)

const (
	// speedPrior is the number of samples that the mean of the pool counts as in the speed of a server: one slow answer
	// does not make a server slow.
	speedPrior = 3
	// minRelativeTime and maxRelativeTime bound the learned time of a server relative to the mean of the pool, somewhat
	// beyond the differences between machines of one pool.
	minRelativeTime = 0.4
	maxRelativeTime = 3
	// slowdownMemory is how quickly a reported slowdown reverts to its mean: it changes many times a second.
	slowdownMemory = 300 * time.Millisecond
	// usualSlowdown is the value of the fourth figure of a load report that means "as usual". Values outside of
	// minSlowdown to maxSlowdown are ignored: a server that claims to need hardly any time would get all requests.
	usualSlowdown = 100
	minSlowdown   = 25
	maxSlowdown   = 1000
	// chainMemory is how long a server is assumed to keep a chain of parts after its last use by this instance. Engines
	// evict the least recently used parts when requests need the memory.
	chainMemory = 30 * time.Second
	// maxChains bounds the remembered chains of all servers together, about 2 MB; minChains is how many are remembered of
	// each server at least.
	maxChains = 1 << 15
	minChains = 16
	// homes is the most servers of a chain's rendezvous order that count as its homes. All instances use the same order.
	homes = 16
	// homeShare is the assumed probability that the first home has cached a chain that this instance has not sent there
	// lately. That of each further home is the one before times the probability that requests spill over from there:
	// the home's load relative to the mean of the pool, less spillOffset, and between minSpill and maxSpill. So a
	// chain with few requests stays at few servers, and a chain that loads its homes gets more of them.
	homeShare   = 0.9
	spillOffset = 0.8
	minSpill    = 0.2
	maxSpill    = 0.95
	// sampledServers is the number of servers without a cached part that are compared. If all were, instances with the
	// same old reports would choose the same servers.
	sampledServers = 4
	// sampledCached is the number of compared servers that have most of the cached parts. It bounds the time of a choice.
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
	// chains are the hashes of the chains that this instance has sent there, with the time of the last use in
	// nanoseconds.
	chains map[uint64]int64
}

// slowdown is how long work takes on a machine, relative to the usual time.
type slowdown struct {
	last   float64
	lastAt time.Time
	mean   average
}

func (s *slowdown) report(value int, at time.Time) {
	if value < minSlowdown || value > maxSlowdown {
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

// home is a server that probably has cached a chain.
type home struct {
	server *server
	rank   uint64
	// cached is the probability that it has.
	cached float64
}

// placer chooses the server for one prompt by the estimated lateness.
type placer struct {
	pool   *pool
	prompt *Prompt
	now    time.Time
	// shared is the number of tokens in shared parts, input that of the whole prompt.
	shared, input float64
	// oldestUse is the time before which a use of a chain no longer counts, in nanoseconds.
	oldestUse int64
	// chain is the hash of all shared parts, zero without any; homes are the servers of its highest rendezvous ranks,
	// known once ranked is true.
	chain  uint64
	ranked bool
	homes  [homes]home
}

func newPlacer(now time.Time, p *pool, prompt *Prompt) placer {
	c := placer{
		pool:   p,
		prompt: prompt,
		now:    now,
		shared: prompt.sharedTokens(),
		input:  prompt.inputTokens(),

		oldestUse: now.Add(-chainMemory).UnixNano(),
	}
	if n := len(prompt.Parts); n > 0 {
		c.chain = prompt.Parts[n-1].Hash
	}
	return c
}

// choose returns the candidate of least cost among those that may have a part of the prompt cached and a random sample of
// the others.
func (c *placer) choose(candidates []*server, random Random) *server {
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
	offset := random(n)
	for i := range candidates {
		s := candidates[(i+offset)%n]
		group := &others
		if s.engine.expectedCached > most/2 {
			group = &withPart
		}
		if !group.take(random) {
			continue
		}
		if e := c.estimate(s, c.workload(s.engine.expectedCached)); e.cost < lowest {
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

// rankHomes finds the homes of the chain among all servers of the pool.
func (c *placer) rankHomes() {
	c.ranked = true
	for _, s := range c.pool.servers {
		if s.leaving {
			continue
		}
		rank := mix(s.seed ^ c.chain)
		if rank <= c.homes[homes-1].rank {
			continue
		}
		i := homes - 1
		for ; i > 0 && c.homes[i-1].rank < rank; i-- {
			c.homes[i] = c.homes[i-1]
		}
		c.homes[i] = home{
			server: s,
			rank:   rank,
		}
	}
	mean := c.pool.meanLoad()
	meanRequests := max(mean.localLoad+mean.remoteLoad, 0.5)
	probability := homeShare
	for i := range c.homes {
		h := &c.homes[i]
		if h.server == nil {
			return
		}
		h.cached = probability
		probability *= min(max(h.server.loadEstimate/meanRequests-spillOffset, minSpill), maxSpill)
	}
}

// cachedTokens returns the expected number of shared tokens that the server has cached.
func (c *placer) cachedTokens(s *server) float64 {
	if c.chain == 0 {
		return 0
	}
	if !c.ranked {
		c.rankHomes()
	}
	atHome := 0.0
	if mix(s.seed^c.chain) >= c.homes[homes-1].rank {
		for i := range c.homes {
			if c.homes[i].server == s {
				atHome = c.homes[i].cached * c.shared
			}
		}
	}
	cached := 0.0
	for _, p := range c.prompt.Parts {
		if at, ok := s.engine.chains[p.Hash]; !ok || at < c.oldestUse {
			break
		}
		cached += float64(p.Tokens)
	}
	return min(max(cached, atHome), c.shared)
}

func (c *placer) workload(cached float64) workload {
	return workload{
		objectives:     c.prompt.Objectives,
		strictest:      c.prompt.Strictest,
		prompt:         c.input,
		cached:         cached,
		shared:         c.shared,
		memory:         c.input + c.prompt.output(),
		tokensPerEvent: float64(max(c.prompt.TokensPerEvent, 1)),
	}
}

func (c *placer) estimate(s *server, w workload) estimate {
	d := &c.pool.demand
	relative := s.relativeTime(c.now, d)
	remote := max(s.loadEstimate-float64(s.localLoad), 0)
	return estimateAt(w, engineLoad{
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
func (b *Balancer) place(c *placer, s *server) (*placement, *Placement) {
	if c == nil {
		return nil, nil
	}
	w := c.workload(c.cachedTokens(s))
	e, d := c.estimate(s, w), &c.pool.demand
	x := &placement{
		tokens:       max(w.prompt-w.cached, 1),
		memory:       w.memory,
		before:       s.engine.prefill,
		relativeTime: s.relativeTime(c.now, d),
	}
	s.engine.prefill += x.tokens
	s.engine.memory += x.memory
	s.engine.remember(c.now, c.prompt.Parts, max(maxChains/max(len(b.servers), 1), minChains))
	d.add(x.tokens, x.memory, milliseconds(c.prompt.Objectives.FirstEvent))
	return x, &Placement{
		Prefill:    int(x.tokens),
		Cached:     int(w.cached),
		FirstEvent: duration(e.first),
		Pause:      duration(e.pause),
	}
}

// remember records that the server has processed a chain of parts. Beyond the bound it forgets chains that have not been
// used within chainMemory, then arbitrary others until a quarter is free, so that few requests pay for it.
func (e *engineState) remember(now time.Time, parts []Part, bound int) {
	if e.chains == nil {
		e.chains = map[uint64]int64{}
	}
	if len(e.chains)+len(parts) > bound {
		oldest := now.Add(-chainMemory).UnixNano()
		for h, at := range e.chains {
			if at < oldest {
				delete(e.chains, h)
			}
		}
		for h := range e.chains {
			if len(e.chains)+len(parts) <= bound-bound/4 {
				break
			}
			delete(e.chains, h)
		}
	}
	for _, p := range parts {
		if len(e.chains) < bound {
			e.chains[p.Hash] = now.UnixNano()
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

// maxEstimate is far above the time limit of any request.
const maxEstimate = time.Hour

// duration converts estimated milliseconds.
func duration(ms float64) time.Duration {
	return time.Duration(min(ms, milliseconds(maxEstimate)) * float64(time.Millisecond))
}

// serviceTime returns the least time that a prompt takes on a server of mean speed without other requests. Without a
// hint, only the prompt is counted: most answers are much shorter than their maximum.
func (p *pool) serviceTime(prompt *Prompt) time.Duration {
	d := &p.demand
	events := 0.0
	if prompt.LengthHint > 0 {
		events = prompt.output() / float64(max(prompt.TokensPerEvent, 1))
	}
	return duration(float64(prompt.OwnTokens)*d.perToken.value + events*d.perEvent.value)
}
