package laceshare

import (
	"testing"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	simSeed = 20261204
	// simSeeds is how many times each fleet is played in trouble.
	simSeeds = 2
)

// allowed is what a server that takes a rate may get within a window.
func allowed(limit laceunit.Rate) int { return int(1.5*window.Seconds()*float64(limit)) + 5 }

// simPlay is a fleet and the limit of its server.
type simPlay struct {
	nodes int
	limit laceunit.Rate
}

// demand is how many requests a second each instance gets, several times its part.
func (p simPlay) demand() float64 { return 2 + 4*float64(p.limit)/float64(p.nodes) }

// plays are fleets and limits from one instance to many, with parts fewer and more than instances.
func plays() []simPlay {
	return []simPlay{
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

// Guards against instances that together send more than the limit while they are cut off from the store, hear late, freeze,
// restart, and writes are lost or come late.
func TestNoMoreThanTheLimitInTrouble(t *testing.T) {
	for i, p := range plays() {
		for seed := range uint64(simSeeds) {
			s := newSim(simSeed+seed, p.nodes, p.limit, p.demand())
			from := s.now.Add(stable)
			s.run(60*time.Second, s.disturb)
			if n := s.most(from); n > allowed(p.limit) {
				t.Errorf("play %d, seed %d: %d instances, %d requests within %s at a limit of %g a second", i, seed, p.nodes, n, window, p.limit)
			}
		}
	}
}

// Guards against a limit that is kept by not using it, and against parts that stay with instances that don't use them.
func TestTheLimitIsUsed(t *testing.T) {
	for i, p := range plays() {
		s := newSim(simSeed, p.nodes, p.limit, p.demand())
		s.run(25*time.Second, nil)
		from := s.now
		const span = 20 * time.Second
		s.run(span, nil)
		least := 0.75*span.Seconds()*float64(p.limit) - 1
		if n := s.served(from); float64(n) < least {
			t.Errorf("play %d: %d requests in %s at a limit of %g a second", i, n, span, p.limit)
		}
		if n, most := s.most(from), int(window.Seconds()*float64(p.limit))+parts(p.limit)+1; n > most {
			t.Errorf("play %d: %d requests within %s without trouble, not %d", i, n, window, most)
		}
		// The callers move to one instance.
		for j, n := range s.nodes {
			if n.rate = 0; j == len(s.nodes)-1 {
				n.rate = p.demand() * float64(p.nodes)
			}
		}
		s.run(90*time.Second, nil)
		from = s.now
		s.run(span, nil)
		if n := s.served(from); float64(n) < least {
			t.Errorf("play %d, callers at one instance: %d requests in %s at a limit of %g a second", i, n, span, p.limit)
		}
	}
}

// Guards against a limit that goes on when the server names none any more, and against one that was raised or lowered and
// counts as before.
func TestALimitChangesAndEnds(t *testing.T) {
	s := newSim(simSeed, 7, 30, 30)
	s.run(15*time.Second, nil)
	for _, limit := range []laceunit.Rate{1, 8, 0.5} {
		s.set(limit)
		s.run(stable, nil)
		from := s.now
		s.run(20*time.Second, nil)
		if n := s.most(from); n > allowed(limit) {
			t.Errorf("%d requests within %s at a limit of %g a second", n, window, limit)
		}
		if n := s.served(from); float64(n) < 0.5*20*float64(limit) {
			t.Errorf("%d requests in 20 s at a limit of %g a second", n, limit)
		}
	}
	s.set(0)
	s.run(10*time.Second, nil)
	refused := s.refused
	s.run(5*time.Second, nil)
	if s.refused > refused || s.store.record != nil {
		t.Errorf("%d requests refused 10 s after the end of the limit, record %+v", s.refused-refused, s.store.record)
	}
}

// Guards against a server that gets nothing while the store is away from all instances, and against more than the limit then.
func TestWithoutTheStore(t *testing.T) {
	const limit = 6
	s := newSim(simSeed, 7, limit, 15)
	s.run(15*time.Second, nil)
	for _, n := range s.nodes {
		n.cut = s.now.Add(40 * time.Second)
	}
	s.run(MaxStaleness+time.Second, nil)
	from := s.now
	s.run(30*time.Second, nil)
	if n := s.served(from); float64(n) < 0.3*30*limit {
		t.Errorf("%d requests in 30 s without the store at a limit of %d a second", n, limit)
	}
	if n := s.most(from); n > allowed(limit) {
		t.Errorf("%d requests within %s without the store", n, window)
	}
}

// takeover plays an instance that holds the whole limit and is cut off, while another one gets its callers. It returns the
// largest number of requests within a window.
func takeover(seed uint64, limit laceunit.Rate, damage func(*simNode)) int {
	s := newSim(seed, 2, limit, 0)
	one, two := s.nodes[0], s.nodes[1]
	s.damage = damage
	one.rate = 4 * float64(limit)
	s.run(30*time.Second, nil)
	from := s.now
	one.cut, two.rate = s.now.Add(30*time.Second), one.rate
	s.run(40*time.Second, nil)
	return s.most(from)
}

// Guards against checks that naive versions pass, and against parts that two instances use at one time.
func TestNaiveDivisionsAreNoticed(t *testing.T) {
	const limit = 20
	for name, damage := range map[string]func(*simNode){
		"each instance keeps the whole limit": func(n *simNode) {
			if m := n.book.marks[n.sim.server]; m != nil && m.record != nil {
				for i := range m.usable {
					m.usable[i] = n.sim.now.Add(-time.Hour)
				}
			}
		},
		"old copies count": func(n *simNode) { n.reached = n.sim.now },
	} {
		if n := takeover(simSeed, limit, damage); n <= allowed(limit) {
			t.Errorf("%s: not noticed, %d requests of %d", name, n, allowed(limit))
		} else {
			t.Logf("%s: %d requests of %d", name, n, allowed(limit))
		}
	}
	for seed := range uint64(10) {
		if n := takeover(simSeed+seed, limit, nil); n > allowed(limit) {
			t.Errorf("seed %d: %d requests of %d", seed, n, allowed(limit))
		}
	}
}

// Guards against a part that is used before its former holder is known to have heard of the change.
func TestATakenPartRests(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self, other := laceunit.Holder{Instance: "i1"}, laceunit.Holder{Instance: "i2"}
	s := Server{ID: "s1"}
	b := NewAllocator(now.Add(-time.Hour), self, func(int) int { return 0 })
	r := Record{Limit: 1}.resize(1)
	for i := range r.Parts {
		r.Parts[i] = other
	}
	b.ApplyRecord(now, s, r, 5)
	v := PlanInput{
		Members: []laceunit.Holder{self},
		Live:    func(laceunit.Holder) bool { return false },
		Listed:  func(Server) bool { return true },
		Demand:  func(Server) lacebalancer.Demand { return lacebalancer.Demand{LastThrottled: now} },
	}
	b.Plan(now, v)
	w := b.Plan(now, v)
	if len(w) != 1 || w[0].Cause != CauseTake || w[0].Expect != 5 {
		t.Fatalf("planned %+v", w)
	}
	b.ApplyWrite(now, w[0], 6)
	for _, x := range []struct {
		after time.Duration
		age   time.Duration
		rate  bool
	}{{after: 0}, {after: takeTime - time.Millisecond}, {after: takeTime, rate: true}, {after: takeTime, age: MaxStaleness, rate: true}} {
		a, limited := b.Allowance(now.Add(x.after), s, x.age, 1)
		if !limited || (a.Rate > 0) != x.rate {
			t.Errorf("after %s: %+v", x.after, a)
		}
		if x.rate && !a.Until.Equal(now.Add(x.after+MaxStaleness-x.age)) {
			t.Errorf("a copy of %s lets parts be used until %s", x.age, a.Until)
		}
	}
}

// Guards against a record that another version or a damaged one makes unusable for good.
func TestRecordsThatCannotBeRead(t *testing.T) {
	for _, text := range []string{"", "{}", `{"limit":2,"parts":[{}]}`, `{"limit":-1,"parts":[{}]}`, `{"limit":1e999,"parts":[]}`} {
		if r, err := Decode([]byte(text)); err == nil {
			t.Errorf("%q is read as %+v", text, r)
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
	if back, err := Decode(text); err != nil || back.Parts[0] != r.Parts[0] || !back.Parts[1].IsZero() || back.Limit != 2 {
		t.Errorf("%+v, %v", back, err)
	}
	for _, key := range []string{"p/s1", "p/s1/x", "q/s1/7", "p//7"} {
		if s, err := ParseKey("p/", laceplatform.Key(key)); err == nil {
			t.Errorf("%s is read as %+v", key, s)
		}
	}
	s := Server{
		ID:   "a/b",
		Born: -4,
	}
	if back, err := ParseKey("p/", Key("p/", s)); err != nil || back != s {
		t.Errorf("%+v, %v", back, err)
	}
}
