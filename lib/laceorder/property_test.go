package laceorder

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lacewingcove/lib/laceunit"
)

const seed = 17

type event struct {
	at  time.Duration
	run func()
}

// simulation is a store with one lease, one server, and instances whose clocks drift and whose processes pause.
type simulation struct {
	random   *rand.Rand
	timing   Timing
	maxPause time.Duration
	now      time.Duration
	events   []event
	fencing  bool

	storeDrift float64
	holder     int
	fence      laceunit.Fence
	leaseEnd   time.Duration

	// maxFence is the highest fencing token that the server has received in an order or a state read.
	maxFence    laceunit.Fence
	applied     int
	interleaved int
}

// simulatedProcess is an instance that always has orders to send.
type simulatedProcess struct {
	simulation  *simulation
	id          int
	drift       float64
	planner     *Planner
	lastRenewal time.Duration
}

// schedule keeps the events in descending order of time, so that the next one is the last.
func (s *simulation) schedule(d time.Duration, run func()) {
	e := event{at: s.now + d, run: run}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b event) int { return cmp.Compare(b.at, a.at) })
	s.events = slices.Insert(s.events, i, e)
}

// randomDuration returns a duration of at most d. In half of the cases it is zero or d, since errors show most often at
// the limits.
func (s *simulation) randomDuration(d time.Duration) time.Duration {
	switch s.random.IntN(4) {
	case 0:
		return 0
	case 1:
		return d
	}
	return time.Duration(s.random.Int64N(int64(d) + 1))
}

func (s *simulation) randomDrift() float64 {
	return []float64{-1, 0, 1}[s.random.IntN(3)] * s.timing.ClockDrift
}

func (p *simulatedProcess) clock() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(p.simulation.now) * (1 + p.drift)))
}

// requestLease acquires or renews the lease; the request and the response are delayed at random.
func (p *simulatedProcess) requestLease() {
	s, requestedAt := p.simulation, p.clock()
	p.lastRenewal = s.now
	s.schedule(s.randomDuration(50*time.Millisecond), func() {
		if s.now >= s.leaseEnd {
			s.holder, s.fence = p.id, s.fence+1
		}
		acquired, fence := s.holder == p.id, s.fence
		if acquired {
			s.leaseEnd = s.now + time.Duration(float64(s.timing.TTL)/(1+s.storeDrift))
		}
		s.schedule(s.randomDuration(50*time.Millisecond), func() {
			switch {
			case acquired && p.planner.Fence() == fence:
				p.planner.MarkRenewed(requestedAt)
			case acquired:
				p.planner.MarkAcquired(requestedAt, p.clock(), fence)
			default:
				p.planner.MarkLost()
			}
			p.step()
		})
	})
}

// deliver handles an order that arrives at the server.
func (s *simulation) deliver(job Job) Outcome {
	if s.fencing && job.Order.Fence < s.maxFence {
		return OutcomeFenced
	}
	if job.Order.Fence < s.maxFence {
		s.interleaved++
	}
	s.maxFence = max(s.maxFence, job.Order.Fence)
	s.applied++
	return OutcomeApplied
}

func (p *simulatedProcess) step() {
	s := p.simulation
	// Only a pause between the check and the sending of an order is bounded; this one may have any length.
	if s.random.IntN(50) == 0 {
		s.schedule(s.randomDuration(3*s.timing.TTL), p.step)
		return
	}
	switch renewalDue := s.now-p.lastRenewal > s.timing.TTL/3; {
	case p.planner.Fence() == 0, renewalDue && s.random.IntN(2) == 0:
		s.schedule(s.randomDuration(100*time.Millisecond), p.requestLease)
		return
	case renewalDue:
		// Skips the renewal, so that orders are sent late in the term of the lease.
		p.lastRenewal = s.now
	}
	for p.planner.Pending() < 3 {
		_ = p.planner.Submit(Job{Server: "s", Fencing: s.fencing, Order: Order{Kind: KindRole, Role: "x"}})
	}
	a := p.planner.Next(p.clock())
	switch a.Step {
	case StepWait:
		s.schedule(s.randomDuration(s.timing.TTL/20)+time.Millisecond, p.step)
	case StepRead:
		s.schedule(s.randomDuration(s.timing.DeliveryTimeout), func() {
			s.maxFence = max(s.maxFence, a.Job.Order.Fence)
			p.planner.HandleState("s", a.Job.Order.Fence, EngineState{})
			p.step()
		})
	case StepSend:
		pause, delay, lost := s.randomDuration(s.maxPause), s.randomDuration(s.timing.DeliveryTimeout),
			s.random.IntN(4) == 0
		s.schedule(pause+delay, func() {
			outcome := s.deliver(a.Job)
			if !lost {
				p.planner.HandleOutcome(p.clock(), a.Job, outcome)
				p.step()
			}
		})
		if lost {
			s.schedule(pause+s.timing.DeliveryTimeout, func() {
				p.planner.HandleOutcome(p.clock(), a.Job, OutcomeUnknown)
				p.step()
			})
		}
	}
}

func simulate(scheduleSeed int64, fencing bool, pauseFactor int) *simulation {
	timing := DefaultTiming()
	timing.ClockDrift = 0.05
	s := &simulation{
		random:   rand.New(rand.NewPCG(uint64(scheduleSeed), 0)),
		timing:   timing,
		maxPause: time.Duration(pauseFactor) * timing.MaxPause,
		fencing:  fencing,
	}
	s.storeDrift = s.randomDrift()
	for id := range 3 {
		p := &simulatedProcess{
			simulation: s,
			id:         id + 1,
			drift:      s.randomDrift(),
			planner:    NewPlanner(timing, 0, 1),
		}
		s.schedule(s.randomDuration(timing.TTL), p.step)
	}
	for len(s.events) > 0 && s.now < 10*time.Minute {
		e := s.events[len(s.events)-1]
		s.events, s.now = s.events[:len(s.events)-1], e.at
		e.run()
	}
	return s
}

// Guards against interleaved orders of two lease holders: at a server that ignores fencing tokens while clock drift,
// pauses and delays stay within their bounds, and at a server that checks them even when the pauses exceed the bound.
func TestHoldersDoNotInterleave(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = 150
	properties := gopter.NewProperties(parameters)
	holds := func(fencing bool, pauseFactor int) func(int64) bool {
		return func(scheduleSeed int64) bool {
			s := simulate(scheduleSeed, fencing, pauseFactor)
			return s.interleaved == 0 && s.applied > 0 && s.fence > 1
		}
	}
	properties.Property("server without fencing, pauses within the bound", prop.ForAll(holds(false, 1), gen.Int64()))
	properties.Property("server with fencing, pauses within the bound", prop.ForAll(holds(true, 1), gen.Int64()))
	properties.Property("server with fencing, pauses beyond the bound", prop.ForAll(holds(true, 10), gen.Int64()))
	properties.TestingRun(t)
	// Checks that the schedules can produce interleaved orders at a server without fencing when pauses exceed the bound.
	interleaved := 0
	for scheduleSeed := range int64(100) {
		interleaved += simulate(scheduleSeed, false, 10).interleaved
	}
	if interleaved == 0 {
		t.Error("no orders interleave with pauses beyond the bound; the schedules are too weak to test anything")
	}
}
