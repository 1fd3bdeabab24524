package lacebalancer

import (
	"slices"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacelimit"
	"lacewingcove/lib/laceunit"
)

const (
	// depth is how far a server may be filled relative to its slots. Some requests must wait at the engine so that
	// it does not run dry between two reports.
	depth = 1.25
	// urgency is added to depth for each step of priority: engines serve urgent requests first, so these gain more
	// by being at the engine than by waiting here.
	urgency = 0.25
	// retryBurst is the retry budget of an instance that has just started and retryMost the most it can save up.
	retryBurst = 10
	retryMost  = 100
	// prefixesHeld bounds the known prefixes over all servers, about 4 MB.
	prefixesHeld = 1 << 16
	// orders is how many rendezvous orders the instances of a fleet use when they can't see the servers' load. One
	// order would send all of them to the same servers, one each would spread a prefix over too many caches.
	orders = 64
)

// Balancer chooses servers.
type Balancer struct {
	routing laceconfig.Routing
	random  Random
	pools   map[Pool]*pool
	servers map[laceunit.ServerID]*server
	flights map[Ticket]flight
	waiting map[Ticket]*pool
	leavers leavers
	pauses  pauses
	// paces are those of servers that have named a limit, listed or not.
	paces   map[birth]*pace
	last    Ticket
	retries float64
	scratch []*server
	// salt picks this instance's rendezvous order while a pool is blind.
	salt uint64
}

type flight struct {
	server *server
	pool   *pool
	at     time.Time
	probe  bool
	// trial is the pause after whose end the request was sent; nil for most.
	trial    *pause
	answered bool
	// paced is true when the request counts against the limit of its server.
	paced bool
}

type waiter struct {
	ticket  Ticket
	request Request
}

type pool struct {
	name    Pool
	servers []*server
	policy  Policy[*server]
	queue   *lacelimit.Queue[waiter]
	// others is the sum of the servers' others.
	others float64
	// local is the sum of what this instance has in flight at the servers.
	local int
	// blind is true while less than half of the servers have a fresh report.
	blind bool
	// latency is the moving average of successful requests in seconds.
	latency float64
}

// Option changes a balancer at construction.
type Option func(*Balancer)

// WithOneOrder makes all instances use one rendezvous order even while they can't see the servers' load. Prompts that
// share long parts are then read by one server, at the price of less even load.
func WithSharedRendezvousOrder() Option {
	return func(b *Balancer) { b.salt = 0 }
}

// New returns a balancer without servers.
func New(routing laceconfig.Routing, random Random, options ...Option) (*Balancer, error) {
	b := &Balancer{
		random:  random,
		pools:   map[Pool]*pool{},
		servers: map[laceunit.ServerID]*server{},
		flights: map[Ticket]flight{},
		waiting: map[Ticket]*pool{},
		pauses:  pauses{},
		paces:   map[birth]*pace{},
		retries: retryBurst,
		salt:    mix(uint64(random(orders) + 1)),
	}
	for _, o := range options {
		o(b)
	}
	return b, b.Configure(routing)
}

// Configure changes the settings; zero fields take the defaults of docs/routing.md. A failed call changes nothing.
func (b *Balancer) Configure(routing laceconfig.Routing) error {
	routing = withDefaults(routing)
	if _, err := NewPolicy[*server](routing.Policy, routing.Bound); err != nil {
		return err
	}
	b.routing = routing
	for _, p := range b.pools {
		b.equip(p)
	}
	return nil
}

func withDefaults(r laceconfig.Routing) laceconfig.Routing {
	set(&r.Policy, PolicyAffinity)
	set(&r.Bound, 1.25)
	set(&r.Retries, 0.1)
	set(&r.Eject, 5)
	set(&r.Probe, time.Second)
	set(&r.Queue, 256)
	set(&r.Wait, 5*time.Second)
	return r
}

func set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (b *Balancer) equip(p *pool) {
	// Configure has checked the name.
	p.policy, _ = NewPolicy[*server](b.routing.Policy, b.routing.Bound)
	p.queue.SetBound(b.routing.Queue)
}

// Update sets the servers and returns what that decides. A server that is leaving or missing gets no new requests
// from here on; its tickets stay valid. Another start of a server begins without what was known of the former one.
func (b *Balancer) Update(now time.Time, servers map[laceunit.ServerID]laceconfig.Server, leaving map[laceunit.ServerID]bool) []Decision {
	for id, s := range b.servers {
		if c, ok := servers[id]; !ok || c.Born != s.born {
			s.gone, s.pools = true, nil
			b.pauses.keep(s)
			delete(b.servers, id)
		}
	}
	for _, p := range b.pools {
		p.servers, p.others, p.local = nil, 0, 0
	}
	for _, id := range sortedKeys(servers) {
		s := b.servers[id]
		if s == nil {
			s = newServer(id)
			b.servers[id] = s
		}
		c := servers[id]
		s.configure(c, leaving[id] || b.IsLeaving(id, c.Born))
		b.pauses.restore(s)
		s.pace = b.paces[s.birth()]
		b.join(s, c)
	}
	b.pauses.prune(now)
	b.leavers.prune(now, func(s birth) bool {
		c, ok := servers[s.id]
		return ok && c.Born == s.born
	})
	var decisions []Decision
	for _, name := range sortedPools(b.pools) {
		p := b.pools[name]
		decisions = append(decisions, b.drain(now, p)...)
		if len(p.servers) == 0 && p.queue.Len() == 0 {
			delete(b.pools, name)
		}
	}
	return decisions
}

func (b *Balancer) join(s *server, c laceconfig.Server) {
	s.pools = nil
	for _, m := range c.Models {
		s.pools = append(s.pools, b.pool(ModelPool(m)))
	}
	for _, v := range c.Services {
		s.pools = append(s.pools, b.pool(ServicePool(v)))
	}
	for _, p := range s.pools {
		p.servers = append(p.servers, s)
		p.others += s.others
		p.local += s.local
	}
}

func (b *Balancer) pool(name Pool) *pool {
	p := b.pools[name]
	if p == nil {
		p = &pool{
			name:  name,
			queue: lacelimit.NewQueue[waiter](0),
			blind: true,
		}
		b.equip(p)
		b.pools[name] = p
	}
	return p
}

// Report takes in a load report whose figures were as old as age when it arrived.
func (b *Balancer) Report(now time.Time, id laceunit.ServerID, load Load, age time.Duration) []Decision {
	s := b.servers[id]
	if s == nil {
		return nil
	}
	s.report(load, now.Add(-max(age, 0)))
	return b.drainAll(now, s.pools)
}

// Cached notes that a server stores or has dropped a prefix.
func (b *Balancer) SetCached(id laceunit.ServerID, prefix uint64, stored bool) {
	if s := b.servers[id]; s != nil {
		s.hold(prefix, stored, max(1, prefixesHeld/len(b.servers)))
	}
}

// Forget drops what is known of a server's cache, for use after a gap in its events.
func (b *Balancer) ClearCached(id laceunit.ServerID) {
	if s := b.servers[id]; s != nil {
		s.held = nil
	}
}

// Suspect marks a server that has reported impossible counts; for a time it is used only when no other is open.
func (b *Balancer) MarkSuspect(now time.Time, id laceunit.ServerID) {
	if s := b.servers[id]; s != nil {
		s.suspect = now.Add(suspectTime)
	}
}

// Done ends a ticket that was sent; a second call is ignored.
func (b *Balancer) Done(now time.Time, ticket Ticket, result Result, latency time.Duration) []Decision {
	f, ok := b.flights[ticket]
	if !ok {
		return nil
	}
	delete(b.flights, ticket)
	s := f.server
	s.count(now, -1)
	if f.probe {
		s.probing = false
	}
	if f.trial != nil {
		f.trial.running--
	}
	switch result {
	case Success:
		s.succeeded(f.probe)
		if !f.answered {
			b.current(s).grow(now, f.trial)
		}
		const weight = 0.05
		if f.pool.latency == 0 {
			f.pool.latency = latency.Seconds()
		}
		f.pool.latency += weight * (latency.Seconds() - f.pool.latency)
	case Failure:
		s.failed(now, b.routing.Eject, b.routing.Probe, f.probe)
	case Unreachable:
		s.failed(now, 1, b.routing.Probe, f.probe)
	case Busy:
		s.succeeded(f.probe)
		// The server is full whatever its last report said; the next report corrects this.
		if !s.gone {
			s.reported, s.then = now, s.local
			s.setOthers(max(s.others, depth*s.Capacity()-float64(s.local)))
		}
	case Neutral:
	}
	return b.drainAll(now, s.pools)
}

// Cancel ends a ticket that waits; it reports whether it did wait.
func (b *Balancer) Cancel(ticket Ticket) bool {
	p, ok := b.waiting[ticket]
	if !ok {
		return false
	}
	delete(b.waiting, ticket)
	p.queue.Drop(func(i lacelimit.Item[waiter]) bool { return i.Value.ticket == ticket })
	return true
}

// Tick refuses what has waited past its deadline and sends what a rest that is over makes room for.
func (b *Balancer) Tick(now time.Time) []Decision {
	var decisions []Decision
	for _, name := range sortedPools(b.pools) {
		decisions = append(decisions, b.drain(now, b.pools[name])...)
	}
	return decisions
}

// Next returns when Tick has something to do, and false while nothing waits.
func (b *Balancer) Next() (time.Time, bool) {
	var next time.Time
	for _, p := range b.pools {
		deadline, ok := p.queue.Next()
		if !ok {
			continue
		}
		if next.IsZero() || deadline.Before(next) {
			next = deadline
		}
		for _, s := range p.servers {
			if s.ejected && !s.probing && s.until.Before(next) {
				next = s.until
			}
			if s.pause != nil && s.pause.running == 0 && s.pause.end.Before(next) {
				next = s.pause.end
			}
			if s.pace == nil {
				continue
			}
			if at, known := s.pace.opening(next); known && at.Before(next) {
				next = at
			}
		}
	}
	return next, !next.IsZero()
}

// InFlight returns how many tickets are sent and not done, per server.
func (b *Balancer) InFlight(id laceunit.ServerID) int {
	if s := b.servers[id]; s != nil {
		return s.local
	}
	return 0
}

func sortedKeys(m map[laceunit.ServerID]laceconfig.Server) []laceunit.ServerID {
	keys := make([]laceunit.ServerID, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
