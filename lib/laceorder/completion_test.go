package laceorder

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

func loadWithID(id ID) Job {
	j := load("s", string(id), 0)
	j.ID = id
	return j
}

// Guards against an order that gets the outcome of one that was canceled in flight, and against a canceled order that
// is reported as not applied although it may have been.
func TestPlannerCancelsOrders(t *testing.T) {
	p := NewPlanner(DefaultTiming(), 0, 1)
	for _, id := range []ID{"a", "b", "a"} {
		if err := p.Submit(loadWithID(id)); err != nil {
			t.Fatal(err)
		}
	}
	if p.Pending() != 2 {
		t.Fatalf("%d orders are queued, want each id once", p.Pending())
	}
	p.MarkAcquired(at(0), at(0), 7)
	p.HandleState("s", 7, EngineState{})
	a := p.Next(at(0))
	if a.Step != StepSend || a.Job.ID != "a" {
		t.Fatalf("got %+v", a)
	}
	if !p.Cancel("s", "a") {
		t.Error("an order in flight is reported as not applied")
	}
	p.HandleOutcome(at(0), a.Job, OutcomeApplied)
	if !p.IsQueued("s", "b") {
		t.Error("the next order got the outcome of the canceled one")
	}
	b := p.Next(at(0))
	p.HandleOutcome(at(0), b.Job, OutcomeUnknown)
	if r := p.Next(at(3 * time.Second)); r.Step != StepRead {
		t.Fatalf("got %+v", r)
	}
	p.HandleState("s", 7, EngineState{})
	if p.Cancel("s", "b") {
		t.Error("an order is reported as possibly applied although the state read shows that it was not")
	}
}

// unresponsiveEngine does not respond to an order until the context ends.
type unresponsiveEngine struct{ called chan struct{} }

func (unresponsiveEngine) ReadState(context.Context, laceunit.Address) (EngineState, error) {
	return EngineState{}, nil
}

func (e unresponsiveEngine) SendOrder(ctx context.Context, _ laceunit.Address, _ Order) (Outcome, error) {
	e.called <- struct{}{}
	<-ctx.Done()
	return OutcomeUnknown, ctx.Err()
}

// Guards against a caller that waits forever, and against ErrNotApplied for an order that is in flight.
func TestDoReturnsWhenContextEnds(t *testing.T) {
	e := unresponsiveEngine{called: make(chan struct{}, 1)}
	s := New(&fakeStore{}, e, laceunit.Holder{Instance: "a", Incarnation: 1})
	canceledCtx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Do(canceledCtx, loadWithID("a")); !errors.Is(err, ErrNotApplied) {
		t.Fatalf("canceled before the order was sent: got %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx) }()
	callerCtx, cancelCaller := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Do(callerCtx, loadWithID("b")) }()
	<-e.called
	cancelCaller()
	if err := <-done; !errors.Is(err, ErrUnknown) {
		t.Errorf("canceled while the order is in flight: got %v", err)
	}
	cancel()
	<-served
}
