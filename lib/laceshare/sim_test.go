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
	// window is the time over which a server counts, stable how long after the first answer with a limit it begins.
	window = 4 * time.Second
	stable = 3 * time.Second
	// told is how long after an answer with a limit an instance has to keep to it.
	toldTime = 500 * time.Millisecond
)

// sim plays instances with their books and balancers against one server and a store that loses, delays and refuses.
type sim struct {
	random *rand.Rand
	now    time.Time
	server Server
	limit  laceunit.Rate
	// changed is when the limit last changed.
	changed time.Time
	store   simStore
	nodes   []*simNode
	// arrivals are the requests of instances that had been told.
	arrivals []time.Time
	all      int
	refused  int
	// troubled is when the last fault ended.
	troubled time.Time
	later    []event
	// damage is applied to a node after each step; nil for sound ones.
	damage func(n *simNode)
}

type event struct {
	at time.Time
	do func()
}

type simStore struct {
	record   *Record
	revision laceplatform.Revision
}

// simNode is one process of an instance.
type simNode struct {
	sim      *sim
	self     laceunit.Holder
	book     *Allocator
	balancer *lacebalancer.Balancer
	// told is when an answer with a limit came first.
	told time.Time
	rate float64
	// cut ends the time without the store, silent that of a watch which brings nothing although its copy counts as fresh,
	// frozen that of a process that does not run.
	cut, silent, frozen time.Time
	reached             time.Time
	pending             []Write
	dead                bool
}

// newSim returns a fleet whose instances get a number of requests a second each.
func newSim(seed uint64, nodes int, limit laceunit.Rate, each float64) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 24)),
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		server: Server{
			ID:   "s1",
			Born: 7,
		},
		store: simStore{revision: 1},
	}
	for i := range nodes {
		s.nodes = append(s.nodes, s.start(laceunit.InstanceID(fmt.Sprintf("i%d", i)), each))
	}
	s.run(10*time.Second, nil)
	s.set(limit)
	return s
}

func (s *sim) start(id laceunit.InstanceID, rate float64) *simNode {
	n := &simNode{
		sim: s,
		self: laceunit.Holder{
			Instance:    id,
			Incarnation: laceunit.Incarnation(s.random.Uint64()>>1 + 1),
		},
		rate:    rate,
		reached: s.now,
	}
	n.book = NewAllocator(s.now, n.self, s.random.IntN)
	balancer, err := lacebalancer.New(laceconfig.Routing{}, s.random.IntN)
	if err != nil {
		panic(err)
	}
	n.balancer = balancer
	n.balancer.Update(s.now, map[laceunit.ServerID]laceconfig.Server{s.server.ID: {
		Kind:     laceconfig.KindService,
		Services: []laceunit.ServiceID{"plain"},
		Slots:    1000,
		Born:     s.server.Born,
	}}, nil)
	if s.store.record != nil {
		n.book.ApplyRecord(s.now, s.server, s.store.record.clone(), s.store.revision)
	}
	return n
}

func (s *sim) set(limit laceunit.Rate) { s.limit, s.changed = limit, s.now }

// after does something at a later moment.
func (s *sim) after(d time.Duration, do func()) {
	s.later = append(s.later, event{
		at: s.now.Add(d),
		do: do,
	})
}

func (s *sim) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)+1))
}

// run plays for a time; disturb is called in each step.
func (s *sim) run(d time.Duration, disturb func()) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		var due []event
		kept := s.later[:0]
		for _, e := range s.later {
			if e.at.After(s.now) {
				kept = append(kept, e)
			} else {
				due = append(due, e)
			}
		}
		s.later = kept
		for _, e := range due {
			e.do()
		}
		if disturb != nil {
			disturb()
		}
		for _, n := range s.nodes {
			n.step()
		}
	}
}

// changedRecord sends the record to the nodes that the store reaches.
func (s *sim) changedRecord() {
	for _, n := range s.nodes {
		s.after(s.between(2*time.Millisecond, 50*time.Millisecond), n.catchUp)
	}
}

// catchUp takes in the record as it stands, as a watch does that may skip versions.
func (n *simNode) catchUp() {
	s := n.sim
	if n.dead || s.now.Before(n.cut) || s.now.Before(n.silent) || s.now.Before(n.frozen) {
		return
	}
	if s.store.record == nil {
		if m := n.book.marks[s.server]; m != nil && m.record != nil && m.revision < s.store.revision {
			n.book.ApplyRemoval(s.now, s.server, s.store.revision)
		}
		return
	}
	n.book.ApplyRecord(s.now, s.server, s.store.record.clone(), s.store.revision)
}

func (n *simNode) step() {
	s := n.sim
	if n.dead || s.now.Before(n.frozen) {
		return
	}
	if !s.now.Before(n.cut) {
		n.reached = s.now
	}
	if s.now.UnixMilli()%100 == 0 {
		n.catchUp()
		v := n.view()
		n.pending = append(n.pending, n.book.Plan(s.now, v)...)
		for _, w := range n.pending {
			n.write(w)
		}
		n.pending = nil
	}
	if s.damage != nil {
		s.damage(n)
	}
	n.apply()
	for due := n.rate * simStep.Seconds(); s.random.Float64() < due; due-- {
		n.request()
	}
}

func (n *simNode) view() PlanInput {
	s := n.sim
	v := PlanInput{
		Age:    s.now.Sub(n.reached),
		Live:   func(h laceunit.Holder) bool { return s.live(h) },
		Listed: func(Server) bool { return true },
		Demand: func(x Server) lacebalancer.Demand { return n.balancer.Demand(x.ID, x.Born) },
	}
	for _, x := range s.nodes {
		v.Members = append(v.Members, x.self)
	}
	return v
}

func (s *sim) live(h laceunit.Holder) bool {
	for _, n := range s.nodes {
		if n.self == h && !n.dead && !s.now.Before(n.cut) {
			return true
		}
	}
	return false
}

func (n *simNode) apply() {
	s := n.sim
	a, ok := n.book.Allowance(s.now, s.server, s.now.Sub(n.reached), len(s.nodes))
	if !ok {
		n.balancer.ClearAllowance(s.now, s.server.ID, s.server.Born)
		return
	}
	n.balancer.SetAllowance(s.now, s.server.ID, s.server.Born, a)
}

// request places one request, which the server answers some time later.
func (n *simNode) request() {
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
	s.after(s.between(time.Millisecond, 3*time.Millisecond), func() { n.arrive(d) })
}

func (n *simNode) arrive(d lacebalancer.Decision) {
	s := n.sim
	s.all++
	if !n.told.IsZero() && s.now.Sub(n.told) >= toldTime {
		s.arrivals = append(s.arrivals, s.now)
	}
	limit := s.limit
	s.after(s.between(5*time.Millisecond, 150*time.Millisecond), func() {
		if n.dead {
			return
		}
		x, _ := n.balancer.Assignment(d.Ticket)
		if limit > 0 {
			n.book.ObserveLimit(s.now, s.server, x.At, limit)
			if n.told.IsZero() {
				n.told = s.now
			}
		} else {
			n.book.ObserveNoLimit(s.now, s.server, x.At)
			n.told = time.Time{}
		}
		n.apply()
		n.balancer.Done(s.now, d.Ticket, lacebalancer.Success, time.Millisecond)
	})
}

// write sends a write to the store, which may refuse it, lose its answer or carry it out seconds later.
func (n *simNode) write(w Write) {
	s := n.sim
	if s.now.Before(n.cut) {
		return
	}
	luck := s.random.Float64()
	s.after(s.between(time.Millisecond, 20*time.Millisecond), func() {
		switch {
		case s.now.Before(n.cut) || luck < 0.05:
		case luck < 0.1:
			s.store.write(s, w)
		case luck < 0.15:
			s.after(s.between(time.Second, 6*time.Second), func() { s.store.write(s, w) })
		default:
			n.answered(w, s.store.write(s, w))
		}
	})
}

func (n *simNode) answered(w Write, done bool) {
	s := n.sim
	switch {
	case n.dead || s.now.Before(n.frozen):
	case done:
		n.book.ApplyWrite(s.now, w, s.store.revision)
	case s.store.record == nil:
		n.book.ApplyRemoval(s.now, s.server, w.Expect)
	default:
		n.book.ApplyRecord(s.now, s.server, s.store.record.clone(), s.store.revision)
	}
}

func (t *simStore) write(s *sim, w Write) bool {
	standing := laceplatform.Revision(0)
	if t.record != nil {
		standing = t.revision
	}
	if standing != w.Expect {
		return false
	}
	t.revision++
	t.record = nil
	if !w.Remove {
		r := w.Record.clone()
		t.record = &r
	}
	s.changedRecord()
	return true
}

// disturb begins faults at random, so that about one instance in three is in trouble.
func (s *sim) disturb() {
	if s.random.Float64() > 0.006 {
		return
	}
	i := s.random.IntN(len(s.nodes))
	n := s.nodes[i]
	end := s.now.Add(s.between(200*time.Millisecond, 9*time.Second))
	switch s.random.IntN(4) {
	case 0:
		n.cut = end
	case 1:
		n.silent = s.now.Add(s.between(0, copySlack-100*time.Millisecond))
	case 2:
		n.frozen = end
	case 3:
		n.dead = true
		s.nodes[i] = s.start(n.self.Instance, n.rate)
	}
	if s.troubled.Before(end) {
		s.troubled = end
	}
}

// most returns the largest number of requests of told instances within a window that begins after a moment.
func (s *sim) most(after time.Time) int {
	most := 0
	for i, first := range s.arrivals {
		if first.Before(after) {
			continue
		}
		n := 0
		for _, at := range s.arrivals[i:] {
			if at.Sub(first) >= window {
				break
			}
			n++
		}
		most = max(most, n)
	}
	return most
}

// served counts the requests of told instances after a moment.
func (s *sim) served(after time.Time) int {
	n := 0
	for _, at := range s.arrivals {
		if at.After(after) {
			n++
		}
	}
	return n
}
