package lacesoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lacewingcove/platform/lacestage"
)

// Kinds of events that code names; the others are rows of the table below.
const (
	stop     = "stop"
	kill     = "kill"
	freeze   = "freeze"
	hangup   = "hangup"
	forget   = "store-forgets"
	apart    = "store-away-for-some"
	crash    = "server-crash"
	replace  = "server-replaced"
	pause    = "server-pauses"
	limits   = "server-limits"
	limit    = "config-time-limit"
	revoke   = "config-key-revoked"
	topUp    = "config-top-up"
	addRoute = "config-route"
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
	theLink
)

// rule is how often and how long a kind of event may happen, and which fault it sets.
type rule struct {
	kind   string
	target target
	// cards is how many of this kind are in the deck that events are drawn from.
	cards       int
	least, most time.Duration
	// busy is how long the target stays occupied after the event's length.
	busy   time.Duration
	store  lacestage.StoreFault
	server lacestage.ServerFault
	leave  lacestage.DrainOptions
}

const (
	// QuietTail is the time without faults at the end of a run.
	QuietPeriod = 4 * time.Second
	// startSpan is how long an instance takes to be listed after its start, on a busy machine.
	startSpan = time.Second
	// seriesGap is the mean time between the beginnings of two series.
	seriesGap = 700 * time.Millisecond
	// seriesMost bounds the events of a series, seriesStep the time between two of them.
	seriesMost = 4
	seriesStep = 600 * time.Millisecond
	// leaveSpan is longer than drainTime, so that requests after it are seen.
	leaveSpan = drainTime + time.Second
	// faultShare is how many answers a fault of a server meets.
	faultShare = 0.4
	// limitLeast is longer than it takes until a limit has to be kept, limitedPart how many servers there are for each one that
	// names one.
	limitLeast  = limitStable + time.Second
	limitedPart = 4
)

func rules() []rule {
	const ms = time.Millisecond
	return []rule{
		{kind: stop, target: anInstance, cards: 3, least: 50 * ms, most: 800 * ms, busy: drainGrace + startSpan},
		{kind: kill, target: anInstance, cards: 3, least: 50 * ms, most: 2000 * ms, busy: startSpan},
		{kind: freeze, target: anInstance, cards: 2, least: 300 * ms, most: 4000 * ms},
		{kind: hangup, target: anInstance, cards: 1},
		{kind: "store-refuses", target: theStore, cards: 1, least: 300 * ms, most: 3000 * ms, store: lacestage.StoreFault{Outage: lacestage.ServiceUnavailable}},
		{kind: "store-silent", target: theStore, cards: 1, least: 300 * ms, most: 3000 * ms, store: lacestage.StoreFault{Outage: lacestage.Unresponsive}},
		{kind: "store-resets", target: theStore, cards: 1, least: 300 * ms, most: 3000 * ms, store: lacestage.StoreFault{Outage: lacestage.ConnectionReset}},
		{kind: "store-slow", target: theStore, cards: 1, least: 300 * ms, most: 3000 * ms, store: lacestage.StoreFault{Delay: 300 * ms}},
		{kind: "store-loses-answers", target: theStore, cards: 1, least: 300 * ms, most: 2000 * ms, store: lacestage.StoreFault{LostResponseRate: 0.5}},
		{kind: apart, target: theStore, cards: 2, least: 300 * ms, most: 3000 * ms},
		{kind: forget, target: theStore, cards: 1},
		{kind: crash, target: anEngine, cards: 2, least: 50 * ms, most: 1500 * ms},
		{kind: replace, target: aServer, cards: 1, most: 500 * ms},
		{kind: "leaving-by-store", target: aServer, cards: 1, least: leaveSpan, most: leaveSpan, leave: lacestage.DrainOptions{AnnounceInStore: true}},
		{kind: "leaving-by-header", target: aServer, cards: 1, least: leaveSpan, most: leaveSpan, leave: lacestage.DrainOptions{AnnounceInHeader: true}},
		{kind: "leaving-by-both", target: aServer, cards: 1, least: leaveSpan, most: leaveSpan, leave: lacestage.DrainOptions{AnnounceInStore: true, AnnounceInHeader: true}},
		{kind: pause, target: aServer, cards: 2, least: 1500 * ms, most: 2500 * ms},
		{kind: "server-slow", target: aServer, cards: 1, least: 300 * ms, most: 2000 * ms, server: lacestage.ServerFault{Delay: 300 * ms, EventDelay: 100 * ms}},
		{kind: "server-silent", target: aServer, cards: 1, least: 300 * ms, most: 2000 * ms, server: lacestage.ServerFault{Unresponsive: true}},
		{kind: "server-breaks-off", target: aServer, cards: 2, least: 300 * ms, most: 2000 * ms, server: lacestage.ServerFault{TruncateRate: faultShare}},
		{kind: "server-fails-resumed", target: anEngine, cards: 3, least: 500 * ms, most: 3000 * ms, server: lacestage.ServerFault{TruncateRate: faultShare, FailResumed: true}},
		{kind: "server-late-copies", target: aServer, cards: 1, least: 300 * ms, most: 2000 * ms, server: lacestage.ServerFault{DuplicateRate: faultShare, DuplicateDelay: 20 * ms}},
		{kind: "server-garbage", target: aServer, cards: 1, least: 300 * ms, most: 2000 * ms, server: lacestage.ServerFault{GarbleRate: faultShare, DropRate: faultShare / 2}},
		{kind: "config-version", target: theConfiguration, cards: 1},
		{kind: limit, target: theConfiguration, cards: 1},
		{kind: revoke, target: theConfiguration, cards: 1},
		{kind: topUp, target: theConfiguration, cards: 1},
		{kind: addRoute, target: theConfiguration, cards: 1},
		{kind: "burst", target: theCallers, cards: 1, least: 300 * ms, most: 1500 * ms},
	}
}

// Options are the measures of a run.
type Options struct {
	Duration  time.Duration
	Instances int
	// Narrow is what a narrow link carries, in Mbit/s: 0 for no such link, below 0 for what the seed says. Behind is the
	// instance behind it; below 0 it is what the seed says.
	LinkMbits    float64
	LinkInstance int
}

// engines and services are the numbers of backend servers; engines come first in their common numbering.
func (o Options) engines() int { return max(3, o.Instances*3/4) }

func (o Options) services() int { return max(3, o.Instances/2) }

// event is one fault or change.
type event struct {
	rule
	at     time.Duration
	length time.Duration
	// number is that of the instance or server, apart are the instances that the store does not answer.
	number int
	apart  []int
	// rate is that of a narrow link, in Mbit/s.
	rate float64
	// choice decides between the forms of an event.
	choice int
}

// choices has the numbers of forms of all events as divisors.
const choices = 60

// String describes the event in a line of the timeline.
func (e event) String() string {
	text := fmt.Sprintf("%7.3f s  %-20s %d", e.at.Seconds(), e.kind, e.number)
	if len(e.apart) > 0 {
		text += fmt.Sprintf(" instances %v", e.apart)
	}
	if e.rate > 0 {
		text += fmt.Sprintf(" with %g Mbit/s", e.rate)
	}
	if e.length > 0 {
		text += fmt.Sprintf(" for %.3f s", e.length.Seconds())
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
	all  []event
}

// newPlan returns the events of a seed in the order of time.
func newPlan(seed uint64, o Options) []event {
	p := &planner{
		random:  rand.New(rand.NewPCG(seed, 1)),
		options: o,
		free:    map[target]map[int]time.Duration{anInstance: {}, theStore: {}, aServer: {}},
	}
	for start := p.upTo(seriesGap); start < o.Duration-QuietPeriod; start += p.upTo(2 * seriesGap) {
		moment := start
		for range 1 + p.random.IntN(seriesMost) {
			p.add(p.draw(), moment)
			moment += p.upTo(seriesStep)
		}
	}
	p.limits(seed)
	p.narrow(seed)
	slices.SortStableFunc(p.all, func(a, b event) int { return int(a.at - b.at) })
	return p.all
}

// limits adds servers that name a limit, whatever else happens to them. They are drawn apart from the other events, so that the
// plan of a seed keeps those.
func (p *planner) limits(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	servers := p.options.engines() + p.options.services()
	for range 1 + servers/limitedPart {
		most := int64(p.options.Duration - QuietPeriod - limitLeast)
		if most <= 0 {
			return
		}
		at := time.Duration(random.Int64N(most))
		p.all = append(p.all, event{
			rule: rule{
				kind:   limits,
				target: aServer,
			},
			at:     at,
			length: limitLeast + time.Duration(random.Int64N(int64(p.options.Duration-QuietPeriod-limitLeast-at)+1)),
			number: random.IntN(servers),
			choice: random.IntN(choices),
		})
	}
}

func (p *planner) upTo(d time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(d) + 1))
}

// draw takes the next card, so that each kind comes before any comes more often than its cards say.
func (p *planner) draw() rule {
	if len(p.deck) == 0 {
		for _, r := range rules() {
			p.deck = append(p.deck, slices.Repeat([]rule{r}, r.cards)...)
		}
		p.random.Shuffle(len(p.deck), func(i, j int) { p.deck[i], p.deck[j] = p.deck[j], p.deck[i] })
	}
	r := p.deck[0]
	p.deck = p.deck[1:]
	return r
}

// add plans an event when its target is free and it ends before the quiet tail.
func (p *planner) add(r rule, at time.Duration) {
	e := event{
		rule:   r,
		at:     at,
		length: r.least + p.upTo(r.most-r.least),
		choice: p.random.IntN(choices),
	}
	group, count := r.target, 1
	switch r.target {
	case anInstance:
		count = p.options.Instances
	case anEngine:
		group, count = aServer, p.options.engines()
	case aServer:
		count = p.options.engines() + p.options.services()
	case theStore, theConfiguration, theCallers, theLink:
	}
	e.number = p.random.IntN(count)
	if r.kind == apart {
		e.apart = p.random.Perm(p.options.Instances)[:1+p.random.IntN(max(p.options.Instances-1, 1))]
	}
	end := e.at + e.length + r.busy
	if end > p.options.Duration-QuietPeriod || p.free[group][e.number] > e.at {
		return
	}
	if p.free[group] != nil {
		p.free[group][e.number] = end
	}
	p.all = append(p.all, e)
}
