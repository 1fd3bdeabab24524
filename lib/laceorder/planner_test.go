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

// Guards against a lease holder that sends before it has read the state, repeats an applied order, repeats an order
// with an unknown outcome while it may still arrive, or continues after its fencing token was rejected.
func TestPlannerReadsStateBeforeSending(t *testing.T) {
	p := NewPlanner(DefaultTiming(), 0, 1)
	for _, m := range []string{"a", "b"} {
		if err := p.Submit(load("s", m, 1)); err != nil {
			t.Fatal(err)
		}
	}
	if a := p.Next(at(0)); a.Step != StepWait {
		t.Fatalf("acts without the lease: %+v", a)
	}
	p.MarkAcquired(at(0), at(0), 7)
	if a := p.Next(at(0)); a.Step != StepRead {
		t.Fatalf("got %+v", a)
	}
	p.HandleState("s", 6, EngineState{Models: []laceunit.ModelID{"a", "b"}})
	if a := p.Next(at(0)); a.Step != StepRead {
		t.Fatalf("a state read under another fencing token was accepted: %+v", a)
	}
	p.HandleState("s", 7, EngineState{Models: []laceunit.ModelID{"a"}})
	p.MarkLost()
	p.MarkAcquired(at(0), at(0), 8)
	if a := p.Next(at(0)); a.Step != StepRead {
		t.Fatalf("the state read under the previous fencing token is still used: %+v", a)
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
		t.Fatal("continues after the fencing token was rejected")
	}
}

// Guards against loads that exceed the rate limit of the weight store, and against an unbounded queue of orders.
func TestPlannerLimitsLoadRateAndQueue(t *testing.T) {
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
	// A burst of 4 tokens and 2 per second for 10 s allow 12 loads of 2 tokens.
	if sent < 11 || sent > 12 {
		t.Fatalf("%d loads sent", sent)
	}
	var err error
	for n := 0; n < maxQueuedJobs+1 && err == nil; n++ {
		err = p.Submit(load("other", "m", 1))
	}
	if !errors.Is(err, ErrQueueFull) {
		t.Fatalf("got %v", err)
	}
}

// Guards against a send window that ignores a slow local clock, a fast platform clock, a pause, or the duration of the
// lease request. Each of these errors is too small to be found reliably by the random schedules of the property test.
func TestSendWindowEndsBeforeLease(t *testing.T) {
	for _, timing := range []Timing{
		DefaultTiming(),
		{TTL: 10 * time.Second, ClockDrift: 0.05, MaxPause: 3 * time.Second, DeliveryTimeout: 2 * time.Second},
		{TTL: time.Minute, ClockDrift: 0.2, MaxPause: time.Second, DeliveryTimeout: 5 * time.Second},
	} {
		lease := LeaseState{Timing: timing}
		lease.MarkAcquired(at(0), at(time.Second), 1)
		var first, last time.Duration
		for d := time.Duration(0); d < 2*timing.TTL; d += time.Millisecond {
			if lease.MaySend(at(d), false) {
				if first == 0 {
					first = d
				}
				last = d
			}
		}
		lastSentAt := last.Seconds()/(1-timing.ClockDrift) + timing.MaxPause.Seconds()
		expiresAt := timing.TTL.Seconds() / (1 + timing.ClockDrift)
		if lastSentAt > expiresAt || lastSentAt < expiresAt-0.01 {
			t.Errorf("%+v: an order is sent at %.3f s, the lease can expire at %.3f s", timing, lastSentAt, expiresAt)
		}
		waited := (first - time.Second).Seconds() / (1 + timing.ClockDrift)
		if waited < timing.DeliveryTimeout.Seconds() || waited > timing.DeliveryTimeout.Seconds()+0.01 {
			t.Errorf("%+v: waits %.3f s for earlier orders to drain", timing, waited)
		}
	}
}
