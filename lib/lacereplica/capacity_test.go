package lacereplica

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

const (
	simRegions = 4
	simSeed    = 5100
	// callOverheadBytes is the assumed size of the HTTP headers and frames of one call and its reply.
	callOverheadBytes = 350
)

type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs replicas in simulated time: 2 ms to the platform, 1 ms within a region, 75 ms between regions.
type simulation struct {
	now        time.Duration
	queue      events
	nodes      []*laceconfig.Replica
	views      []laceconfig.View
	bytes      []int
	content    laceconfig.Content
	version    laceunit.Version
	acceptedAt map[laceunit.Version]time.Duration
	installs   map[laceunit.Version]int
	slowest    time.Duration
}

func simHolder(i int) laceunit.Holder {
	return laceunit.Holder{
		Instance:    laceunit.InstanceID(fmt.Sprintf("router-%03d", i)),
		Incarnation: laceunit.Incarnation(i + 1),
	}
}

func simRegion(i int) laceunit.RegionID {
	return laceunit.RegionID(fmt.Sprint("region-", i%simRegions))
}

func simAccount(name string) string {
	return fmt.Sprintf("name: %s\nkeys:\n  - name: main\n    hash: %064x\n  - name: next\n    hash: %064x\n"+
		"budgets: [%s-day, %s-night, %s-trial]\n", name, 2*len(name), 2*len(name)+1, name, name, name)
}

func newSimulation(nodes int) *simulation {
	s := &simulation{
		bytes:      make([]int, nodes),
		acceptedAt: map[laceunit.Version]time.Duration{},
		installs:   map[laceunit.Version]int{},
		content:    laceconfig.Content{},
	}
	var members []laceconfig.Member
	for i := range nodes {
		members = append(members, laceconfig.Member{
			Holder: simHolder(i), Region: simRegion(i), Watcher: i < WatchersPerRegion*simRegions,
		})
	}
	for i := range nodes {
		settings := laceconfig.ReplicaSettings{
			Self: simHolder(i), Consistency: laceunit.ConsistencyAvailable, MaxStaleness: 5 * time.Second,
		}
		s.nodes = append(s.nodes, laceconfig.NewReplica(settings, rand.New(rand.NewPCG(uint64(i), simSeed))))
		others := append(append([]laceconfig.Member{}, members[:i]...), members[i+1:]...)
		s.views = append(s.views, laceconfig.View{
			Agreed: true, Region: members[i].Region, Watcher: members[i].Watcher, Peers: others,
		})
	}
	return s
}

func (s *simulation) schedule(d time.Duration, run func()) {
	heap.Push(&s.queue, event{at: s.now + d, run: run})
}

func (s *simulation) delay(i, j int) time.Duration {
	if i%simRegions == j%simRegions {
		return time.Millisecond
	}
	return 75 * time.Millisecond
}

// countBytes counts a message at both ends.
func (s *simulation) countBytes(i, j, n int) {
	s.bytes[i] += n
	s.bytes[j] += n
}

func (s *simulation) index(h laceunit.Holder) int { return int(h.Incarnation) - 1 }

func (s *simulation) change(n int) {
	s.version++
	next := laceconfig.Content{}
	for k, v := range s.content {
		next[k] = v
	}
	accounts := map[string]string{}
	for k, v := range next[laceconfig.SectionAccounts] {
		accounts[k] = v
	}
	accounts[fmt.Sprintf("account-%02d", n%50)] = simAccount(fmt.Sprint("n", n))
	next[laceconfig.SectionAccounts] = accounts
	s.content = next
	s.acceptedAt[s.version] = s.now
}

func (s *simulation) runEffects(i int, effects []laceconfig.Effect) {
	sentAt, r := s.now, s.nodes[i]
	for _, e := range effects {
		switch e := e.(type) {
		case laceconfig.Read:
			s.schedule(2*time.Millisecond, func() {
				version, content := s.version, s.content
				if e.HeadOnly {
					content = nil
				}
				s.schedule(2*time.Millisecond, func() { s.runEffects(i, r.HandleRead(sentAt, version, content)) })
			})
		case laceconfig.Query:
			s.queryPeer(i, sentAt, e)
		case laceconfig.Push:
			for _, h := range e.To {
				j := s.index(h)
				s.countBytes(i, j, callOverheadBytes+proto.Size(lacewire.FromConfigMessage(e.Message)))
				s.schedule(s.delay(i, j), func() { s.runEffects(j, s.nodes[j].HandleNotification(e.Message)) })
			}
		case laceconfig.Install:
			s.recordInstall(e.Document.Version)
		case laceconfig.Reject:
			panic(e.Err)
		}
	}
}

func (s *simulation) queryPeer(i int, sentAt time.Duration, a laceconfig.Query) {
	to := a.To
	j, q := s.index(to), s.nodes[i].Status(s.now)
	if a.StatusOnly {
		q.Sender = laceunit.Holder{}
	}
	s.countBytes(i, j, callOverheadBytes+proto.Size(lacewire.FromConfigStatus(q)))
	s.schedule(s.delay(i, j), func() {
		m, more := s.nodes[j].HandleQuery(s.now, q)
		s.runEffects(j, more)
		s.countBytes(i, j, proto.Size(lacewire.FromConfigMessage(m)))
		s.schedule(s.delay(i, j), func() { s.runEffects(i, s.nodes[i].HandleReply(sentAt, to, m)) })
	})
}

// recordInstall records an installation and how long after acceptance it took. Replicas may skip versions.
func (s *simulation) recordInstall(version laceunit.Version) {
	if at, ok := s.acceptedAt[version]; ok {
		s.installs[version]++
		s.slowest = max(s.slowest, s.now-at)
	}
}

func (s *simulation) tick(i int) {
	s.runEffects(i, s.nodes[i].Tick(s.now, s.views[i]))
	s.schedule(laceconfig.TickInterval, func() { s.tick(i) })
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// BenchmarkPropagation measures the traffic of configuration changes and the time until each is in force on every node.
func BenchmarkPropagation(b *testing.B) {
	for _, nodes := range []int{34, 85, 170, 340} {
		for _, every := range []time.Duration{17 * time.Second, 1700 * time.Millisecond} {
			b.Run(fmt.Sprintf("nodes=%d/every=%s", nodes, every), func(b *testing.B) {
				for b.Loop() {
					measurePropagation(b, nodes, every)
				}
			})
		}
	}
}

func measurePropagation(b *testing.B, nodes int, every time.Duration) {
	const warm, period = 10 * time.Second, 60 * time.Second
	s := newSimulation(nodes)
	s.change(0)
	random := rand.New(rand.NewPCG(simSeed, uint64(nodes)))
	for i := range nodes {
		s.schedule(time.Duration(random.Int64N(int64(laceconfig.TickInterval))), func() { s.tick(i) })
	}
	s.runUntil(warm)
	s.bytes, s.slowest = make([]int, nodes), 0
	start := time.Now()
	changes := 0
	for at := warm; at < warm+period; at += every {
		changes++
		s.change(changes)
		s.runUntil(min(at+every, warm+period))
	}
	took := time.Since(start)
	s.runUntil(warm + period + 10*time.Second)
	for i, n := range s.nodes {
		if n.Version() != s.version {
			b.Fatalf("node %d is at version %d of %d", i, n.Version(), s.version)
		}
	}
	total, most := 0, 0
	for _, n := range s.bytes {
		total, most = total+n, max(most, n)
	}
	b.ReportMetric(s.slowest.Seconds(), "s/change")
	b.ReportMetric(float64(total)/float64(nodes)/70, "B/s/node")
	b.ReportMetric(float64(most)/70, "B/s/busiest")
	b.ReportMetric(took.Seconds()*1e6/float64(nodes)/period.Seconds(), "us/s/node")
}

// BenchmarkChange measures the time and memory that a change of one client account costs an instance.
func BenchmarkChange(b *testing.B) {
	for _, accounts := range []int{1000, 3400, 6800} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			texts := map[string]string{}
			for i := range accounts {
				id := fmt.Sprintf("account-%04d", i)
				texts[id] = simAccount(id)
			}
			r := laceconfig.NewReplica(laceconfig.ReplicaSettings{Self: simHolder(0), MaxStaleness: time.Hour},
				rand.New(rand.NewPCG(1, 1)))
			r.HandleRead(0, 1, laceconfig.Content{laceconfig.SectionAccounts: texts})
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				v := r.Version()
				item := laceconfig.Item{
					Section: laceconfig.SectionAccounts, Entry: "account-0001", Body: simAccount("x"), Version: v + 1,
				}
				r.HandleNotification(laceconfig.Message{
					Delta: &laceconfig.Delta{From: v, To: v + 1, Items: []laceconfig.Item{item}},
				})
				if r.Version() != v+1 {
					b.Fatal("the change was not applied")
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(accounts), "B/account")
		})
	}
}
