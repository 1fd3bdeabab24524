package lacebalancer

import (
	"slices"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacelimit"
	"lacewingcove/lib/laceunit"
)

const (
	// baseUtilization is the maximum load of a server relative to its slots. It is above 1 so that some requests queue
	// at the engine, which would otherwise idle between two load reports.
	baseUtilization = 1.25
	// utilizationPerPriority is added to baseUtilization for each priority level: engines serve requests in priority
	// order, so urgent requests gain more from queueing at the engine than from queueing here.
	utilizationPerPriority = 0.25
	// initialRetryBudget is the retry budget of a newly started instance, maxRetryBudget the most it can accumulate.
	initialRetryBudget = 10
	maxRetryBudget     = 100
	// maxPrefixes bounds the number of cached prefixes tracked over all servers, about 4 MB.
	maxPrefixes = 1 << 16
	// rendezvousOrders is how many different rendezvous hashing orders the instances of a fleet use while load reports
	// are stale. With a single order all instances would overload the same servers; with one order per instance a
	// prefix would be spread over too many caches.
	rendezvousOrders = 64
)

// Balancer selects servers for requests and queues those that no server has capacity for.
type Balancer struct {
	routing        laceconfig.Routing
	random         Random
	pools          map[Pool]*pool
	servers        map[laceunit.ServerID]*server
	assigned       map[Ticket]assignedRequest
	waiting        map[Ticket]*pool
	leavingServers leavingServers
	pauses         pauses
	// rateLimiters are those of the servers with a rate limit, whether they are listed or not.
	rateLimiters map[incarnation]*rateLimiter
	lastTicket   Ticket
	retryBudget  float64
	scratch      []*server
	placer       placer
	// salt selects this instance's rendezvous order for pools whose load reports are stale.
	salt uint64
}

// assignedRequest is a request that has a server and is not done.
type assignedRequest struct {
	server     *server
	pool       *pool
	assignedAt time.Time
	probe      bool
	// slowStart is the pause in whose slow start the request was assigned; nil without one.
	slowStart       *pause
	responseStarted bool
	// rateLimited is true when the request counts against the rate limit of its server.
	rateLimited bool
	// placement is nil unless the request describes its prompt.
	placement *placement
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
	// remoteLoad is the sum of the servers' remoteLoad.
	remoteLoad float64
	// localLoad is the number of requests that this instance has in flight at the servers.
	localLoad int
	// nextLoadProbe is when a server that counts as full may be probed, nextReportSweep when old reports are removed.
	nextLoadProbe   time.Time
	nextReportSweep time.Time
	// reportsStale is true while less than half of the servers have a fresh load report.
	reportsStale bool
	// latency is the moving average latency of successful requests in seconds.
	latency float64
	// demand is known while requests describe their prompts.
	demand  demand
	brittle brittlePool
	// workTime is the mean time in seconds that servers need for a request, without the wait for a slot.
	workTime average
}

// Option configures a new balancer.
type Option func(*Balancer)

// WithSharedRendezvousOrder makes all instances use the same rendezvous order even while load reports are stale.
// Prompts that share long parts are then processed by one server, at the cost of a less even load.
func WithSharedRendezvousOrder() Option {
	return func(b *Balancer) { b.salt = 0 }
}

// New returns a balancer without servers.
func New(routing laceconfig.Routing, random Random, options ...Option) (*Balancer, error) {
	b := &Balancer{
		random:       random,
		pools:        map[Pool]*pool{},
		servers:      map[laceunit.ServerID]*server{},
		assigned:     map[Ticket]assignedRequest{},
		waiting:      map[Ticket]*pool{},
		pauses:       pauses{},
		rateLimiters: map[incarnation]*rateLimiter{},
		retryBudget:  initialRetryBudget,
		salt:         mix(uint64(random(rendezvousOrders) + 1)),
	}
	for _, o := range options {
		o(b)
	}
	return b, b.Configure(routing)
}

// Configure changes the settings; zero fields get the defaults from docs/routing.md. A failed call changes nothing.
func (b *Balancer) Configure(routing laceconfig.Routing) error {
	routing = withDefaults(routing)
	if _, err := NewPolicy[*server](routing.Policy, routing.LoadFactor); err != nil {
		return err
	}
	b.routing = routing
	for _, p := range b.pools {
		b.applyRouting(p)
	}
	return nil
}

func withDefaults(r laceconfig.Routing) laceconfig.Routing {
	setDefault(&r.Policy, PolicyAffinity)
	setDefault(&r.LoadFactor, 1.25)
	setDefault(&r.RetryRatio, 0.1)
	setDefault(&r.EjectAfter, 5)
	setDefault(&r.EjectionTime, time.Second)
	setDefault(&r.MaxQueued, 256)
	setDefault(&r.QueueTimeout, 5*time.Second)
	return r
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (b *Balancer) applyRouting(p *pool) {
	// Configure has validated the policy name.
	p.policy, _ = NewPolicy[*server](b.routing.Policy, b.routing.LoadFactor)
	p.queue.SetBound(b.routing.MaxQueued)
}

// Update sets the servers and returns the resulting decisions on queued requests. A server that is leaving or missing
// gets no new requests from then on; its tickets stay valid. A restarted server starts without the state of its
// previous incarnation, except for a pause, which applies to the address.
func (b *Balancer) Update(
	now time.Time, servers map[laceunit.ServerID]laceconfig.Server, leaving map[laceunit.ServerID]bool,
) []Decision {
	for id, s := range b.servers {
		if config, ok := servers[id]; !ok || config.StartTime != s.startTime {
			s.removed, s.pools = true, nil
			delete(b.servers, id)
		}
	}
	for _, p := range b.pools {
		p.servers, p.remoteLoad, p.localLoad = nil, 0, 0
	}
	for _, id := range sortedKeys(servers) {
		s := b.servers[id]
		if s == nil {
			s = newServer(id)
			b.servers[id] = s
		}
		config := servers[id]
		s.configure(config, leaving[id] || b.IsLeaving(id, config.StartTime))
		s.pause = nil
		if len(b.pauses) > 0 {
			s.pause = b.pauses[s.pauseKey()]
		}
		s.rateLimiter = b.rateLimiters[s.incarnation()]
		b.addToPools(s, config)
	}
	b.pauses.prune(now, b.servers)
	b.leavingServers.prune(now, func(s incarnation) bool {
		config, ok := servers[s.id]
		return ok && config.StartTime == s.startTime
	})
	var decisions []Decision
	for _, name := range sortedPools(b.pools) {
		p := b.pools[name]
		decisions = append(decisions, b.drainQueue(now, p)...)
		if len(p.servers) == 0 && p.queue.Len() == 0 {
			delete(b.pools, name)
		}
	}
	return decisions
}

func (b *Balancer) addToPools(s *server, config laceconfig.Server) {
	s.pools = nil
	for _, m := range config.Models {
		s.pools = append(s.pools, b.pool(ModelPool(m)))
	}
	for _, v := range config.Services {
		s.pools = append(s.pools, b.pool(ServicePool(v)))
	}
	for _, p := range s.pools {
		p.servers = append(p.servers, s)
		p.remoteLoad += s.remoteLoad
		p.localLoad += s.localLoad
	}
}

func (b *Balancer) pool(name Pool) *pool {
	p := b.pools[name]
	if p == nil {
		p = &pool{
			name:         name,
			queue:        lacelimit.NewQueue[waiter](0),
			reportsStale: true,
			demand:       newDemand(),
		}
		b.applyRouting(p)
		b.pools[name] = p
	}
	return p
}

// Report applies a load report whose figures were already of the given age when it arrived.
func (b *Balancer) Report(now time.Time, id laceunit.ServerID, load Load, age time.Duration) []Decision {
	s := b.servers[id]
	if s == nil {
		return nil
	}
	s.applyReport(load, now.Add(-max(age, 0)))
	return b.drainQueues(now, s.pools)
}

// SetCached records that a server has cached a prefix, or has evicted it if stored is false.
func (b *Balancer) SetCached(id laceunit.ServerID, prefix uint64, stored bool) {
	if s := b.servers[id]; s != nil {
		s.setCached(prefix, stored, max(1, maxPrefixes/len(b.servers)))
	}
}

// ClearCached clears the recorded cache contents of a server, for use after a gap in its cache events.
func (b *Balancer) ClearCached(id laceunit.ServerID) {
	if s := b.servers[id]; s != nil {
		s.cachedPrefixes = nil
	}
}

// MarkSuspect marks a server that has reported impossible counts: for suspectDuration it gets requests only when no
// other server has capacity.
func (b *Balancer) MarkSuspect(now time.Time, id laceunit.ServerID) {
	if s := b.servers[id]; s != nil {
		s.suspectUntil = now.Add(suspectDuration)
	}
}

// Done ends the ticket of an assigned request; a second call is ignored.
func (b *Balancer) Done(now time.Time, ticket Ticket, result Result, latency time.Duration) []Decision {
	assigned, ok := b.assigned[ticket]
	if !ok {
		return nil
	}
	delete(b.assigned, ticket)
	s := assigned.server
	s.addInFlight(now, -1)
	assigned.endPlacement(result, now)
	if assigned.probe {
		s.probeInFlight = false
	}
	if assigned.slowStart != nil {
		assigned.slowStart.inFlight--
	}
	switch result {
	case Success:
		s.recordSuccess(now, assigned.probe)
		if !assigned.responseStarted {
			b.raiseSlowStartLimit(now, assigned)
		}
		const weight = 0.05
		if assigned.pool.latency == 0 {
			assigned.pool.latency = latency.Seconds()
		}
		assigned.pool.latency += weight * (latency.Seconds() - assigned.pool.latency)
		assigned.pool.addWorkTime(s, latency)
	case Failure:
		s.recordFailure(now, b.routing.EjectAfter, b.routing.EjectionTime, assigned.probe)
	case Unreachable:
		s.recordFailure(now, 1, b.routing.EjectionTime, assigned.probe)
	case Silent:
		s.recordSilence(now, assigned.assignedAt, b.routing.EjectAfter, b.routing.EjectionTime, assigned.probe)
	case SilentHandshake:
		s.recordSilence(now, assigned.assignedAt, 1, b.routing.EjectionTime, assigned.probe)
	case Busy:
		s.recordSuccess(now, assigned.probe)
		// Treat the server as full regardless of its last report, until the next report.
		if !s.removed {
			s.reportTime, s.localAtReport = now, s.localLoad
			s.setRemoteLoad(max(s.remoteLoad, baseUtilization*s.Capacity()-float64(s.localLoad)))
		}
	case Neutral:
	}
	return b.drainQueues(now, s.pools)
}

// Cancel removes a request from the queue and reports whether it was queued.
func (b *Balancer) Cancel(ticket Ticket) bool {
	p, ok := b.waiting[ticket]
	if !ok {
		return false
	}
	delete(b.waiting, ticket)
	p.queue.Drop(func(i lacelimit.Item[waiter]) bool { return i.Value.ticket == ticket })
	return true
}

// Tick refuses queued requests whose deadline has passed and assigns those that a server can take now, such as after
// the end of an ejection or a pause.
func (b *Balancer) Tick(now time.Time) []Decision {
	var decisions []Decision
	for _, name := range sortedPools(b.pools) {
		decisions = append(decisions, b.drainQueue(now, b.pools[name])...)
	}
	return decisions
}

// Next returns when Tick has to be called next, and false while no request is queued.
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
			if s.ejected && !s.probeInFlight && s.ejectedUntil.Before(next) {
				next = s.ejectedUntil
			}
			if s.pause != nil && s.pause.inFlight == 0 && s.pause.end.Before(next) {
				next = s.pause.end
			}
			if s.rateLimiter == nil {
				continue
			}
			if at, known := s.rateLimiter.nextAllowed(next); known && at.Before(next) {
				next = at
			}
		}
	}
	return next, !next.IsZero()
}

// InFlight returns the number of requests that this instance has in flight at a server.
func (b *Balancer) InFlight(id laceunit.ServerID) int {
	if s := b.servers[id]; s != nil {
		return s.localLoad
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
