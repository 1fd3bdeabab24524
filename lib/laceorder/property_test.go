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

// world is a platform with one lease, one server, and holders whose clocks drift and whose processes pause.
type world struct {
	random  *rand.Rand
	timing  Timing
	pause   time.Duration
	now     time.Duration
	events  []event
	fencing bool

	drift  float64
	holder int
	fence  laceunit.Fence
	ends   time.Duration

	// top is the highest token that the server has seen in an order or a read-back.
	top         laceunit.Fence
	applied     int
	interleaved int
}

// process is one instance that wants to send orders for ever.
type process struct {
	world   *world
	id      int
	drift   float64
	planner *Planner
	last    time.Duration
}

// after keeps the events in falling order, so that the next one is the last.
func (w *world) after(d time.Duration, run func()) {
	e := event{at: w.now + d, run: run}
	i, _ := slices.BinarySearchFunc(w.events, e, func(a, b event) int { return cmp.Compare(b.at, a.at) })
	w.events = slices.Insert(w.events, i, e)
}

// upTo draws a time, in half of the cases the longest or shortest, where faults hide.
func (w *world) upTo(d time.Duration) time.Duration {
	switch w.random.IntN(4) {
	case 0:
		return 0
	case 1:
		return d
	}
	return time.Duration(w.random.Int64N(int64(d) + 1))
}

func (w *world) skew() float64 { return []float64{-1, 0, 1}[w.random.IntN(3)] * w.timing.ClockDrift }

func (p *process) clock() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(p.world.now) * (1 + p.drift)))
}

// lease asks for or renews the lease; the platform's answer takes its time both ways.
func (p *process) lease() {
	w, asked := p.world, p.clock()
	p.last = w.now
	w.after(w.upTo(50*time.Millisecond), func() {
		if w.now >= w.ends {
			w.holder, w.fence = p.id, w.fence+1
		}
		mine, fence := w.holder == p.id, w.fence
		if mine {
			w.ends = w.now + time.Duration(float64(w.timing.TTL)/(1+w.drift))
		}
		w.after(w.upTo(50*time.Millisecond), func() {
			switch {
			case mine && p.planner.Fence() == fence:
				p.planner.MarkRenewed(asked)
			case mine:
				p.planner.MarkAcquired(asked, p.clock(), fence)
			default:
				p.planner.MarkLost()
			}
			p.step()
		})
	})
}

// arrive is an order or a read-back at the server.
func (w *world) arrive(job Job) Outcome {
	if w.fencing && job.Order.Fence < w.top {
		return OutcomeFenced
	}
	if job.Order.Fence < w.top {
		w.interleaved++
	}
	w.top = max(w.top, job.Order.Fence)
	w.applied++
	return OutcomeApplied
}

func (p *process) step() {
	w := p.world
	// A pause outside of the time between check and sending may have any length.
	if w.random.IntN(50) == 0 {
		w.after(w.upTo(3*w.timing.TTL), p.step)
		return
	}
	switch due := w.now-p.last > w.timing.TTL/3; {
	case p.planner.Fence() == 0, due && w.random.IntN(2) == 0:
		w.after(w.upTo(100*time.Millisecond), p.lease)
		return
	case due:
		// The renewal is lost, so that orders go out late in the lease.
		p.last = w.now
	}
	for p.planner.Pending() < 3 {
		_ = p.planner.Submit(Job{Server: "s", Fencing: w.fencing, Order: Order{Kind: KindRole, Role: "x"}})
	}
	a := p.planner.Next(p.clock())
	switch a.Step {
	case StepWait:
		w.after(w.upTo(w.timing.TTL/20)+time.Millisecond, p.step)
	case StepRead:
		w.after(w.upTo(w.timing.DeliveryTimeout), func() {
			w.top = max(w.top, a.Job.Order.Fence)
			p.planner.HandleState("s", a.Job.Order.Fence, EngineState{})
			p.step()
		})
	case StepSend:
		pause, travel, lost := w.upTo(w.pause), w.upTo(w.timing.DeliveryTimeout), w.random.IntN(4) == 0
		w.after(pause+travel, func() {
			outcome := w.arrive(a.Job)
			if !lost {
				p.planner.HandleOutcome(p.clock(), a.Job, outcome)
				p.step()
			}
		})
		if lost {
			w.after(pause+w.timing.DeliveryTimeout, func() {
				p.planner.HandleOutcome(p.clock(), a.Job, OutcomeUnknown)
				p.step()
			})
		}
	}
}

func run(schedule int64, fencing bool, pause int) *world {
	timing := DefaultTiming()
	timing.ClockDrift = 0.05
	w := &world{
		random:  rand.New(rand.NewPCG(uint64(schedule), 0)),
		timing:  timing,
		pause:   time.Duration(pause) * timing.MaxPause,
		fencing: fencing,
	}
	w.drift = w.skew()
	for id := range 3 {
		p := &process{
			world:   w,
			id:      id + 1,
			drift:   w.skew(),
			planner: NewPlanner(timing, 0, 1),
		}
		w.after(w.upTo(timing.TTL), p.step)
	}
	for len(w.events) > 0 && w.now < 10*time.Minute {
		e := w.events[len(w.events)-1]
		w.events, w.now = w.events[:len(w.events)-1], e.at
		e.run()
	}
	return w
}

// Guards against orders of two holders that interleave at a server that ignores fencing tokens, while clock drift,
// pauses and delays stay within their bounds, and at a server that checks them when the bounds are broken.
func TestHoldersDoNotInterleave(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = 150
	properties := gopter.NewProperties(parameters)
	holds := func(fencing bool, pause int) func(int64) bool {
		return func(schedule int64) bool {
			w := run(schedule, fencing, pause)
			return w.interleaved == 0 && w.applied > 0 && w.fence > 1
		}
	}
	properties.Property("ignoring server within the bounds", prop.ForAll(holds(false, 1), gen.Int64()))
	properties.Property("checking server within the bounds", prop.ForAll(holds(true, 1), gen.Int64()))
	properties.Property("checking server beyond the bounds", prop.ForAll(holds(true, 10), gen.Int64()))
	properties.TestingRun(t)
	// The schedules must be harsh enough to break the rule for servers without fencing when its bounds don't hold.
	broken := 0
	for schedule := range int64(100) {
		broken += run(schedule, false, 10).interleaved
	}
	if broken == 0 {
		t.Error("pauses beyond the bound never interleave; the schedules prove nothing")
	}
}
