package laceconfig

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lacewingcove/lib/laceunit"
)

const (
	nodeCount        = 4
	testMaxStaleness = 5 * time.Second
	gopterSeed       = 7310
)

// delivery is a message in transit; succeed delivers it, fail loses it.
type delivery struct {
	succeed func()
	fail    func()
}

// simulation is a platform, a network and a set of replicas driven by a schedule.
type simulation struct {
	now               time.Duration
	history           []Content
	acceptedAt        []time.Duration
	replicas          []*Replica
	platformReachable []bool
	lastTick          []time.Duration
	versions          []laceunit.Version
	network           []delivery
}

func holder(i int) laceunit.Holder {
	return laceunit.Holder{Instance: laceunit.InstanceID(fmt.Sprint("i", i)), Incarnation: 1}
}

func newSimulation(mode laceunit.ConsistencyMode) *simulation {
	s := &simulation{
		history:    []Content{{}},
		acceptedAt: []time.Duration{0},
		versions:   make([]laceunit.Version, nodeCount),
		lastTick:   make([]time.Duration, nodeCount),
	}
	for i := range nodeCount {
		settings := ReplicaSettings{Self: holder(i), Consistency: mode, MaxStaleness: testMaxStaleness}
		s.replicas = append(s.replicas, NewReplica(settings, rand.New(rand.NewPCG(uint64(i), gopterSeed))))
		s.platformReachable = append(s.platformReachable, true)
	}
	return s
}

func (s *simulation) view(i int) View {
	v := View{Agreed: true, Region: "r", Watcher: i < 2}
	for j := range nodeCount {
		if j != i {
			v.Peers = append(v.Peers, Member{Holder: holder(j), Region: "r", Watcher: j < 2})
		}
	}
	return v
}

func (s *simulation) index(h laceunit.Holder) int {
	for i := range nodeCount {
		if holder(i) == h {
			return i
		}
	}
	return -1
}

func (s *simulation) send(p delivery) { s.network = append(s.network, p) }

// runEffects performs the effects of a node.
func (s *simulation) runEffects(i int, effects []Effect) {
	sentAt, r := s.now, s.replicas[i]
	for _, e := range effects {
		switch e := e.(type) {
		case Read:
			s.send(delivery{fail: r.HandleReadFailure, succeed: func() {
				if !s.platformReachable[i] {
					r.HandleReadFailure()
					return
				}
				v := laceunit.Version(len(s.history) - 1)
				content := s.history[v]
				if e.HeadOnly {
					content = nil
				}
				s.send(delivery{
					fail:    r.HandleReadFailure,
					succeed: func() { s.runEffects(i, r.HandleRead(sentAt, v, content)) },
				})
			}})
		case Query:
			j, q := s.index(e.To), r.Status(s.now)
			if e.StatusOnly {
				q.Sender = laceunit.Holder{}
			}
			fail := func() { r.HandleQueryFailure(e.To) }
			s.send(delivery{fail: fail, succeed: func() {
				m, more := s.replicas[j].HandleQuery(s.now, q)
				s.runEffects(j, more)
				s.send(delivery{fail: fail, succeed: func() { s.runEffects(i, r.HandleReply(sentAt, e.To, m)) }})
			}})
		case Push:
			for _, h := range e.To {
				j := s.index(h)
				s.send(delivery{
					fail:    func() {},
					succeed: func() { s.runEffects(j, s.replicas[j].HandleNotification(e.Message)) },
				})
			}
		case Reject:
			panic(e.Err)
		}
	}
}

// change accepts an edit through a node that can reach the platform. The few possible values make entries change back.
func (s *simulation) change(i, n int) {
	if !s.platformReachable[i] {
		return
	}
	next := maps.Clone(s.history[len(s.history)-1])
	models := maps.Clone(next[SectionModels])
	if models == nil {
		models = map[string]string{}
	}
	id := fmt.Sprint("m", n%3)
	if v := n / 3 % 3; v == 0 {
		delete(models, id)
	} else {
		models[id] = fmt.Sprintf("context: %d\noutput: 1\npriority: 0\n", v)
	}
	next[SectionModels] = models
	s.history, s.acceptedAt = append(s.history, next), append(s.acceptedAt, s.now)
	s.runEffects(i, s.replicas[i].HandleRead(s.now, laceunit.Version(len(s.history)-1), next))
}

// step executes one step of a schedule.
func (s *simulation) step(n int) {
	kind, n := n%16, n/16
	switch {
	case kind < 4:
		s.now += time.Duration(n%1200) * time.Millisecond
		for i := range nodeCount {
			if s.now-s.lastTick[i] >= TickInterval {
				s.lastTick[i] = s.now
				s.runEffects(i, s.replicas[i].Tick(s.now, s.view(i)))
			}
		}
	case kind == 4 || kind == 5:
		s.change(n%nodeCount, n/nodeCount)
	case kind == 6 && n%3 == 0:
		for i := range s.platformReachable {
			s.platformReachable[i] = n%2 == 0
		}
	case kind == 6:
		s.platformReachable[n%nodeCount] = !s.platformReachable[n%nodeCount]
	default:
		for range 1 + n%8 {
			s.deliverOne(kind, n)
		}
	}
}

// deliverOne delivers, loses or duplicates one message of the network, in any order.
func (s *simulation) deliverOne(kind, n int) {
	if len(s.network) == 0 {
		return
	}
	k := n % len(s.network)
	p := s.network[k]
	if kind != 7 { // kind 7 delivers and leaves a duplicate
		s.network = append(s.network[:k:k], s.network[k+1:]...)
	}
	if kind == 8 {
		p.fail()
		return
	}
	p.succeed()
}

// violation describes the first violated invariant, or returns an empty string.
func (s *simulation) violation() string {
	for i, r := range s.replicas {
		v := r.Version()
		if v < s.versions[i] {
			return fmt.Sprintf("node %d went back from version %d to %d", i, s.versions[i], v)
		}
		s.versions[i] = v
		if !maps.Equal(r.entries.content[SectionModels], s.history[v][SectionModels]) {
			return fmt.Sprintf("node %d holds %v as version %d", i, r.entries.content[SectionModels], v)
		}
		if len(r.Document().Models) != len(s.history[v][SectionModels]) {
			return fmt.Sprintf("node %d has document %v at version %d", i, r.Document().Models, v)
		}
		if b := r.Freshness(s.now); !b.AcceptsWork() || b == FreshnessPartial {
			continue
		}
		for n := int(v) + 1; n < len(s.acceptedAt); n++ {
			if s.acceptedAt[n] < s.now-testMaxStaleness {
				return fmt.Sprintf("node %d accepts work as %s under version %d, %s after version %d",
					i, r.Freshness(s.now), v, s.now-s.acceptedAt[n], n)
			}
		}
	}
	return ""
}

// converge makes the platform reachable for node 0 only and delivers all messages; every node must catch up.
func (s *simulation) converge() string {
	s.platformReachable = []bool{true, false, false, false}
	for range 12 {
		s.step(16 * 1100)
		for range 4 {
			inFlight := s.network
			s.network = nil
			for _, p := range inFlight {
				p.succeed()
			}
		}
	}
	for i, r := range s.replicas {
		if int(r.Version()) != len(s.history)-1 || r.Freshness(s.now) != FreshnessConfirmed {
			return fmt.Sprintf("node %d is still at version %d of %d as %s",
				i, r.Version(), len(s.history)-1, r.Freshness(s.now))
		}
	}
	return s.violation()
}

// Guards against accepting work although a member can still reach the platform, and against a confirmation by an older
// head.
func TestFreshness(t *testing.T) {
	for name, c := range map[string]struct {
		unreachable, peerReachable, agreed bool
		version                            laceunit.Version
		head                               laceunit.Version
		want                               Freshness
	}{
		"all unreachable": {unreachable: true, agreed: true, version: 2, want: FreshnessUnanimous},
		"self reachable":  {agreed: true, version: 2, want: FreshnessStale},
		"peer reachable":  {unreachable: true, peerReachable: true, agreed: true, version: 2, want: FreshnessStale},
		"peer is ahead":   {unreachable: true, agreed: true, version: 3, want: FreshnessStale},
		"no membership":   {unreachable: true, version: 2, want: FreshnessStale},
		"older head":      {agreed: true, version: 2, head: 1, want: FreshnessStale},
		"current head":    {agreed: true, version: 2, head: 2, want: FreshnessConfirmed},
	} {
		r := NewReplica(ReplicaSettings{
			Self: holder(0), Consistency: laceunit.ConsistencyStrict, MaxStaleness: testMaxStaleness,
		}, rand.New(rand.NewPCG(1, 1)))
		view := View{Agreed: c.agreed, Peers: []Member{{Holder: holder(1)}}}
		r.Tick(0, view)
		r.HandleRead(0, 2, Content{})
		r.Tick(10*time.Second, view)
		if c.unreachable {
			r.HandleReadFailure()
		}
		if c.head > 0 {
			r.HandleRead(9*time.Second, c.head, Content{})
		}
		r.HandleReply(9*time.Second, holder(1), Message{
			Status: Status{Sender: holder(1), Version: c.version, PlatformReachable: c.peerReachable},
		})
		if got := r.Freshness(10 * time.Second); got != c.want {
			t.Errorf("%s: got %s, want %s", name, got, c.want)
		}
	}
}

// Guards against a version that decreases, content that belongs to another version, and new work under a version
// that was replaced more than config.fresh ago, for any order, loss and duplication of messages.
func TestReplicaInvariantsUnderRandomSchedules(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(gopterSeed)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	decisions := map[Freshness]int{}
	for _, mode := range []laceunit.ConsistencyMode{laceunit.ConsistencyStrict, laceunit.ConsistencyAvailable} {
		properties.Property(string(mode), prop.ForAll(func(steps []int) string {
			s := newSimulation(mode)
			s.change(0, 4)
			for i, n := range steps {
				s.step(n)
				if violation := s.violation(); violation != "" {
					return fmt.Sprintf("step %d: %s", i, violation)
				}
				decisions[s.replicas[3].Freshness(s.now)]++
			}
			return s.converge()
		}, gen.SliceOfN(400, gen.IntRange(0, 1<<20)).WithShrinker(gopter.NoShrinker)))
	}
	properties.TestingRun(t, gopter.ConsoleReporter(false))
	t.Logf("seed %d, decisions seen: %v", gopterSeed, decisions)
	for _, b := range []Freshness{
		FreshnessConfirmed, FreshnessUnanimous, FreshnessPartial, FreshnessEmpty, FreshnessStale,
	} {
		if decisions[b] == 0 {
			t.Errorf("no schedule led to %q", b)
		}
	}
}
