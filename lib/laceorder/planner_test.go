package laceorder

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func load(server, model string, cost int) Job {
	return Job{
		Server:  laceunit.ServerID(server),
		Fencing: true,
		Order:   Order{Kind: KindLoad, Model: laceunit.ModelID(model)},
		Cost:    cost,
	}
}

// Guards against a holder that sends before it has read back, repeats what is done, repeats an unknown order before it
// can have arrived, or goes on after a refused token.
func TestPlannerReadsBack(t *testing.T) {
	p := NewPlanner(DefaultTiming(), 0, 1)
	for _, m := range []string{"a", "b"} {
		if err := p.Submit(load("s", m, 1)); err != nil {
			t.Fatal(err)
		}
	}
	if a := p.Next(at(0)); a.Step != StepWait {
		t.Fatalf("acts without a lease: %+v", a)
	}
	p.MarkAcquired(at(0), at(0), 7)
	if a := p.Next(at(0)); a.Step != StepRead {
		t.Fatalf("got %+v", a)
	}
	p.HandleState("s", 6, EngineState{Models: []laceunit.ModelID{"a", "b"}})
	if a := p.Next(at(0)); a.Step != StepRead {
		t.Fatalf("a read-back of another tenure counts: %+v", a)
	}
	p.HandleState("s", 7, EngineState{Models: []laceunit.ModelID{"a"}})
	p.MarkLost()
	p.MarkAcquired(at(0), at(0), 8)
	if a := p.Next(at(0)); a.Step != StepRead {
		t.Fatalf("the read-back of the last tenure counts: %+v", a)
	}
	p.HandleState("s", 8, EngineState{})
	a := p.Next(at(0))
	if a.Step != StepSend || a.Job.Order.Model != "b" || a.Job.Order.Fence != 8 {
		t.Fatalf("got %+v", a)
	}
	p.HandleOutcome(at(0), a.Job, OutcomeUnknown)
	if w := p.Next(at(time.Second)); w.Step != StepWait || w.At.Before(at(2*time.Second)) {
		t.Fatalf("got %+v", w)
	}
	if r := p.Next(at(3 * time.Second)); r.Step != StepRead {
		t.Fatalf("got %+v", r)
	}
	p.HandleOutcome(at(3*time.Second), a.Job, OutcomeFenced)
	if p.Fence() != 0 || p.Next(at(4*time.Second)).Step != StepWait {
		t.Fatal("goes on after a refused token")
	}
}

// Guards against loads that exceed the weight store's rate, and a queue of orders without a bound.
func TestPlannerPaces(t *testing.T) {
	p := NewPlanner(DefaultTiming(), 2, 4)
	for n := range 40 {
		if err := p.Submit(load("s", fmt.Sprint(n), 2)); err != nil {
			t.Fatal(err)
		}
	}
	sent := 0
	for d := time.Duration(0); d <= 10*time.Second; d += 10 * time.Millisecond {
		p.MarkAcquired(at(d), at(d), 1)
		switch a := p.Next(at(d)); a.Step {
		case StepRead:
			p.HandleState("s", 1, EngineState{})
		case StepSend:
			sent++
			p.HandleOutcome(at(d), a.Job, OutcomeApplied)
		case StepWait:
		}
	}
	// 4 at once and 2 per second for 10 s pay for 12 loads of 2.
	if sent < 11 || sent > 12 {
		t.Fatalf("%d loads sent", sent)
	}
	var err error
	for n := 0; n < maxJobs+1 && err == nil; n++ {
		err = p.Submit(load("other", "m", 1))
	}
	if !errors.Is(err, ErrQueueFull) {
		t.Fatalf("got %v", err)
	}
}

// Guards against a window that leaves out a slow own clock, a fast platform clock, a pause, or the time that the lease
// request took; each costs less than the schedules of the property are sure to hit.
func TestTenureKeepsTheMargin(t *testing.T) {
	for _, timing := range []Timing{
		DefaultTiming(),
		{TTL: 10 * time.Second, ClockDrift: 0.05, MaxPause: 3 * time.Second, DeliveryTimeout: 2 * time.Second},
		{TTL: time.Minute, ClockDrift: 0.2, MaxPause: time.Second, DeliveryTimeout: 5 * time.Second},
	} {
		tenure := LeaseState{Timing: timing}
		tenure.MarkAcquired(at(0), at(time.Second), 1)
		var first, last time.Duration
		for d := time.Duration(0); d < 2*timing.TTL; d += time.Millisecond {
			if tenure.MaySend(at(d), false) {
				if first == 0 {
					first = d
				}
				last = d
			}
		}
		leaves := last.Seconds()/(1-timing.ClockDrift) + timing.MaxPause.Seconds()
		lapses := timing.TTL.Seconds() / (1 + timing.ClockDrift)
		if leaves > lapses || leaves < lapses-0.01 {
			t.Errorf("%+v: an order leaves at %.3f s, the lease can lapse at %.3f s", timing, leaves, lapses)
		}
		waited := (first - time.Second).Seconds() / (1 + timing.ClockDrift)
		if waited < timing.DeliveryTimeout.Seconds() || waited > timing.DeliveryTimeout.Seconds()+0.01 {
			t.Errorf("%+v: waits %.3f s for earlier orders", timing, waited)
		}
	}
}
