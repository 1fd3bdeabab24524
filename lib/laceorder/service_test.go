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

// fakeStore stores one key. The first swap takes effect, but its response is lost.
type fakeStore struct {
	laceplatform.Store
	mu        sync.Mutex
	entry     laceplatform.Entry
	lastLease laceplatform.LeaseID
	revision  laceplatform.Revision
}

func (f *fakeStore) Get(context.Context, laceplatform.Key) (laceplatform.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.entry.Revision == 0 {
		return f.entry, laceplatform.ErrMissing
	}
	return f.entry, nil
}

func (f *fakeStore) Swap(_ context.Context, s laceplatform.Swap) (laceplatform.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.entry.Revision != s.Expect {
		return 0, laceplatform.ErrConflict
	}
	f.revision++
	f.entry = laceplatform.Entry{Key: s.Key, Value: s.Value, Revision: f.revision, Lease: s.Lease}
	if f.revision == 1 {
		return 0, laceplatform.ErrUnknown
	}
	return f.revision, nil
}

func (f *fakeStore) Lease(context.Context, time.Duration) (laceplatform.LeaseID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastLease++
	return f.lastLease, nil
}

func (f *fakeStore) Renew(context.Context, laceplatform.LeaseID) error { return nil }

func (f *fakeStore) Revoke(_ context.Context, lease laceplatform.LeaseID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.entry.Lease == lease {
		f.entry = laceplatform.Entry{}
	}
	return nil
}

// recordingEngine applies all orders and records the calls; a state read is recorded as fencing token zero.
type recordingEngine struct {
	mu      sync.Mutex
	calls   []laceunit.Fence
	applied chan struct{}
}

func (e *recordingEngine) ReadState(context.Context, laceunit.Address) (EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, 0)
	return EngineState{}, nil
}

func (e *recordingEngine) SendOrder(_ context.Context, _ laceunit.Address, o Order) (Outcome, error) {
	e.mu.Lock()
	e.calls = append(e.calls, o.Fence)
	e.mu.Unlock()
	e.applied <- struct{}{}
	return OutcomeApplied, nil
}

// Guards against a lease holder that keeps the lease after its last order, sends before it has read the state, treats a
// lost response as a failed acquisition, or runs on after its context has ended.
func TestServicesHandOverLease(t *testing.T) {
	store, e := &fakeStore{}, &recordingEngine{applied: make(chan struct{}, 2)}
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
	<-e.applied
	<-e.applied
	cancel()
	for range 2 {
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Fatalf("got %v", err)
		}
	}
	if len(e.calls) != 4 || e.calls[0] != 0 || e.calls[1] != 1 || e.calls[2] != 0 || e.calls[3] != 2 {
		t.Fatalf("calls %v; want a state read and an order under each fencing token", e.calls)
	}
}
