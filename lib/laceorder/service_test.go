package laceorder

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// platform keeps one key; the answer to the first swap is lost after it took effect.
type platform struct {
	laceplatform.Store
	mu       sync.Mutex
	entry    laceplatform.Entry
	lease    laceplatform.LeaseID
	revision laceplatform.Revision
}

func (p *platform) Get(context.Context, laceplatform.Key) (laceplatform.Entry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entry.Revision == 0 {
		return p.entry, laceplatform.ErrMissing
	}
	return p.entry, nil
}

func (p *platform) Swap(_ context.Context, s laceplatform.Swap) (laceplatform.Revision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entry.Revision != s.Expect {
		return 0, laceplatform.ErrConflict
	}
	p.revision++
	p.entry = laceplatform.Entry{Key: s.Key, Value: s.Value, Revision: p.revision, Lease: s.Lease}
	if p.revision == 1 {
		return 0, laceplatform.ErrUnknown
	}
	return p.revision, nil
}

func (p *platform) Lease(context.Context, time.Duration) (laceplatform.LeaseID, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lease++
	return p.lease, nil
}

func (p *platform) Renew(context.Context, laceplatform.LeaseID) error { return nil }

func (p *platform) Revoke(_ context.Context, lease laceplatform.LeaseID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entry.Lease == lease {
		p.entry = laceplatform.Entry{}
	}
	return nil
}

// engine applies orders and records calls.
type engine struct {
	mu    sync.Mutex
	calls []laceunit.Fence
	done  chan struct{}
}

func (e *engine) ReadState(context.Context, laceunit.Address) (EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, 0)
	return EngineState{}, nil
}

func (e *engine) SendOrder(_ context.Context, _ laceunit.Address, o Order) (Outcome, error) {
	e.mu.Lock()
	e.calls = append(e.calls, o.Fence)
	e.mu.Unlock()
	e.done <- struct{}{}
	return OutcomeApplied, nil
}

// Guards against a holder that keeps the lease after its last order, sends before it has read back, takes a lost
// answer for a lost election, or outlives its context.
func TestServicesTakeTurns(t *testing.T) {
	store, e := &platform{}, &engine{done: make(chan struct{}, 2)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	for _, id := range []laceunit.InstanceID{"a", "b"} {
		s := New(store, e, laceunit.Holder{Instance: id, Incarnation: 1}, WithTiming(Timing{
			TTL:             3 * time.Second,
			ClockDrift:      0.01,
			MaxPause:        time.Second,
			DeliveryTimeout: 10 * time.Millisecond,
		}))
		if err := s.Submit(Job{Server: "s", Order: Order{Kind: KindRole, Role: "r"}}); err != nil {
			t.Fatal(err)
		}
		go func() { ended <- s.Serve(ctx) }()
	}
	<-e.done
	<-e.done
	cancel()
	for range 2 {
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Fatalf("got %v", err)
		}
	}
	if len(e.calls) != 4 || e.calls[0] != 0 || e.calls[1] != 1 || e.calls[2] != 0 || e.calls[3] != 2 {
		t.Fatalf("calls %v; want a read-back and an order under each token", e.calls)
	}
}
