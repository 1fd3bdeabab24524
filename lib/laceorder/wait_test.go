package laceorder

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

func named(id ID) Job {
	j := load("s", string(id), 0)
	j.ID = id
	return j
}

// Guards against an order that takes the outcome of one that was withdrawn while it was under way, and against a
// withdrawn order that is reported as not carried out although it may have been.
func TestPlannerWithdraws(t *testing.T) {
	p := NewPlanner(DefaultTiming(), 0, 1)
	for _, id := range []ID{"a", "b", "a"} {
		if err := p.Submit(named(id)); err != nil {
			t.Fatal(err)
		}
	}
	if p.Pending() != 2 {
		t.Fatalf("%d orders wait, want each id once", p.Pending())
	}
	p.MarkAcquired(at(0), at(0), 7)
	p.HandleState("s", 7, EngineState{})
	a := p.Next(at(0))
	if a.Step != StepSend || a.Job.ID != "a" {
		t.Fatalf("got %+v", a)
	}
	if !p.Cancel("s", "a") {
		t.Error("an order under way counts as not carried out")
	}
	p.HandleOutcome(at(0), a.Job, OutcomeApplied)
	if !p.IsQueued("s", "b") {
		t.Error("the next order took the outcome of the withdrawn one")
	}
	b := p.Next(at(0))
	p.HandleOutcome(at(0), b.Job, OutcomeUnknown)
	if r := p.Next(at(3 * time.Second)); r.Step != StepRead {
		t.Fatalf("got %+v", r)
	}
	p.HandleState("s", 7, EngineState{})
	if p.Cancel("s", "b") {
		t.Error("an order that the read-back disproves counts as perhaps carried out")
	}
}

// silent is an engine that answers no order before the context ends.
type silent struct{ called chan struct{} }

func (silent) ReadState(context.Context, laceunit.Address) (EngineState, error) {
	return EngineState{}, nil
}

func (s silent) SendOrder(ctx context.Context, _ laceunit.Address, _ Order) (Outcome, error) {
	s.called <- struct{}{}
	<-ctx.Done()
	return OutcomeUnknown, ctx.Err()
}

// Guards against a caller that waits for ever, or is told that nothing was done while its order is under way.
func TestDoEndsWithItsContext(t *testing.T) {
	e := silent{called: make(chan struct{}, 1)}
	s := New(&platform{}, e, laceunit.Holder{Instance: "a", Incarnation: 1})
	early, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Do(early, named("a")); !errors.Is(err, ErrNotApplied) {
		t.Fatalf("before it was sent: got %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	later, give := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Do(later, named("b")) }()
	<-e.called
	give()
	if err := <-done; !errors.Is(err, ErrUnknown) {
		t.Errorf("under way: got %v", err)
	}
	cancel()
	<-ended
}
