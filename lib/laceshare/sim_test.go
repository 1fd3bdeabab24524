package laceshare

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	simStep = 10 * time.Millisecond
	// window is the time over which a server counts requests, settleTime how long after the first response with a limit
	// the first window begins.
	window     = 4 * time.Second
	settleTime = 3 * time.Second
	// enforceDelay is how long after its first response with a limit an instance has to enforce it.
	enforceDelay = 500 * time.Millisecond
)

// simulation runs instances with their allocators and balancers against one server, and a store that loses, delays and
// rejects writes.
type simulation struct {
	random *rand.Rand
	now    time.Time
	server Server
	limit  laceunit.Rate
	// changedAt is when the limit last changed.
	changedAt time.Time
	store     simStore
	nodes     []*simNode
	// arrivals are the times of requests from instances that have to enforce the limit.
	arrivals []time.Time
	total    int
	refused  int
	// faultsUntil is when the last fault ends.
	faultsUntil time.Time
	scheduled   []event
	// mutate, if not nil, injects a defect into a node in each step.
	mutate func(n *simNode)
}

type event struct {
	at  time.Time
	run func()
}

type simStore struct {
	record   *Record
	revision laceplatform.Revision
}

// simNode is one process of an instance.
type simNode struct {
	sim       *simulation
	self      laceunit.Holder
	allocator *Allocator
	balancer  *lacebalancer.Balancer
	// limitKnownSince is when the first response with a limit arrived.
	limitKnownSince time.Time
	rate            float64
	// partitionedUntil ends a partition from the store, watchStalledUntil a stall of the watch during which the copy still
	// counts as fresh, frozenUntil a pause of the process.
	partitionedUntil, watchStalledUntil, frozenUntil time.Time
	// lastContact is when the store was last reached.
	lastContact time.Time
	pending     []Write
	dead        bool
}

// newSim returns a fleet whose instances each receive requests at the given rate a second.
func newSim(seed uint64, nodes int, limit laceunit.Rate, rate float64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 24)),
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		server: Server{
			ID:        "s1",
			StartTime: 7,
		},
		store: simStore{revision: 1},
	}
	for i := range nodes {
		s.nodes = append(s.nodes, s.startNode(laceunit.InstanceID(fmt.Sprintf("i%d", i)), rate))
	}
	s.run(10*time.Second, nil)
	s.setLimit(limit)
	return s
}

func (s *simulation) startNode(id laceunit.InstanceID, rate float64) *simNode {
	n := &simNode{
		sim: s,
		self: laceunit.Holder{
			Instance:    id,
			Incarnation: laceunit.Incarnation(s.random.Uint64()>>1 + 1),
		},
		rate:        rate,
		lastContact: s.now,
	}
	n.allocator = NewAllocator(s.now, n.self, s.random.IntN)
	balancer, err := lacebalancer.New(laceconfig.Routing{}, s.random.IntN)
	if err != nil {
		panic(err)
	}
	n.balancer = balancer
	n.balancer.Update(s.now, map[laceunit.ServerID]laceconfig.Server{s.server.ID: {
		Kind:      laceconfig.KindService,
		Services:  []laceunit.ServiceID{"plain"},
		Slots:     1000,
		StartTime: s.server.StartTime,
	}}, nil)
	if s.store.record != nil {
		n.allocator.ApplyRecord(s.now, s.server, s.store.record.clone(), s.store.revision)
	}
	return n
}

func (s *simulation) setLimit(limit laceunit.Rate) { s.limit, s.changedAt = limit, s.now }

// schedule runs a function after a delay.
func (s *simulation) schedule(d time.Duration, run func()) {
	s.scheduled = append(s.scheduled, event{
		at:  s.now.Add(d),
		run: run,
	})
}

func (s *simulation) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(s.random.Int64N(int64(maximum-minimum)+1))
}

// run advances the simulation by a duration; inject, if not nil, is called in each step.
func (s *simulation) run(d time.Duration, inject func()) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		var due []event
		remaining := s.scheduled[:0]
		for _, e := range s.scheduled {
			if e.at.After(s.now) {
				remaining = append(remaining, e)
			} else {
				due = append(due, e)
			}
		}
		s.scheduled = remaining
		for _, e := range due {
			e.run()
		}
		if inject != nil {
			inject()
		}
		for _, n := range s.nodes {
			n.step()
		}
	}
}

// notifyWatchers delivers the record to all nodes after a random delay.
func (s *simulation) notifyWatchers() {
	for _, n := range s.nodes {
		s.schedule(s.randomDuration(2*time.Millisecond, 50*time.Millisecond), n.syncRecord)
	}
}

// syncRecord applies the current record, like a watch that may skip versions.
func (n *simNode) syncRecord() {
	s := n.sim
	if n.dead || s.now.Before(n.partitionedUntil) || s.now.Before(n.watchStalledUntil) || s.now.Before(n.frozenUntil) {
		return
	}
	if s.store.record == nil {
		if l := n.allocator.limits[s.server]; l != nil && l.record != nil && l.revision < s.store.revision {
			n.allocator.ApplyRemoval(s.now, s.server, s.store.revision)
		}
		return
	}
	n.allocator.ApplyRecord(s.now, s.server, s.store.record.clone(), s.store.revision)
}

func (n *simNode) step() {
	s := n.sim
	if n.dead || s.now.Before(n.frozenUntil) {
		return
	}
	if !s.now.Before(n.partitionedUntil) {
		n.lastContact = s.now
	}
	if s.now.UnixMilli()%100 == 0 {
		n.syncRecord()
		in := n.planInput()
		n.pending = append(n.pending, n.allocator.Plan(s.now, in)...)
		for _, w := range n.pending {
			n.write(w)
		}
		n.pending = nil
	}
	if s.mutate != nil {
		s.mutate(n)
	}
	n.apply()
	for due := n.rate * simStep.Seconds(); s.random.Float64() < due; due-- {
		n.sendRequest()
	}
}

func (n *simNode) planInput() PlanInput {
	s := n.sim
	in := PlanInput{
		Age:    s.now.Sub(n.lastContact),
		Live:   func(h laceunit.Holder) bool { return s.live(h) },
		Listed: func(Server) bool { return true },
		Demand: func(x Server) lacebalancer.Demand { return n.balancer.Demand(x.ID, x.StartTime) },
	}
	for _, x := range s.nodes {
		in.Members = append(in.Members, x.self)
	}
	return in
}

func (s *simulation) live(h laceunit.Holder) bool {
	for _, n := range s.nodes {
		if n.self == h && !n.dead && !s.now.Before(n.partitionedUntil) {
			return true
		}
	}
	return false
}

func (n *simNode) apply() {
	s := n.sim
	a, ok := n.allocator.Allowance(s.now, s.server, s.now.Sub(n.lastContact), len(s.nodes))
	if !ok {
		n.balancer.ClearAllowance(s.now, s.server.ID, s.server.StartTime)
		return
	}
	n.balancer.SetAllowance(s.now, s.server.ID, s.server.StartTime, a)
}

// sendRequest places one request, to which the server responds after a random delay.
func (n *simNode) sendRequest() {
	s := n.sim
	d, _ := n.balancer.Pick(s.now, lacebalancer.Request{
		Pool:     lacebalancer.ServicePool("plain"),
		Deadline: s.now.Add(simStep / 2),
	})
	if d.Verdict == lacebalancer.Waiting {
		n.balancer.Cancel(d.Ticket)
	}
	if d.Verdict != lacebalancer.Assigned {
		s.refused++
		return
	}
	s.schedule(s.randomDuration(time.Millisecond, 3*time.Millisecond), func() { n.arrive(d) })
}

func (n *simNode) arrive(d lacebalancer.Decision) {
	s := n.sim
	s.total++
	if !n.limitKnownSince.IsZero() && s.now.Sub(n.limitKnownSince) >= enforceDelay {
		s.arrivals = append(s.arrivals, s.now)
	}
	limit := s.limit
	s.schedule(s.randomDuration(5*time.Millisecond, 150*time.Millisecond), func() {
		if n.dead {
			return
		}
		x, _ := n.balancer.Assignment(d.Ticket)
		if limit > 0 {
			n.allocator.ObserveLimit(s.now, s.server, x.At, limit)
			if n.limitKnownSince.IsZero() {
				n.limitKnownSince = s.now
			}
		} else {
			n.allocator.ObserveNoLimit(s.now, s.server, x.At)
			n.limitKnownSince = time.Time{}
		}
		n.apply()
		n.balancer.Done(s.now, d.Ticket, lacebalancer.Success, time.Millisecond)
	})
}

// write sends a write to the store, which may reject it, lose its response or execute it seconds later.
func (n *simNode) write(w Write) {
	s := n.sim
	if s.now.Before(n.partitionedUntil) {
		return
	}
	roll := s.random.Float64()
	s.schedule(s.randomDuration(time.Millisecond, 20*time.Millisecond), func() {
		switch {
		case s.now.Before(n.partitionedUntil) || roll < 0.05:
		case roll < 0.1:
			s.store.write(s, w)
		case roll < 0.15:
			s.schedule(s.randomDuration(time.Second, 6*time.Second), func() { s.store.write(s, w) })
		default:
			n.writeCompleted(w, s.store.write(s, w))
		}
	})
}

func (n *simNode) writeCompleted(w Write, accepted bool) {
	s := n.sim
	switch {
	case n.dead || s.now.Before(n.frozenUntil):
	case accepted:
		n.allocator.ApplyWrite(s.now, w, s.store.revision)
	case s.store.record == nil:
		n.allocator.ApplyRemoval(s.now, s.server, w.Expect)
	default:
		n.allocator.ApplyRecord(s.now, s.server, s.store.record.clone(), s.store.revision)
	}
}

func (t *simStore) write(s *simulation, w Write) bool {
	current := laceplatform.Revision(0)
	if t.record != nil {
		current = t.revision
	}
	if current != w.Expect {
		return false
	}
	t.revision++
	t.record = nil
	if !w.Remove {
		r := w.Record.clone()
		t.record = &r
	}
	s.notifyWatchers()
	return true
}

// injectFault starts faults at random, so that about one instance in three is affected at any time.
func (s *simulation) injectFault() {
	if s.random.Float64() > 0.006 {
		return
	}
	i := s.random.IntN(len(s.nodes))
	n := s.nodes[i]
	end := s.now.Add(s.randomDuration(200*time.Millisecond, 9*time.Second))
	switch s.random.IntN(4) {
	case 0:
		n.partitionedUntil = end
	case 1:
		n.watchStalledUntil = s.now.Add(s.randomDuration(0, undetectedStaleness-100*time.Millisecond))
	case 2:
		n.frozenUntil = end
	case 3:
		n.dead = true
		s.nodes[i] = s.startNode(n.self.Instance, n.rate)
	}
	if s.faultsUntil.Before(end) {
		s.faultsUntil = end
	}
}

// maxInWindow returns the largest number of arrivals within a window that begins at or after a time.
func (s *simulation) maxInWindow(from time.Time) int {
	maximum := 0
	for i, first := range s.arrivals {
		if first.Before(from) {
			continue
		}
		n := 0
		for _, at := range s.arrivals[i:] {
			if at.Sub(first) >= window {
				break
			}
			n++
		}
		maximum = max(maximum, n)
	}
	return maximum
}

// servedAfter returns the number of arrivals after a time.
func (s *simulation) servedAfter(from time.Time) int {
	n := 0
	for _, at := range s.arrivals {
		if at.After(from) {
			n++
		}
	}
	return n
}
