package lacemirror

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	// simulationStep is the resolution of the simulated time.
	simulationStep = 50 * time.Millisecond
	// simulationTime is how long a simulated fleet runs.
	simulationTime = 40 * time.Second
	// maxPropagationTime is the maximum time until a change is in force at an instance that reaches the store.
	maxPropagationTime = 3 * time.Second
	simulatedWatchers  = 4
	simulatedFleet     = 16
	// simulatedPeers is how many instances the others take for watchers: two of them are none and relay the updates
	// of others.
	simulatedPeers = simulatedWatchers + 2
)

// peerSelector decides where an instance gets its updates from.
type peerSelector interface {
	SelectPeers(v View, random func(n int) int) []laceunit.Address
	RecordAnswer(peer laceunit.Address, syncedAt laceunit.Uptime)
	Decide(v View, random func(n int) int) Decision
}

// naiveSelector accepts any response of a peer as contact, however old its updates are.
type naiveSelector struct {
	SourceSelector

	answered laceunit.Uptime
	now      laceunit.Uptime
}

// SelectPeers implements peerSelector.
func (a *naiveSelector) SelectPeers(v View, random func(n int) int) []laceunit.Address {
	a.now = v.Now
	return []laceunit.Address{v.Peers[random(len(v.Peers))]}
}

// RecordAnswer implements peerSelector.
func (a *naiveSelector) RecordAnswer(laceunit.Address, laceunit.Uptime) { a.answered = a.now }

// Decide implements peerSelector.
func (a *naiveSelector) Decide(v View, _ func(n int) int) Decision {
	return Decision{ViaPeers: v.Now.Sub(a.answered) <= 1500*time.Millisecond}
}

// simulatedInstance is an instance of the simulated fleet. Its copy is represented by the number of changes that it
// has and the time up to which it is known to be current.
type simulatedInstance struct {
	changes      int
	syncedAt     laceunit.Uptime
	contact      laceplatform.Connectivity
	selector     peerSelector
	decision     Decision
	partitioned  [2]laceunit.Uptime
	frozen       [2]laceunit.Uptime
	healthySince laceunit.Uptime
	calls        int
	nextRound    laceunit.Uptime
	// nextRenewal is when the lease is renewed next; renewals are not counted in calls.
	nextRenewal laceunit.Uptime
}

type simulation struct {
	random    *rand.Rand
	now       laceunit.Uptime
	changed   []laceunit.Uptime
	instances []*simulatedInstance
	outage    [2]laceunit.Uptime
}

func within(interval [2]laceunit.Uptime, now laceunit.Uptime) bool {
	return now >= interval[0] && now < interval[1]
}

func newSimulation(seed int64, newSelector func() peerSelector, partitions bool) *simulation {
	m := &simulation{random: rand.New(rand.NewPCG(uint64(seed), 1))}
	m.outage = m.span(partitions)
	sharedPartition := m.span(partitions)
	for i := range simulatedFleet {
		n := &simulatedInstance{
			selector:    newSelector(),
			partitioned: m.span(partitions),
			frozen:      m.span(partitions),
			nextRound:   laceunit.Uptime(m.random.Int64N(int64(PollInterval))),
		}
		if i < simulatedWatchers && sharedPartition != [2]laceunit.Uptime{} {
			// The links of these instances fail together.
			n.partitioned = [2]laceunit.Uptime{
				sharedPartition[0].Add(time.Duration(i) * simulationStep),
				sharedPartition[1],
			}
		}
		m.instances = append(m.instances, n)
	}
	return m
}

// span returns a random interval of the run, or an empty one.
func (m *simulation) span(partitions bool) [2]laceunit.Uptime {
	if !partitions || m.random.IntN(2) == 0 {
		return [2]laceunit.Uptime{}
	}
	start := laceunit.Uptime(m.random.Int64N(int64(simulationTime * 3 / 4)))
	return [2]laceunit.Uptime{start, start.Add(time.Duration(m.random.Int64N(int64(10 * time.Second))))}
}

func (m *simulation) reachesStore(n *simulatedInstance) bool {
	return !within(m.outage, m.now) && !within(n.partitioned, m.now)
}

// renew simulates the renewals of a lease, which are more frequent while they fail.
func (m *simulation) renew(n *simulatedInstance) {
	if m.now < n.nextRenewal {
		return
	}
	n.calls--
	n.nextRenewal = m.now.Add(600 * time.Millisecond)
	if m.call(n) {
		n.nextRenewal = m.now.Add(2 * time.Second)
	}
}

// call simulates one call to the store and reports whether it succeeded.
func (m *simulation) call(n *simulatedInstance) bool {
	n.calls++
	if !m.reachesStore(n) {
		n.contact.Failing = true
		return false
	}
	if n.contact.Failing || n.contact.ReachableSince == 0 {
		n.contact.ReachableSince = m.now
	}
	n.contact.Failing, n.contact.LastReachable = false, m.now
	return true
}

func (m *simulation) read(n *simulatedInstance) {
	if m.call(n) {
		n.changes, n.syncedAt = len(m.changed), m.now
	}
}

func (m *simulation) view(n *simulatedInstance) View {
	v := View{
		Now:          m.now,
		SyncedAt:     n.syncedAt,
		FleetSize:    simulatedFleet,
		NearPeers:    1,
		StoreContact: n.contact,
	}
	for i := range simulatedPeers {
		v.Peers = append(v.Peers, laceunit.Address(fmt.Sprint(i)))
	}
	return v
}

// round simulates a polling round of an instance that does not watch the store.
func (m *simulation) round(n *simulatedInstance) {
	for _, p := range n.selector.SelectPeers(m.view(n), m.random.IntN) {
		var i int
		_, _ = fmt.Sscan(string(p), &i)
		if x := m.instances[i]; !within(x.frozen, m.now) {
			n.changes, n.syncedAt = max(n.changes, x.changes), max(n.syncedAt, x.syncedAt)
			n.selector.RecordAnswer(p, x.syncedAt)
		}
	}
	n.decision = n.selector.Decide(m.view(n), m.random.IntN)
	if n.decision.ProbeStore {
		m.call(n)
		n.decision = n.selector.Decide(m.view(n), m.random.IntN)
	}
}

// step advances the simulation and returns a description of the first fault, if any.
func (m *simulation) step() string {
	m.now = m.now.Add(simulationStep)
	if m.random.IntN(10) == 0 {
		m.changed = append(m.changed, m.now)
	}
	for i, n := range m.instances {
		if !m.reachesStore(n) || within(n.frozen, m.now) {
			n.healthySince = m.now
		}
		if within(n.frozen, m.now) {
			continue
		}
		if i < simulatedWatchers || !n.decision.ViaPeers {
			m.read(n)
		}
		m.renew(n)
		if i >= simulatedWatchers && m.now >= n.nextRound {
			m.round(n)
			n.nextRound = m.now.Add(PollInterval)
		}
		if fault := m.check(n); fault != "" {
			return fmt.Sprintf("instance %d at %s: %s", i, time.Duration(m.now), fault)
		}
	}
	return ""
}

func (m *simulation) check(n *simulatedInstance) string {
	for i, at := range m.changed[n.changes:] {
		if at < n.syncedAt {
			return fmt.Sprintf("misses change %d made at %s but counts as current at %s",
				i, time.Duration(at), time.Duration(n.syncedAt))
		}
		if m.now.Sub(at) > maxPropagationTime && m.now.Sub(n.healthySince) > maxPropagationTime {
			return fmt.Sprintf("misses the change made at %s, although the store has been reachable since %s",
				time.Duration(at), time.Duration(n.healthySince))
		}
	}
	return ""
}

func simulate(seed int64, newSelector func() peerSelector) string {
	m := newSimulation(seed, newSelector, true)
	for m.now < laceunit.Uptime(simulationTime) {
		if fault := m.step(); fault != "" {
			return fault
		}
	}
	return ""
}

func newSourceSelector() peerSelector { return &SourceSelector{} }

// Guards against an instance that misses changes although it can reach the store, and against copies that count as
// more current than they are. In the simulation peers lose the store, freeze and resume with old updates, relay the
// updates of others, and the store fails for all.
func TestUpdatesAreJudgedByAge(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("changes are propagated in time", prop.ForAll(func(seed int64) string {
		return simulate(seed, newSourceSelector)
	}, gen.Int64()))
	properties.TestingRun(t)
	for seed := range int64(20) {
		if simulate(seed, func() peerSelector { return &naiveSelector{} }) != "" {
			return
		}
	}
	t.Error("a selector that accepts every response as contact was not detected")
}

// Guards against a fleet that calls the store all at once when it fails for all instances, or when it recovers.
func TestOutageSendsNoExtraCallsToStore(t *testing.T) {
	m := newSimulation(7, newSourceSelector, false)
	calls := func() (n int) {
		for _, x := range m.instances[simulatedWatchers:] {
			n += x.calls
		}
		return n
	}
	run := func(d time.Duration) int {
		before, end := calls(), m.now.Add(d)
		for m.now < end {
			if fault := m.step(); fault != "" {
				t.Fatal(fault)
			}
		}
		return calls() - before
	}
	run(5 * time.Second)
	if n := run(5 * time.Second); n != 0 {
		t.Errorf("%d calls of instances that are no watchers without an outage", n)
	}
	m.outage = [2]laceunit.Uptime{m.now, m.now.Add(8 * time.Second)}
	if n := run(8 * time.Second); n > simulatedFleet-simulatedWatchers {
		t.Errorf("%d calls of %d instances that are no watchers during an outage", n, simulatedFleet-simulatedWatchers)
	}
	if n := run(5 * time.Second); n != 0 {
		t.Errorf("%d calls of instances that are no watchers after the recovery of the store", n)
	}
}
