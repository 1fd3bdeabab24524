package lacesoak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names what an event does.
type Kind string

// The kinds of events.
const (
	// Signals to instances. Stop and Kill start the instance again after the event's length.
	Stop   Kind = "stop"
	Kill   Kind = "kill"
	Freeze Kind = "freeze"
	Hangup Kind = "hangup"
	// Faults of the store.
	StoreRefuses Kind = "store-refuses"
	StoreSilent  Kind = "store-silent"
	StoreResets  Kind = "store-resets"
	StoreCut     Kind = "store-cut"
	StoreSlow    Kind = "store-slow"
	StoreLoses   Kind = "store-loses-answers"
	StoreForgets Kind = "store-forgets"
	// Faults of backend servers.
	ServerCrash   Kind = "server-crash"
	ServerReplace Kind = "server-replaced"
	LeaveStore    Kind = "leaving-by-store"
	LeaveHeader   Kind = "leaving-by-header"
	LeaveBoth     Kind = "leaving-by-both"
	ServerPause   Kind = "server-pauses"
	ServerSlow    Kind = "server-slow"
	ServerSilent  Kind = "server-silent"
	ServerCut     Kind = "server-breaks-off"
	ServerResume  Kind = "server-fails-resumed"
	ServerCopies  Kind = "server-late-copies"
	ServerGarbage Kind = "server-garbage"
	// Changes of the configuration.
	NewVersion Kind = "config-version"
	NewLimit   Kind = "config-time-limit"
	KeyRevoked Kind = "config-key-revoked"
	TopUp      Kind = "config-top-up"
	RouteAdded Kind = "config-route"
	// Burst adds callers.
	Burst Kind = "burst"
)

// target says what an event is about.
type target int

const (
	anInstance target = iota
	theStore
	anEngine
	aServer
	theConfiguration
	theCallers
)

// rule is how often and how long a kind may happen.
type rule struct {
	kind   Kind
	target target
	// cards is how many of this kind are in the deck that events are drawn from.
	cards       int
	least, most time.Duration
	// busy is how long the target stays occupied after the event's length.
	busy time.Duration
}

const (
	// QuietTail is the time without faults at the end of a run.
	QuietTail = 4 * time.Second
	// startSpan is how long an instance takes to be listed after its start, on a busy machine.
	startSpan = time.Second
	// seriesGap is the mean time between the beginnings of two series.
	seriesGap = 700 * time.Millisecond
	// seriesMost bounds the events of a series, seriesStep the time between two of them.
	seriesMost = 4
	seriesStep = 600 * time.Millisecond
	// leaveSpan is longer than DrainTime, so that requests after it are seen.
	leaveSpan = DrainTime + time.Second
)

func rules() []rule {
	const ms = time.Millisecond
	return []rule{
		{kind: Stop, target: anInstance, cards: 3, least: 50 * ms, most: 800 * ms, busy: DrainGrace + startSpan},
		{kind: Kill, target: anInstance, cards: 3, least: 50 * ms, most: 2000 * ms, busy: startSpan},
		{kind: Freeze, target: anInstance, cards: 2, least: 300 * ms, most: 4000 * ms},
		{kind: Hangup, target: anInstance, cards: 1},
		{kind: StoreRefuses, target: theStore, cards: 1, least: 300 * ms, most: 3000 * ms},
		{kind: StoreSilent, target: theStore, cards: 1, least: 300 * ms, most: 3000 * ms},
		{kind: StoreResets, target: theStore, cards: 1, least: 300 * ms, most: 3000 * ms},
		{kind: StoreCut, target: theStore, cards: 2, least: 300 * ms, most: 3000 * ms},
		{kind: StoreSlow, target: theStore, cards: 1, least: 300 * ms, most: 3000 * ms},
		{kind: StoreLoses, target: theStore, cards: 1, least: 300 * ms, most: 2000 * ms},
		{kind: StoreForgets, target: theStore, cards: 1},
		{kind: ServerCrash, target: anEngine, cards: 2, least: 50 * ms, most: 1500 * ms},
		{kind: ServerReplace, target: aServer, cards: 1, least: 0, most: 500 * ms},
		{kind: LeaveStore, target: aServer, cards: 1, least: leaveSpan, most: leaveSpan},
		{kind: LeaveHeader, target: aServer, cards: 1, least: leaveSpan, most: leaveSpan},
		{kind: LeaveBoth, target: aServer, cards: 1, least: leaveSpan, most: leaveSpan},
		{kind: ServerPause, target: aServer, cards: 2, least: 1500 * ms, most: 2500 * ms},
		{kind: ServerSlow, target: aServer, cards: 1, least: 300 * ms, most: 2000 * ms},
		{kind: ServerSilent, target: aServer, cards: 1, least: 300 * ms, most: 2000 * ms},
		{kind: ServerCut, target: aServer, cards: 2, least: 300 * ms, most: 2000 * ms},
		{kind: ServerResume, target: anEngine, cards: 3, least: 500 * ms, most: 3000 * ms},
		{kind: ServerCopies, target: aServer, cards: 1, least: 300 * ms, most: 2000 * ms},
		{kind: ServerGarbage, target: aServer, cards: 1, least: 300 * ms, most: 2000 * ms},
		{kind: NewVersion, target: theConfiguration, cards: 1},
		{kind: NewLimit, target: theConfiguration, cards: 1},
		{kind: KeyRevoked, target: theConfiguration, cards: 1},
		{kind: TopUp, target: theConfiguration, cards: 1},
		{kind: RouteAdded, target: theConfiguration, cards: 1},
		{kind: Burst, target: theCallers, cards: 1, least: 300 * ms, most: 1500 * ms},
	}
}

// Options are the measures of a run.
type Options struct {
	Duration  time.Duration
	Instances int
	// Engines and Services are the numbers of backend servers; engines come first in their common numbering.
	Engines  int
	Services int
}

// Event is one fault or change.
type Event struct {
	At   time.Duration
	For  time.Duration
	Kind Kind
	// Target numbers the instance or server.
	Target int
	// Choice decides between the forms of an event.
	Choice int
	// Apart are the instances that the store does not answer.
	Apart []int
}

// String describes the event in a line of the timeline.
func (e Event) String() string {
	text := fmt.Sprintf("%7.3f s  %-20s %d", e.At.Seconds(), e.Kind, e.Target)
	if len(e.Apart) > 0 {
		text += fmt.Sprintf(" instances %v", e.Apart)
	}
	if e.For > 0 {
		text += fmt.Sprintf(" for %.3f s", e.For.Seconds())
	}
	return text
}

// planner draws events.
type planner struct {
	random  *rand.Rand
	options Options
	deck    []rule
	// free is from when on a target takes another event.
	free map[target]map[int]time.Duration
	all  []Event
}

// NewPlan returns the events of a seed in the order of time.
func NewPlan(seed uint64, o Options) []Event {
	p := &planner{
		random:  rand.New(rand.NewPCG(seed, 1)),
		options: o,
		free: map[target]map[int]time.Duration{
			anInstance: {},
			theStore:   {},
			aServer:    {},
		},
	}
	for at := p.upTo(seriesGap); at < o.Duration-QuietTail; at += p.upTo(2 * seriesGap) {
		moment := at
		for range 1 + p.random.IntN(seriesMost) {
			p.add(p.draw(), moment)
			moment += p.upTo(seriesStep)
		}
	}
	slices.SortStableFunc(p.all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return p.all
}

func (p *planner) upTo(d time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(d) + 1))
}

// draw takes the next card, so that each kind comes before any comes more often than its cards say.
func (p *planner) draw() rule {
	if len(p.deck) == 0 {
		for _, r := range rules() {
			for range r.cards {
				p.deck = append(p.deck, r)
			}
		}
		p.random.Shuffle(len(p.deck), func(i, j int) { p.deck[i], p.deck[j] = p.deck[j], p.deck[i] })
	}
	r := p.deck[0]
	p.deck = p.deck[1:]
	return r
}

// add plans an event when its target is free and it ends before the quiet tail.
func (p *planner) add(r rule, at time.Duration) {
	e := Event{
		At:   at,
		For:  r.least + p.upTo(r.most-r.least),
		Kind: r.kind,
		// The number has the forms of all events as divisors.
		Choice: p.random.IntN(60),
	}
	group, count := r.target, 1
	switch r.target {
	case anInstance:
		count = p.options.Instances
	case anEngine:
		group, count = aServer, p.options.Engines
	case aServer:
		count = p.options.Engines + p.options.Services
	case theStore, theConfiguration, theCallers:
	}
	e.Target = p.random.IntN(count)
	if r.kind == StoreCut {
		e.Apart = p.random.Perm(p.options.Instances)[:1+p.random.IntN(max(p.options.Instances-1, 1))]
	}
	end := e.At + e.For + r.busy
	if end > p.options.Duration-QuietTail || p.free[group] != nil && p.free[group][e.Target] > e.At {
		return
	}
	if p.free[group] != nil {
		p.free[group][e.Target] = end
	}
	p.all = append(p.all, e)
}
