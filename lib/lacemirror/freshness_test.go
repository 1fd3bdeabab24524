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
	// modelStep is the time between two looks at the modelled fleet.
	modelStep = 50 * time.Millisecond
	// modelTime is how long a modelled fleet runs.
	modelTime = 40 * time.Second
	// changeBound is the time in which changes have to be in force at an instance that reaches the store.
	changeBound = 3 * time.Second
	modelActive = 4
	modelFleet  = 16
	// modelPartners is how many instances are taken to be active: two of them stand by as well and pass on what they hear.
	modelPartners = modelActive + 2
)

// chooser is what decides where the news of an instance comes from.
type chooser interface {
	SelectPeers(v View, random func(n int) int) []laceunit.Address
	RecordAnswer(partner laceunit.Address, reached laceunit.Uptime)
	Decide(v View, random func(n int) int) Decision
}

// answerCounts is the naive chooser, to which every answer is contact, however old the news is.
type answerCounts struct {
	SourceSelector

	answered laceunit.Uptime
	now      laceunit.Uptime
}

// Ask implements chooser.
func (a *answerCounts) SelectPeers(v View, random func(n int) int) []laceunit.Address {
	a.now = v.Now
	return []laceunit.Address{v.Peers[random(len(v.Peers))]}
}

// Hear implements chooser.
func (a *answerCounts) RecordAnswer(laceunit.Address, laceunit.Uptime) { a.answered = a.now }

// Decide implements chooser.
func (a *answerCounts) Decide(v View, _ func(n int) int) Decision {
	return Decision{ViaPeers: v.Now.Sub(a.answered) <= 1500*time.Millisecond}
}

// modelNode is an instance of the modelled fleet: a copy that is a number of changes, and since when it may be old.
type modelNode struct {
	changes  int
	reached  laceunit.Uptime
	contact  laceplatform.Contact
	chooser  chooser
	origin   Decision
	cut      [2]laceunit.Uptime
	frozen   [2]laceunit.Uptime
	sound    laceunit.Uptime
	calls    int
	nextStep laceunit.Uptime
	// renewal is when the lease is renewed next, which is not counted among the calls.
	renewal laceunit.Uptime
}

type model struct {
	random  *rand.Rand
	now     laceunit.Uptime
	changed []laceunit.Uptime
	nodes   []*modelNode
	outage  [2]laceunit.Uptime
}

func within(span [2]laceunit.Uptime, now laceunit.Uptime) bool {
	return now >= span[0] && now < span[1]
}

func newModel(seed int64, c func() chooser, cuts bool) *model {
	m := &model{random: rand.New(rand.NewPCG(uint64(seed), 1))}
	m.outage = m.span(cuts)
	together := m.span(cuts)
	for i := range modelFleet {
		n := &modelNode{
			chooser:  c(),
			cut:      m.span(cuts),
			frozen:   m.span(cuts),
			nextStep: laceunit.Uptime(m.random.Int64N(int64(PollInterval))),
		}
		if i < modelActive && together != [2]laceunit.Uptime{} {
			// Links that carry several instances fail together.
			n.cut = [2]laceunit.Uptime{together[0].Add(time.Duration(i) * modelStep), together[1]}
		}
		m.nodes = append(m.nodes, n)
	}
	return m
}

// span returns a part of the run, empty if there is none.
func (m *model) span(cuts bool) [2]laceunit.Uptime {
	if !cuts || m.random.IntN(2) == 0 {
		return [2]laceunit.Uptime{}
	}
	start := laceunit.Uptime(m.random.Int64N(int64(modelTime * 3 / 4)))
	return [2]laceunit.Uptime{start, start.Add(time.Duration(m.random.Int64N(int64(10 * time.Second))))}
}

func (m *model) reaches(n *modelNode) bool { return !within(m.outage, m.now) && !within(n.cut, m.now) }

// renew plays the renewals of a lease, which are repeated sooner while they fail.
func (m *model) renew(n *modelNode) {
	if m.now < n.renewal {
		return
	}
	n.calls--
	n.renewal = m.now.Add(600 * time.Millisecond)
	if m.call(n) {
		n.renewal = m.now.Add(2 * time.Second)
	}
}

// call plays one answered or failed call to the store.
func (m *model) call(n *modelNode) bool {
	n.calls++
	if !m.reaches(n) {
		n.contact.Failing = true
		return false
	}
	if n.contact.Failing || n.contact.Since == 0 {
		n.contact.Since = m.now
	}
	n.contact.Failing, n.contact.Answered = false, m.now
	return true
}

func (m *model) read(n *modelNode) {
	if m.call(n) {
		n.changes, n.reached = len(m.changed), m.now
	}
}

func (m *model) view(n *modelNode) View {
	v := View{
		Now:          m.now,
		SyncedAt:     n.reached,
		FleetSize:    modelFleet,
		NearPeers:    1,
		StoreContact: n.contact,
	}
	for i := range modelPartners {
		v.Peers = append(v.Peers, laceunit.Address(fmt.Sprint(i)))
	}
	return v
}

// round plays a round of an instance that stands by.
func (m *model) round(n *modelNode) {
	for _, p := range n.chooser.SelectPeers(m.view(n), m.random.IntN) {
		var i int
		_, _ = fmt.Sscan(string(p), &i)
		if x := m.nodes[i]; !within(x.frozen, m.now) {
			n.changes, n.reached = max(n.changes, x.changes), max(n.reached, x.reached)
			n.chooser.RecordAnswer(p, x.reached)
		}
	}
	n.origin = n.chooser.Decide(m.view(n), m.random.IntN)
	if n.origin.ProbeStore {
		m.call(n)
		n.origin = n.chooser.Decide(m.view(n), m.random.IntN)
	}
}

// step moves the fleet on and returns what is wrong with it.
func (m *model) step() string {
	m.now = m.now.Add(modelStep)
	if m.random.IntN(10) == 0 {
		m.changed = append(m.changed, m.now)
	}
	for i, n := range m.nodes {
		if !m.reaches(n) || within(n.frozen, m.now) {
			n.sound = m.now
		}
		if within(n.frozen, m.now) {
			continue
		}
		if i < modelActive || !n.origin.ViaPeers {
			m.read(n)
		}
		m.renew(n)
		if i >= modelActive && m.now >= n.nextStep {
			m.round(n)
			n.nextStep = m.now.Add(PollInterval)
		}
		if fault := m.check(n); fault != "" {
			return fmt.Sprintf("instance %d at %s: %s", i, time.Duration(m.now), fault)
		}
	}
	return ""
}

func (m *model) check(n *modelNode) string {
	for i, at := range m.changed[n.changes:] {
		if at < n.reached {
			return fmt.Sprintf("lacks change %d of %s and calls itself current at %s", i, time.Duration(at), time.Duration(n.reached))
		}
		if m.now.Sub(at) > changeBound && m.now.Sub(n.sound) > changeBound {
			return fmt.Sprintf("lacks the change of %s, although it has reached the store since %s", time.Duration(at), time.Duration(n.sound))
		}
	}
	return ""
}

func play(seed int64, c func() chooser) string {
	m := newModel(seed, c, true)
	for m.now < laceunit.Uptime(modelTime) {
		if fault := m.step(); fault != "" {
			return fault
		}
	}
	return ""
}

func fresh() chooser { return &SourceSelector{} }

// Guards against an instance that stands by and lacks changes although it reaches the store, and against copies that call
// themselves younger than they are: partners lose the store, freeze and wake with old news, pass on what others told them, and
// the store goes away for all.
func TestNewsIsJudgedByItsAge(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("changes are in force in time", prop.ForAll(func(seed int64) string {
		return play(seed, fresh)
	}, gen.Int64()))
	properties.TestingRun(t)
	for seed := range int64(20) {
		if play(seed, func() chooser { return &answerCounts{} }) != "" {
			return
		}
	}
	t.Error("a chooser to which every answer is contact was not caught")
}

// Guards against a fleet that asks the store together when it goes away for all, or when it comes back.
func TestAnOutageLeavesTheStoreAlone(t *testing.T) {
	m := newModel(7, fresh, false)
	calls := func() (n int) {
		for _, x := range m.nodes[modelActive:] {
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
		t.Errorf("%d calls of instances that stand by in calm times", n)
	}
	m.outage = [2]laceunit.Uptime{m.now, m.now.Add(8 * time.Second)}
	if n := run(8 * time.Second); n > modelFleet-modelActive {
		t.Errorf("%d calls of %d instances that stand by in an outage", n, modelFleet-modelActive)
	}
	if n := run(5 * time.Second); n != 0 {
		t.Errorf("%d calls of instances that stand by after the store's return", n)
	}
}
