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
	nodes      = 4
	testFresh  = 5 * time.Second
	gopterSeed = 7310
)

// packet is a message on its way.
type packet struct {
	deliver func()
	drop    func()
}

// world is a platform, a network and a fleet under a schedule.
type world struct {
	now      time.Duration
	history  []Content
	accepted []time.Duration
	fleet    []*Replica
	reach    []bool
	ticked   []time.Duration
	versions []laceunit.Version
	network  []packet
}

func holder(i int) laceunit.Holder {
	return laceunit.Holder{Instance: laceunit.InstanceID(fmt.Sprint("i", i)), Incarnation: 1}
}

func newWorld(lean laceunit.ConsistencyMode) *world {
	w := &world{
		history:  []Content{{}},
		accepted: []time.Duration{0},
		versions: make([]laceunit.Version, nodes),
		ticked:   make([]time.Duration, nodes),
	}
	for i := range nodes {
		rule := ReplicaSettings{Self: holder(i), Consistency: lean, MaxStaleness: testFresh}
		w.fleet = append(w.fleet, NewReplica(rule, rand.New(rand.NewPCG(uint64(i), gopterSeed))))
		w.reach = append(w.reach, true)
	}
	return w
}

func (w *world) view(i int) View {
	v := View{Agreed: true, Region: "r", Watcher: i < 2}
	for j := range nodes {
		if j != i {
			v.Peers = append(v.Peers, Member{Holder: holder(j), Region: "r", Watcher: j < 2})
		}
	}
	return v
}

func (w *world) index(h laceunit.Holder) int {
	for i := range nodes {
		if holder(i) == h {
			return i
		}
	}
	return -1
}

func (w *world) send(p packet) { w.network = append(w.network, p) }

// run carries out the effects of a node.
func (w *world) run(i int, effects []Effect) {
	asked, r := w.now, w.fleet[i]
	for _, e := range effects {
		switch e := e.(type) {
		case Read:
			w.send(packet{drop: r.HandleReadFailure, deliver: func() {
				if !w.reach[i] {
					r.HandleReadFailure()
					return
				}
				v := laceunit.Version(len(w.history) - 1)
				content := w.history[v]
				if e.HeadOnly {
					content = nil
				}
				w.send(packet{drop: r.HandleReadFailure, deliver: func() { w.run(i, r.HandleRead(asked, v, content)) }})
			}})
		case Query:
			j, q := w.index(e.To), r.Status(w.now)
			if e.StatusOnly {
				q.Sender = laceunit.Holder{}
			}
			fail := func() { r.HandleQueryFailure(e.To) }
			w.send(packet{drop: fail, deliver: func() {
				m, more := w.fleet[j].HandleQuery(w.now, q)
				w.run(j, more)
				w.send(packet{drop: fail, deliver: func() { w.run(i, r.HandleReply(asked, e.To, m)) }})
			}})
		case Push:
			for _, h := range e.To {
				j := w.index(h)
				w.send(packet{drop: func() {}, deliver: func() { w.run(j, w.fleet[j].HandleNotification(e.Message)) }})
			}
		case Reject:
			panic(e.Err)
		}
	}
}

// change accepts an edit through a node that reaches the platform; few values, so that entries change back.
func (w *world) change(i, n int) {
	if !w.reach[i] {
		return
	}
	next := maps.Clone(w.history[len(w.history)-1])
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
	w.history, w.accepted = append(w.history, next), append(w.accepted, w.now)
	w.run(i, w.fleet[i].HandleRead(w.now, laceunit.Version(len(w.history)-1), next))
}

// step carries out one step of a schedule.
func (w *world) step(n int) {
	kind, n := n%16, n/16
	switch {
	case kind < 4:
		w.now += time.Duration(n%1200) * time.Millisecond
		for i := range nodes {
			if w.now-w.ticked[i] >= TickInterval {
				w.ticked[i] = w.now
				w.run(i, w.fleet[i].Tick(w.now, w.view(i)))
			}
		}
	case kind == 4 || kind == 5:
		w.change(n%nodes, n/nodes)
	case kind == 6 && n%3 == 0:
		for i := range w.reach {
			w.reach[i] = n%2 == 0
		}
	case kind == 6:
		w.reach[n%nodes] = !w.reach[n%nodes]
	default:
		for range 1 + n%8 {
			w.arrive(kind, n)
		}
	}
}

// arrive delivers, loses or repeats one message of the network, in any order.
func (w *world) arrive(kind, n int) {
	if len(w.network) == 0 {
		return
	}
	k := n % len(w.network)
	p := w.network[k]
	if kind != 7 { // kind 7 delivers and leaves a duplicate
		w.network = append(w.network[:k:k], w.network[k+1:]...)
	}
	if kind == 8 {
		p.drop()
		return
	}
	p.deliver()
}

// check returns what is wrong with the world, or nothing.
func (w *world) check() string {
	for i, r := range w.fleet {
		v := r.Version()
		if v < w.versions[i] {
			return fmt.Sprintf("node %d went from version %d down to %d", i, w.versions[i], v)
		}
		w.versions[i] = v
		if !maps.Equal(r.entries.content[SectionModels], w.history[v][SectionModels]) {
			return fmt.Sprintf("node %d holds %v as version %d", i, r.entries.content[SectionModels], v)
		}
		if len(r.Document().Models) != len(w.history[v][SectionModels]) {
			return fmt.Sprintf("node %d has document %v at version %d", i, r.Document().Models, v)
		}
		if b := r.Freshness(w.now); !b.AcceptsWork() || b == FreshnessPartial {
			continue
		}
		for n := int(v) + 1; n < len(w.accepted); n++ {
			if w.accepted[n] < w.now-testFresh {
				return fmt.Sprintf("node %d takes work as %s under version %d, %s after version %d",
					i, r.Freshness(w.now), v, w.now-w.accepted[n], n)
			}
		}
	}
	return ""
}

// settle leaves only node 0 in reach of the platform and lets the network work; everyone must catch up.
func (w *world) settle() string {
	w.reach = []bool{true, false, false, false}
	for range 12 {
		w.step(16 * 1100)
		for range 4 {
			arrived := w.network
			w.network = nil
			for _, p := range arrived {
				p.deliver()
			}
		}
	}
	for i, r := range w.fleet {
		if int(r.Version()) != len(w.history)-1 || r.Freshness(w.now) != FreshnessConfirmed {
			return fmt.Sprintf("node %d stays at version %d of %d as %s", i, r.Version(), len(w.history)-1, r.Freshness(w.now))
		}
	}
	return w.check()
}

// Guards against work that is taken although a member still has the platform, and against trust in a head that went back.
func TestFresh(t *testing.T) {
	for name, c := range map[string]struct {
		lost, contact, agreed bool
		version               laceunit.Version
		head                  laceunit.Version
		want                  Freshness
	}{
		"all lost":          {lost: true, agreed: true, version: 2, want: FreshnessUnanimous},
		"own contact":       {agreed: true, version: 2, want: FreshnessStale},
		"other has contact": {lost: true, contact: true, agreed: true, version: 2, want: FreshnessStale},
		"other is ahead":    {lost: true, agreed: true, version: 3, want: FreshnessStale},
		"no membership":     {lost: true, version: 2, want: FreshnessStale},
		"head went back":    {agreed: true, version: 2, head: 1, want: FreshnessStale},
		"head confirms":     {agreed: true, version: 2, head: 2, want: FreshnessConfirmed},
	} {
		r := NewReplica(ReplicaSettings{Self: holder(0), Consistency: laceunit.ConsistencyStrict, MaxStaleness: testFresh}, rand.New(rand.NewPCG(1, 1)))
		view := View{Agreed: c.agreed, Peers: []Member{{Holder: holder(1)}}}
		r.Tick(0, view)
		r.HandleRead(0, 2, Content{})
		r.Tick(10*time.Second, view)
		if c.lost {
			r.HandleReadFailure()
		}
		if c.head > 0 {
			r.HandleRead(9*time.Second, c.head, Content{})
		}
		r.HandleReply(9*time.Second, holder(1), Message{Status: Status{Sender: holder(1), Version: c.version, PlatformReachable: c.contact}})
		if got := r.Freshness(10 * time.Second); got != c.want {
			t.Errorf("%s: got %s, want %s", name, got, c.want)
		}
	}
}

// Guards against a version that goes down, a content that belongs to another version, and new work under a version
// that was replaced more than config.fresh ago, for any order, loss and repetition of messages.
func TestReplicaUnderAnySchedule(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(gopterSeed)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	bases := map[Freshness]int{}
	for _, lean := range []laceunit.ConsistencyMode{laceunit.ConsistencyStrict, laceunit.ConsistencyAvailable} {
		properties.Property(string(lean), prop.ForAll(func(steps []int) string {
			w := newWorld(lean)
			w.change(0, 4)
			for i, n := range steps {
				w.step(n)
				if fault := w.check(); fault != "" {
					return fmt.Sprintf("step %d: %s", i, fault)
				}
				bases[w.fleet[3].Freshness(w.now)]++
			}
			return w.settle()
		}, gen.SliceOfN(400, gen.IntRange(0, 1<<20)).WithShrinker(gopter.NoShrinker)))
	}
	properties.TestingRun(t, gopter.ConsoleReporter(false))
	t.Logf("seed %d, decisions seen: %v", gopterSeed, bases)
	for _, b := range []Freshness{FreshnessConfirmed, FreshnessUnanimous, FreshnessPartial, FreshnessEmpty, FreshnessStale} {
		if bases[b] == 0 {
			t.Errorf("no schedule led to %q", b)
		}
	}
}
