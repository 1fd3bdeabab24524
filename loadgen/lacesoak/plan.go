package lacesoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lacewingcove/platform/lacestage"
)

// Kinds of events that code refers to; the others appear only in the table below.
const (
	eventStop               = "stop"
	eventKill               = "kill"
	eventFreeze             = "freeze"
	eventReload             = "hangup"
	eventStoreCompaction    = "store-forgets"
	eventPartialStoreOutage = "store-away-for-some"
	eventServerCrash        = "server-crash"
	eventServerReplaced     = "server-replaced"
	eventServerPause        = "server-pauses"
	eventServerRateLimit    = "server-limits"
	eventRouteTimeout       = "config-time-limit"
	eventKeyRevoked         = "config-key-revoked"
	eventTopUp              = "config-top-up"
	eventRouteAdded         = "config-route"
)

// target is what an event affects.
type target int

const (
	targetInstance target = iota
	targetStore
	targetEngine
	targetServer
	targetConfiguration
	targetCallers
	targetLink
)

// eventType describes a kind of event: its frequency, its length and the fault that it injects.
type eventType struct {
	kind   string
	target target
	// weight is how often this kind occurs in the shuffled list from which events are drawn.
	weight               int
	minLength, maxLength time.Duration
	// recovery is how long after the event's length the target takes no other event.
	recovery time.Duration
	store    lacestage.StoreFault
	server   lacestage.ServerFault
	drain    lacestage.DrainOptions
}

const (
	// QuietPeriod is the fault-free time at the end of a run.
	QuietPeriod = 4 * time.Second
	// startupTime is how long a started instance takes on a busy machine until it is listed.
	startupTime = time.Second
	// seriesInterval is the mean time between the starts of two series of events.
	seriesInterval = 700 * time.Millisecond
	// maxSeriesEvents bounds the number of events in a series, maxSeriesStep the time between two of them.
	maxSeriesEvents = 4
	maxSeriesStep   = 600 * time.Millisecond
	// drainLength exceeds drainPeriod, so that requests sent after the drain period are detected.
	drainLength = drainPeriod + time.Second
	// faultRate is the share of responses that a server fault affects.
	faultRate = 0.4
	// minLimitLength exceeds limitSettleTime, after which the instances have to comply with a rate limit. There is one
	// server that announces a rate limit for every serversPerLimit servers.
	minLimitLength  = limitSettleTime + time.Second
	serversPerLimit = 4
)

// eventTypes returns the events that a plan may contain, except those that addRateLimits and addSlowLink add.
func eventTypes() []eventType {
	const ms = time.Millisecond
	return []eventType{
		{kind: eventStop, target: targetInstance, weight: 3, minLength: 50 * ms, maxLength: 800 * ms, recovery: stopGracePeriod + startupTime},
		{kind: eventKill, target: targetInstance, weight: 3, minLength: 50 * ms, maxLength: 2000 * ms, recovery: startupTime},
		{kind: eventFreeze, target: targetInstance, weight: 2, minLength: 300 * ms, maxLength: 4000 * ms},
		{kind: eventReload, target: targetInstance, weight: 1},
		{kind: "store-refuses", target: targetStore, weight: 1, minLength: 300 * ms, maxLength: 3000 * ms, store: lacestage.StoreFault{Outage: lacestage.ServiceUnavailable}},
		{kind: "store-silent", target: targetStore, weight: 1, minLength: 300 * ms, maxLength: 3000 * ms, store: lacestage.StoreFault{Outage: lacestage.Unresponsive}},
		{kind: "store-resets", target: targetStore, weight: 1, minLength: 300 * ms, maxLength: 3000 * ms, store: lacestage.StoreFault{Outage: lacestage.ConnectionReset}},
		{kind: "store-slow", target: targetStore, weight: 1, minLength: 300 * ms, maxLength: 3000 * ms, store: lacestage.StoreFault{Delay: 300 * ms}},
		{kind: "store-loses-answers", target: targetStore, weight: 1, minLength: 300 * ms, maxLength: 2000 * ms, store: lacestage.StoreFault{LostResponseRate: 0.5}},
		{kind: eventPartialStoreOutage, target: targetStore, weight: 2, minLength: 300 * ms, maxLength: 3000 * ms},
		{kind: eventStoreCompaction, target: targetStore, weight: 1},
		{kind: eventServerCrash, target: targetEngine, weight: 2, minLength: 50 * ms, maxLength: 1500 * ms},
		{kind: eventServerReplaced, target: targetServer, weight: 1, maxLength: 500 * ms},
		{kind: "leaving-by-store", target: targetServer, weight: 1, minLength: drainLength, maxLength: drainLength, drain: lacestage.DrainOptions{AnnounceInStore: true}},
		{kind: "leaving-by-header", target: targetServer, weight: 1, minLength: drainLength, maxLength: drainLength, drain: lacestage.DrainOptions{AnnounceInHeader: true}},
		{kind: "leaving-by-both", target: targetServer, weight: 1, minLength: drainLength, maxLength: drainLength, drain: lacestage.DrainOptions{AnnounceInStore: true, AnnounceInHeader: true}},
		{kind: eventServerPause, target: targetServer, weight: 2, minLength: 1500 * ms, maxLength: 2500 * ms},
		{kind: "server-slow", target: targetServer, weight: 1, minLength: 300 * ms, maxLength: 2000 * ms, server: lacestage.ServerFault{Delay: 300 * ms, EventDelay: 100 * ms}},
		{kind: "server-silent", target: targetServer, weight: 1, minLength: 300 * ms, maxLength: 2000 * ms, server: lacestage.ServerFault{Unresponsive: true}},
		{kind: "server-breaks-off", target: targetServer, weight: 2, minLength: 300 * ms, maxLength: 2000 * ms, server: lacestage.ServerFault{TruncateRate: faultRate}},
		{kind: "server-fails-resumed", target: targetEngine, weight: 3, minLength: 500 * ms, maxLength: 3000 * ms, server: lacestage.ServerFault{TruncateRate: faultRate, FailResumed: true}},
		{kind: "server-late-copies", target: targetServer, weight: 1, minLength: 300 * ms, maxLength: 2000 * ms, server: lacestage.ServerFault{DuplicateRate: faultRate, DuplicateDelay: 20 * ms}},
		{kind: "server-garbage", target: targetServer, weight: 1, minLength: 300 * ms, maxLength: 2000 * ms, server: lacestage.ServerFault{GarbleRate: faultRate, DropRate: faultRate / 2}},
		{kind: "config-version", target: targetConfiguration, weight: 1},
		{kind: eventRouteTimeout, target: targetConfiguration, weight: 1},
		{kind: eventKeyRevoked, target: targetConfiguration, weight: 1},
		{kind: eventTopUp, target: targetConfiguration, weight: 1},
		{kind: eventRouteAdded, target: targetConfiguration, weight: 1},
		{kind: "burst", target: targetCallers, weight: 1, minLength: 300 * ms, maxLength: 1500 * ms},
	}
}

// Options are the parameters of a run.
type Options struct {
	Duration  time.Duration
	Instances int
	// LinkMbits is the bandwidth of the slow link in Mbit/s. 0 disables the link; if negative, the seed decides whether
	// there is one and draws its bandwidth.
	LinkMbits float64
	// LinkInstance is the index of the instance behind the slow link; if negative, the seed draws it.
	LinkInstance int
	// Restores is how often the store is restored from a backup; if negative, the seed decides.
	Restores int
}

// engineCount returns the number of backend servers that are engines. They have the lowest indices, before those of
// plain services.
func (o Options) engineCount() int { return max(3, o.Instances*3/4) }

// serviceCount returns the number of backend servers of the plain service.
func (o Options) serviceCount() int { return max(3, o.Instances/2) }

// event is one planned fault or change.
type event struct {
	eventType
	at     time.Duration
	length time.Duration
	// index identifies the instance or server.
	index int
	// isolated are the indices of the instances that can't use the store in a partial outage.
	isolated []int
	// mbits is the bandwidth of a slow link in Mbit/s.
	mbits float64
	// backupAge is how old the backup of a restore is when the store goes away, and rewriteDelay how long after the
	// store's return the operator writes again.
	backupAge    time.Duration
	rewriteDelay time.Duration
	// lostRevisions is the number of revisions that other users of the store need right after the backup.
	lostRevisions int
	// variant is a random number below variants that selects between the variants of an event.
	variant int
}

// variants is divisible by the number of variants of each event, so that all of them are equally likely.
const variants = 60

// String returns the event as a line of the report's timeline.
func (e event) String() string {
	text := fmt.Sprintf("%7.3f s  %-20s %d", e.at.Seconds(), e.kind, e.index)
	if len(e.isolated) > 0 {
		text += fmt.Sprintf(" instances %v", e.isolated)
	}
	if e.mbits > 0 {
		text += fmt.Sprintf(" with %g Mbit/s", e.mbits)
	}
	if e.backupAge > 0 {
		text += fmt.Sprintf(" from %.3f s and %d revisions ago, written again after %.3f s,",
			e.backupAge.Seconds(), e.lostRevisions, e.rewriteDelay.Seconds())
	}
	if e.length > 0 {
		text += fmt.Sprintf(" for %.3f s", e.length.Seconds())
	}
	return text
}

// planner draws random events.
type planner struct {
	random   *rand.Rand
	options  Options
	shuffled []eventType
	// availableFrom is the time from which a target takes another event, by its index.
	availableFrom map[target]map[int]time.Duration
	events        []event
}

// newPlan returns the events of a seed in chronological order.
func newPlan(seed uint64, o Options) []event {
	p := &planner{
		random:        rand.New(rand.NewPCG(seed, 1)),
		options:       o,
		availableFrom: map[target]map[int]time.Duration{targetInstance: {}, targetStore: {}, targetServer: {}},
	}
	for start := p.randomUpTo(seriesInterval); start < o.Duration-QuietPeriod; start += p.randomUpTo(2 * seriesInterval) {
		at := start
		for range 1 + p.random.IntN(maxSeriesEvents) {
			p.schedule(p.draw(), at)
			at += p.randomUpTo(maxSeriesStep)
		}
	}
	p.addRateLimits(seed)
	p.addSlowLink(seed)
	p.addRestores(seed)
	slices.SortStableFunc(p.events, func(a, b event) int { return int(a.at - b.at) })
	return p.events
}

// addRateLimits adds events in which servers announce a rate limit, regardless of other events of the same servers. It
// uses a random source of its own, so that the other events of a seed stay the same.
func (p *planner) addRateLimits(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	servers := p.options.engineCount() + p.options.serviceCount()
	for range 1 + servers/serversPerLimit {
		latest := int64(p.options.Duration - QuietPeriod - minLimitLength)
		if latest <= 0 {
			return
		}
		at := time.Duration(random.Int64N(latest))
		p.events = append(p.events, event{
			eventType: eventType{
				kind:   eventServerRateLimit,
				target: targetServer,
			},
			at: at,
			length: minLimitLength +
				time.Duration(random.Int64N(int64(p.options.Duration-QuietPeriod-minLimitLength-at)+1)),
			index:   random.IntN(servers),
			variant: random.IntN(variants),
		})
	}
}

// randomUpTo returns a random duration between 0 and d.
func (p *planner) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(d) + 1))
}

// draw returns the next entry of the shuffled list, which is refilled only when it is empty: all kinds occur before any
// kind exceeds its weight.
func (p *planner) draw() eventType {
	if len(p.shuffled) == 0 {
		for _, r := range eventTypes() {
			p.shuffled = append(p.shuffled, slices.Repeat([]eventType{r}, r.weight)...)
		}
		p.random.Shuffle(len(p.shuffled), func(i, j int) {
			p.shuffled[i], p.shuffled[j] = p.shuffled[j], p.shuffled[i]
		})
	}
	r := p.shuffled[0]
	p.shuffled = p.shuffled[1:]
	return r
}

// schedule adds an event if its target is available and the event ends before the quiet period.
func (p *planner) schedule(r eventType, at time.Duration) {
	e := event{
		eventType: r,
		at:        at,
		length:    r.minLength + p.randomUpTo(r.maxLength-r.minLength),
		variant:   p.random.IntN(variants),
	}
	group, count := r.target, 1
	switch r.target {
	case targetInstance:
		count = p.options.Instances
	case targetEngine:
		group, count = targetServer, p.options.engineCount()
	case targetServer:
		count = p.options.engineCount() + p.options.serviceCount()
	case targetStore, targetConfiguration, targetCallers, targetLink:
	}
	e.index = p.random.IntN(count)
	if r.kind == eventPartialStoreOutage {
		e.isolated = p.random.Perm(p.options.Instances)[:1+p.random.IntN(max(p.options.Instances-1, 1))]
	}
	end := e.at + e.length + r.recovery
	if end > p.options.Duration-QuietPeriod || p.availableFrom[group][e.index] > e.at {
		return
	}
	if p.availableFrom[group] != nil {
		p.availableFrom[group][e.index] = end
	}
	p.events = append(p.events, e)
}
