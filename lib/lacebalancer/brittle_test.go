package lacebalancer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

const (
	simTick        = time.Millisecond
	simServiceTime = 100 * time.Millisecond
	// simBrittleFrom is when the servers begin to say that they are brittle.
	simBrittleFrom = 3 * time.Second
	simEnd         = 30 * time.Second
	simDowntime    = 3 * time.Second
	simReportLag   = 300 * time.Millisecond
)

// brittleCase is a service whose servers are brittle. aware is false for instances that ignore what the servers say.
type brittleCase struct {
	instances, servers, slots, maxRejections int
	aware                                    bool
	// demand is the usual demand relative to the capacity.
	demand float64
	seeds  uint64
	// unreported is true for servers without load reports.
	unreported bool
}

type brittleServer struct {
	id       laceunit.ServerID
	slots    int
	speed    float64
	running  map[*simRequest]bool
	waiting  []*simRequest
	rejected []time.Duration
	report   Load
	downTill time.Duration
	falls    int
}

type simRequest struct {
	instance *simInstance
	request  Request
	decision Decision
	sentAt   time.Duration
	attempts int
	gone     bool
}

type simInstance struct {
	balancer *Balancer
	queued   map[Ticket]*simRequest
	share    float64
	budget   float64
}

// brittleSim simulates instances that share brittle servers.
type brittleSim struct {
	brittleCase
	random   *rand.Rand
	elapsed  time.Duration
	events   map[time.Duration][]func()
	fleet    fleet
	backends map[laceunit.ServerID]*brittleServer
	callers  []*simInstance
	capacity float64
	served   int
	servable float64
}

func newBrittleSim(c brittleCase, seed uint64) *brittleSim {
	s := &brittleSim{
		brittleCase: c,
		random:      rand.New(rand.NewPCG(seed, 1)),
		events:      map[time.Duration][]func(){},
		fleet:       fleet{},
		backends:    map[laceunit.ServerID]*brittleServer{},
	}
	for i := range c.servers {
		x := &brittleServer{
			id:      laceunit.ServerID(fmt.Sprintf("s%d", i)),
			slots:   c.slots,
			speed:   0.7 + 0.6*s.random.Float64(),
			running: map[*simRequest]bool{},
		}
		s.backends[x.id] = x
		s.capacity += float64(x.slots) * x.speed / simServiceTime.Seconds()
		s.fleet[x.id] = laceconfig.Server{
			Services:  []laceunit.ServiceID{"v"},
			Slots:     x.slots,
			StartTime: 1,
		}
	}
	total := 0.0
	for range c.instances {
		x := &simInstance{share: 1 + 4*s.random.Float64()}
		total += x.share
		s.start(x)
		s.callers = append(s.callers, x)
	}
	for _, x := range s.callers {
		x.share /= total
	}
	return s
}

func (s *brittleSim) start(x *simInstance) {
	b, err := New(laceconfig.Routing{}, s.random.IntN)
	if err != nil {
		panic(err)
	}
	b.Update(s.now(), s.fleet, nil)
	x.balancer, x.queued, x.budget = b, map[Ticket]*simRequest{}, initialRetryBudget
}

// fragileFrom is when the servers begin to fall over.
func (s *brittleSim) fragileFrom() time.Duration {
	if s.instances >= 300 {
		return simBrittleFrom + 5*time.Second
	}
	return simBrittleFrom + 3*time.Second
}

func (s *brittleSim) now() time.Time { return start().Add(s.elapsed) }

func (s *brittleSim) after(d time.Duration, f func()) {
	at := s.elapsed + max(d.Truncate(simTick), simTick)
	s.events[at] = append(s.events[at], f)
}

// offered is the demand in requests a second: below the capacity, with bursts of three times as much.
func (s *brittleSim) offered() float64 {
	if s.elapsed%(7*time.Second) >= 5*time.Second {
		return 3 * s.demand * s.capacity
	}
	return s.demand * s.capacity
}

func (s *brittleSim) run() {
	due := 0.0
	for ; s.elapsed < simEnd; s.elapsed += simTick {
		for _, f := range s.events[s.elapsed] {
			f()
		}
		delete(s.events, s.elapsed)
		for ; due < s.offered()*simTick.Seconds(); due += s.random.ExpFloat64() {
			s.pick(&simRequest{instance: s.anyInstance()})
		}
		due -= s.offered() * simTick.Seconds()
		if s.elapsed%(10*simTick) == 0 {
			for _, x := range s.callers {
				if len(x.queued) > 0 {
					s.apply(x, x.balancer.Tick(s.now()))
				}
			}
		}
		if s.elapsed%time.Second == 0 && s.elapsed > s.fragileFrom() {
			s.start(s.callers[s.random.IntN(len(s.callers))])
		}
		if s.elapsed%simReportLag == 0 {
			for _, x := range s.backends {
				x.report = Load{
					Running: len(x.running),
					Waiting: len(x.waiting),
					Slots:   x.slots,
				}
			}
		}
		if s.elapsed >= s.fragileFrom() {
			s.servable += min(s.offered(), s.capacity) * simTick.Seconds()
		}
	}
}

func (s *brittleSim) anyInstance() *simInstance {
	at := s.random.Float64()
	for _, x := range s.callers {
		if at -= x.share; at < 0 {
			return x
		}
	}
	return s.callers[0]
}

func (s *brittleSim) pick(r *simRequest) {
	x := r.instance
	r.request.Pool, r.request.Deadline = ServicePool("v"), s.now().Add(400*time.Millisecond)
	x.budget = min(x.budget+0.1, maxRetryBudget)
	d, others := x.balancer.Pick(s.now(), r.request)
	if d.Verdict == Waiting {
		x.queued[d.Ticket] = r
	}
	s.handle(r, d)
	s.apply(x, others)
}

func (s *brittleSim) apply(x *simInstance, decisions []Decision) {
	for _, d := range decisions {
		r := x.queued[d.Ticket]
		delete(x.queued, d.Ticket)
		s.handle(r, d)
	}
}

func (s *brittleSim) handle(r *simRequest, d Decision) {
	if d.Verdict != Assigned {
		return
	}
	r.decision, r.sentAt, r.gone = d, s.elapsed, false
	b := r.instance.balancer
	s.after(simTick, func() {
		if b.BlockReason(s.now(), d.Ticket) != BlockNone {
			s.done(r, b, Neutral)
			s.pick(r)
			return
		}
		s.after(simTick, func() { s.receive(s.backends[d.Server], r, b) })
	})
}

func (s *brittleSim) done(r *simRequest, b *Balancer, result Result) {
	decisions := b.Done(s.now(), r.decision.Ticket, result, s.elapsed-r.sentAt)
	if b == r.instance.balancer {
		s.apply(r.instance, decisions)
	}
}

func (s *brittleSim) receive(x *brittleServer, r *simRequest, b *Balancer) {
	queue := 4 * x.slots
	if s.elapsed >= s.fragileFrom() {
		queue = x.slots / 2
	}
	switch {
	case s.elapsed < x.downTill:
		s.after(simTick, func() { s.done(r, b, Unreachable); s.retry(r, b) })
	case len(x.running)+len(x.waiting) >= x.slots+queue:
		s.reject(x, r, b)
	default:
		x.waiting = append(x.waiting, r)
		s.serve(x, b)
	}
}

func (s *brittleSim) retry(r *simRequest, b *Balancer) {
	x := r.instance
	if r.attempts++; r.attempts >= 3 || x.budget < 1 || b != x.balancer {
		return
	}
	x.budget--
	r.request.Exclude = append(r.request.Exclude, r.decision.Server)
	s.pick(r)
}

func (s *brittleSim) reject(x *brittleServer, r *simRequest, b *Balancer) {
	x.rejected = append(slices.DeleteFunc(x.rejected, func(at time.Duration) bool {
		return s.elapsed-at >= time.Second
	}), s.elapsed)
	if s.elapsed >= s.fragileFrom() && len(x.rejected) > s.maxRejections {
		s.fall(x)
	}
	s.after(simTick, func() {
		s.observe(x, r, b, true)
		s.done(r, b, Busy)
		s.retry(r, b)
	})
}

func (s *brittleSim) observe(x *brittleServer, r *simRequest, b *Balancer, rejected bool) {
	if s.aware {
		o := BrittleObservation{
			Instances: s.instances,
			Rejected:  rejected,
		}
		if !s.unreported {
			o.Load = &x.report
		}
		if s.elapsed >= simBrittleFrom {
			o.Brittle, o.MaxRejections = true, laceunit.Rate(s.maxRejections)
		}
		_, decisions := b.ObserveBrittle(s.now(), r.decision.Ticket, o)
		if b == r.instance.balancer {
			s.apply(r.instance, decisions)
		}
	}
	if s.unreported {
		return
	}
	decisions := b.Report(s.now(), x.id, x.report, 0)
	if b == r.instance.balancer {
		s.apply(r.instance, decisions)
	}
}

func (s *brittleSim) serve(x *brittleServer, b *Balancer) {
	for len(x.waiting) > 0 && len(x.running) < x.slots {
		r := x.waiting[0]
		x.waiting = x.waiting[1:]
		x.running[r] = true
		took := time.Duration((0.5 + s.random.Float64()) / x.speed * float64(simServiceTime))
		s.after(took, func() {
			if r.gone || !x.running[r] {
				return
			}
			delete(x.running, r)
			s.serve(x, b)
			if s.elapsed >= s.fragileFrom() {
				s.served++
			}
			s.observe(x, r, r.instance.balancer, false)
			s.done(r, r.instance.balancer, Success)
		})
	}
}

// fall crashes a server; it is back after simDowntime with another start time.
func (s *brittleSim) fall(x *brittleServer) {
	x.falls++
	x.downTill = s.elapsed + simDowntime
	lost := append([]*simRequest{}, x.waiting...)
	for r := range maps.Keys(x.running) {
		lost = append(lost, r)
	}
	x.waiting, x.running, x.rejected = nil, map[*simRequest]bool{}, nil
	for _, r := range lost {
		r.gone = true
		s.after(simTick, func() { s.done(r, r.instance.balancer, Failure) })
	}
	s.after(simDowntime, func() {
		config := s.fleet[x.id]
		config.StartTime++
		s.fleet[x.id] = config
		for _, i := range s.callers {
			s.apply(i, i.balancer.Update(s.now(), s.fleet, nil))
		}
	})
}

func (s *brittleSim) falls() int {
	n := 0
	for _, x := range s.backends {
		n += x.falls
	}
	return n
}

// throughput returns how much was served of what could be.
func (s *brittleSim) throughput() float64 { return float64(s.served) / s.servable }

// Guards against instances that, each on its own, send so much to brittle servers that these fall over, and against such
// that serve less than half of what the servers could, two fifths where there are more instances than slots.
func TestBrittleServersStayUp(t *testing.T) {
	for _, c := range []brittleCase{
		{instances: 7, servers: 4, slots: 6, maxRejections: 5, demand: 0.85, seeds: 4},
		{instances: 7, servers: 9, slots: 16, maxRejections: 3, demand: 0.35, seeds: 1},
		{instances: 60, servers: 12, slots: 6, maxRejections: 5, demand: 0.85, seeds: 2},
		{instances: 300, servers: 6, slots: 6, maxRejections: 5, demand: 0.85, seeds: 4},
		{instances: 60, servers: 4, slots: 6, maxRejections: 5, demand: 0.35, seeds: 4, unreported: true},
		{instances: 300, servers: 6, slots: 6, maxRejections: 5, demand: 0.35, seeds: 4, unreported: true},
		{instances: 300, servers: 30, slots: 6, maxRejections: 5, demand: 0.35, seeds: 1},
	} {
		c.aware = true
		least := 0.5
		if c.instances > c.servers*c.slots {
			least = 0.4
		}
		t.Run(fmt.Sprintf("%dx%d", c.instances, c.servers), func(t *testing.T) {
			for seed := range c.seeds {
				s := newBrittleSim(c, seed)
				s.run()
				t.Logf("seed %d: %d falls, throughput %.2f", seed, s.falls(), s.throughput())
				if most := 2 + c.servers/10; s.falls() > most || s.throughput() < least {
					t.Errorf("seed %d: %d falls, limit %d; throughput %.2f, limit %.2f",
						seed, s.falls(), most, s.throughput(), least)
				}
			}
		})
	}
}
