package laceshare

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	simSeed = 20261204
	// simSeeds is how many times each scenario runs with faults.
	simSeeds = 2
)

// maxRequests returns how many requests a server with a limit may receive within a window.
func maxRequests(limit laceunit.Rate) int { return int(1.5*window.Seconds()*float64(limit)) + 5 }

// scenario is a fleet and the limit of its server.
type scenario struct {
	nodes int
	limit laceunit.Rate
}

// demand returns how many requests a second each instance receives, several times its share of the limit.
func (c scenario) demand() float64 { return 2 + 4*float64(c.limit)/float64(c.nodes) }

// scenarios returns fleets from one instance to many, with fewer and more parts than instances.
func scenarios() []scenario {
	return []scenario{
		{nodes: 1, limit: 1},
		{nodes: 3, limit: 0.3},
		{nodes: 7, limit: 1},
		{nodes: 7, limit: 2.5},
		{nodes: 7, limit: 20},
		{nodes: 40, limit: 1},
		{nodes: 40, limit: 12},
		{nodes: 40, limit: 200},
	}
}

// Guards against instances that together exceed the limit while they are partitioned from the store, get updates late,
// freeze or restart, and while writes are lost or delayed.
func TestLimitHoldsUnderFaults(t *testing.T) {
	for i, c := range scenarios() {
		for seed := range uint64(simSeeds) {
			s := newSim(simSeed+seed, c.nodes, c.limit, c.demand())
			from := s.now.Add(settleTime)
			s.run(60*time.Second, s.injectFault)
			if n := s.maxInWindow(from); n > maxRequests(c.limit) {
				t.Errorf("scenario %d, seed %d: %d instances, %d requests within %s at a limit of %g a second",
					i, seed, c.nodes, n, window, c.limit)
			}
		}
	}
}

// Guards against a limit that is enforced by not using it, and against parts that stay with instances without demand.
func TestLimitIsUsed(t *testing.T) {
	for i, c := range scenarios() {
		s := newSim(simSeed, c.nodes, c.limit, c.demand())
		s.run(25*time.Second, nil)
		from := s.now
		const span = 20 * time.Second
		s.run(span, nil)
		minServed := 0.75*span.Seconds()*float64(c.limit) - 1
		if n := s.servedAfter(from); float64(n) < minServed {
			t.Errorf("scenario %d: %d requests in %s at a limit of %g a second", i, n, span, c.limit)
		}
		if n, maxSent := s.maxInWindow(from), int(window.Seconds()*float64(c.limit))+partCount(c.limit)+1; n > maxSent {
			t.Errorf("scenario %d: %d requests within %s without faults, want at most %d", i, n, window, maxSent)
		}
		// All callers move to one instance.
		for j, n := range s.nodes {
			if n.rate = 0; j == len(s.nodes)-1 {
				n.rate = c.demand() * float64(c.nodes)
			}
		}
		s.run(90*time.Second, nil)
		from = s.now
		s.run(span, nil)
		if n := s.servedAfter(from); float64(n) < minServed {
			t.Errorf("scenario %d, callers at one instance: %d requests in %s at a limit of %g a second", i, n, span, c.limit)
		}
	}
}

// Guards against a limit that is enforced after the server has ended it, and against a change of a limit that has no
// effect.
func TestLimitChangesAndEnds(t *testing.T) {
	s := newSim(simSeed, 7, 30, 30)
	s.run(15*time.Second, nil)
	for _, limit := range []laceunit.Rate{1, 8, 0.5} {
		s.setLimit(limit)
		s.run(settleTime, nil)
		from := s.now
		s.run(20*time.Second, nil)
		if n := s.maxInWindow(from); n > maxRequests(limit) {
			t.Errorf("%d requests within %s at a limit of %g a second", n, window, limit)
		}
		if n := s.servedAfter(from); float64(n) < 0.5*20*float64(limit) {
			t.Errorf("%d requests in 20 s at a limit of %g a second", n, limit)
		}
	}
	s.setLimit(0)
	s.run(10*time.Second, nil)
	refused := s.refused
	s.run(5*time.Second, nil)
	if s.refused > refused || s.store.record != nil {
		t.Errorf("%d requests refused 10 s after the end of the limit, record %+v", s.refused-refused, s.store.record)
	}
}

// Guards against a server that receives no requests, or more than its limit, while the store is unreachable from all
// instances.
func TestStoreOutage(t *testing.T) {
	const limit = 6
	s := newSim(simSeed, 7, limit, 15)
	s.run(15*time.Second, nil)
	for _, n := range s.nodes {
		n.partitionedUntil = s.now.Add(40 * time.Second)
	}
	s.run(MaxStaleness+time.Second, nil)
	from := s.now
	s.run(30*time.Second, nil)
	if n := s.servedAfter(from); float64(n) < 0.3*30*limit {
		t.Errorf("%d requests in 30 s without the store at a limit of %d a second", n, limit)
	}
	if n := s.maxInWindow(from); n > maxRequests(limit) {
		t.Errorf("%d requests within %s without the store", n, window)
	}
}

// simulateTakeover simulates an instance that holds the whole limit and is partitioned, while another one receives its
// callers. It returns the largest number of requests within a window.
func simulateTakeover(seed uint64, limit laceunit.Rate, mutate func(*simNode)) int {
	s := newSim(seed, 2, limit, 0)
	holder, successor := s.nodes[0], s.nodes[1]
	s.mutate = mutate
	holder.rate = 4 * float64(limit)
	s.run(30*time.Second, nil)
	from := s.now
	holder.partitionedUntil, successor.rate = s.now.Add(30*time.Second), holder.rate
	s.run(40*time.Second, nil)
	return s.maxInWindow(from)
}

// Guards against checks that unsafe allocators pass, and against parts that two instances use at the same time.
func TestSimulationDetectsUnsafeAllocators(t *testing.T) {
	const limit = 20
	for name, mutate := range map[string]func(*simNode){
		"each instance uses the whole limit": func(n *simNode) {
			if l := n.allocator.limits[n.sim.server]; l != nil && l.record != nil {
				for i := range l.usableFrom {
					l.usableFrom[i] = n.sim.now.Add(-time.Hour)
				}
			}
		},
		"stale copies are used": func(n *simNode) { n.lastContact = n.sim.now },
	} {
		if n := simulateTakeover(simSeed, limit, mutate); n <= maxRequests(limit) {
			t.Errorf("%s: not detected, %d requests of %d", name, n, maxRequests(limit))
		} else {
			t.Logf("%s: %d requests of %d", name, n, maxRequests(limit))
		}
	}
	for seed := range uint64(10) {
		if n := simulateTakeover(simSeed+seed, limit, nil); n > maxRequests(limit) {
			t.Errorf("seed %d: %d requests of %d", seed, n, maxRequests(limit))
		}
	}
}

// Guards against a part that is used before its previous holder is certain to have stopped using it.
func TestTakeoverDelay(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self, other := laceunit.Holder{Instance: "i1"}, laceunit.Holder{Instance: "i2"}
	s := Server{ID: "s1"}
	a := NewAllocator(now.Add(-time.Hour), self, func(int) int { return 0 })
	r := Record{Limit: 1}.resize(1)
	for i := range r.Parts {
		r.Parts[i] = other
	}
	a.ApplyRecord(now, s, r, 5)
	in := PlanInput{
		Members: []laceunit.Holder{self},
		Live:    func(laceunit.Holder) bool { return false },
		Listed:  func(Server) bool { return true },
		Demand:  func(Server) lacebalancer.Demand { return lacebalancer.Demand{LastThrottled: now} },
	}
	a.Plan(now, in)
	w := a.Plan(now, in)
	if len(w) != 1 || w[0].Cause != CauseTake || w[0].Expect != 5 {
		t.Fatalf("planned %+v", w)
	}
	a.ApplyWrite(now, w[0], 6)
	for _, x := range []struct {
		after  time.Duration
		age    time.Duration
		usable bool
	}{
		{after: 0},
		{after: takeoverDelay - time.Millisecond},
		{after: takeoverDelay, usable: true},
		{after: takeoverDelay, age: MaxStaleness, usable: true},
	} {
		allowance, limited := a.Allowance(now.Add(x.after), s, x.age, 1)
		if !limited || (allowance.Rate > 0) != x.usable {
			t.Errorf("after %s: %+v", x.after, allowance)
		}
		if x.usable && !allowance.Until.Equal(now.Add(x.after+MaxStaleness-x.age)) {
			t.Errorf("with a copy of age %s, parts are usable until %s", x.age, allowance.Until)
		}
	}
}

// Guards against a record that stays unusable for good after another version has written it or it was damaged.
func TestDecodeRejectsInvalidRecords(t *testing.T) {
	for _, text := range []string{
		"", "{}", `{"limit":2,"parts":[{}]}`, `{"limit":-1,"parts":[{}]}`, `{"limit":1e999,"parts":[]}`,
	} {
		if r, err := Decode([]byte(text)); err == nil {
			t.Errorf("%q is decoded as %+v", text, r)
		}
	}
	r := Record{
		Limit: 2,
		Parts: []laceunit.Holder{{
			Instance:    "i1",
			Incarnation: 3,
		}, {}},
	}
	r = r.resize(2)
	text, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := Decode(text); err != nil || decoded.Parts[0] != r.Parts[0] || !decoded.Parts[1].IsZero() ||
		decoded.Limit != 2 {
		t.Errorf("%+v, %v", decoded, err)
	}
	for _, key := range []string{"p/s1", "p/s1/x", "q/s1/7", "p//7"} {
		if s, err := ParseKey("p/", laceplatform.Key(key)); err == nil {
			t.Errorf("%s is parsed as %+v", key, s)
		}
	}
	s := Server{
		ID:        "a/b",
		StartTime: -4,
	}
	if parsed, err := ParseKey("p/", Key("p/", s)); err != nil || parsed != s {
		t.Errorf("%+v, %v", parsed, err)
	}
}

// Guards against a panic on an absurd limit while the copy of the records is stale.
func TestAbsurdLimits(t *testing.T) {
	for _, limit := range []laceunit.Rate{0, 1e9, 1 << 62, math.MaxFloat64} {
		now := time.Unix(1000, 0)
		a := NewAllocator(now, laceunit.Holder{Instance: "i1"}, rand.IntN)
		server := Server{ID: "s1"}
		a.ObserveLimit(now, server, now, limit)
		allowance, ok := a.Allowance(now, server, 2*MaxStaleness, 1)
		if !ok || !(allowance.Rate > 0) || allowance.From.Before(now) || allowance.From.After(now.Add(time.Hour)) {
			t.Errorf("limit %g: %+v", limit, allowance)
		}
		w := a.Plan(now.Add(time.Second), PlanInput{
			Members: []laceunit.Holder{{Instance: "i1"}},
			Live:    func(laceunit.Holder) bool { return true },
			Listed:  func(Server) bool { return true },
			Demand:  func(Server) lacebalancer.Demand { return lacebalancer.Demand{} },
		})
		for _, x := range w {
			text, err := Encode(x.Record)
			if err != nil {
				t.Errorf("limit %g: %v", limit, err)
			}
			if _, err := Decode(text); err != nil {
				t.Errorf("limit %g: %v", limit, err)
			}
		}
	}
}
