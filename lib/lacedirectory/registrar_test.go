package lacedirectory

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
)

// leaseStore is a store with one entry, whose calls the test counts.
type leaseStore struct {
	laceplatform.Store

	mu       sync.Mutex
	lives    []time.Duration
	renewed  int
	read     int
	revision laceplatform.Revision
	holder   laceplatform.LeaseID
	ended    laceplatform.LeaseID
}

// Lease implements laceplatform.Store.
func (s *leaseStore) Lease(_ context.Context, life time.Duration) (laceplatform.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives = append(s.lives, life)
	return laceplatform.LeaseID(len(s.lives)), nil
}

// Get implements laceplatform.Store.
func (s *leaseStore) Get(context.Context, laceplatform.Key) (laceplatform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read++
	return laceplatform.Entry{}, laceplatform.ErrMissing
}

// Renew implements laceplatform.Store.
func (s *leaseStore) Renew(_ context.Context, lease laceplatform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewed++
	if lease != s.holder {
		return laceplatform.ErrLeaseGone
	}
	return nil
}

// Swap implements laceplatform.Store.
func (s *leaseStore) Swap(_ context.Context, x laceplatform.Swap) (laceplatform.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.Expect != s.revision {
		return 0, laceplatform.ErrConflict
	}
	s.revision++
	s.holder = x.Lease
	return s.revision, nil
}

// Revoke implements laceplatform.Store.
func (s *leaseStore) Revoke(_ context.Context, lease laceplatform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = lease
	return nil
}

func registrar(store laceplatform.Store, ready *atomic.Bool) *Registrar {
	return NewRegistrar("member/", fleet("r", 1, 1, 1, 0)[0], store, lacelog.Discard(), ready.Load)
}

// Guards against an early renewal that lists an instance which is not ready, or one that has withdrawn, and against one that
// does not show whether the store is within reach.
func TestRenewListsNoInstanceThatTakesNoCallers(t *testing.T) {
	store, ready := &leaseStore{}, &atomic.Bool{}
	r := registrar(store, ready)
	r.Renew(t.Context())
	if len(store.lives) != 0 || store.read != 1 {
		t.Errorf("an instance that is not ready has %d leases and has asked the store %d times", len(store.lives), store.read)
	}
	ready.Store(true)
	r.Renew(t.Context())
	if store.revision != 1 {
		t.Errorf("entry at revision %d of an instance that is ready", store.revision)
	}
	if err := r.Deregister(t.Context()); err != nil || store.ended != store.holder {
		t.Fatalf("lease %d was ended, the entry stands under %d: %v", store.ended, store.holder, err)
	}
	r.Renew(t.Context())
	if store.revision != 1 || store.renewed != 0 {
		t.Error("an entry was renewed after it was withdrawn")
	}
}

// Guards against early renewals that meet the registrar's own while the entry moves to another lease: the entry must stay
// under a lease that is renewed, and move once.
func TestRenewWhileTheEntryMoves(t *testing.T) {
	store, ready := &leaseStore{}, &atomic.Bool{}
	ready.Store(true)
	r := registrar(store, ready)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = r.Serve(ctx) })
	const rounds = 20
	for i := range rounds {
		r.SetStandby(i%2 == 0)
		for range 4 {
			running.Go(func() { r.Renew(ctx) })
		}
		r.Renew(ctx)
	}
	cancel()
	running.Wait()
	if r.lease != store.holder || r.moving {
		t.Errorf("lease %d is renewed, the entry stands under %d", r.lease, store.holder)
	}
	if n := len(store.lives); n > rounds+1 {
		t.Errorf("%d leases for %d changes", n, rounds)
	}
	if life := store.lives[len(store.lives)-1]; life != leaseTime {
		t.Errorf("the entry of an instance that takes callers lives for %s", life)
	}
}
