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

// leaseStore is a store with one entry that counts the calls to it.
type leaseStore struct {
	laceplatform.Store

	mu       sync.Mutex
	ttls     []time.Duration
	renewals int
	reads    int
	revision laceplatform.Revision
	holder   laceplatform.LeaseID
	revoked  laceplatform.LeaseID
}

// Lease implements laceplatform.Store.
func (s *leaseStore) Lease(_ context.Context, ttl time.Duration) (laceplatform.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ttls = append(s.ttls, ttl)
	return laceplatform.LeaseID(len(s.ttls)), nil
}

// Get implements laceplatform.Store.
func (s *leaseStore) Get(context.Context, laceplatform.Key) (laceplatform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return laceplatform.Entry{}, laceplatform.ErrMissing
}

// Renew implements laceplatform.Store.
func (s *leaseStore) Renew(_ context.Context, lease laceplatform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewals++
	if lease != s.holder {
		return laceplatform.ErrLeaseNotFound
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
	s.revoked = lease
	return nil
}

func newTestRegistrar(store laceplatform.Store, ready *atomic.Bool) *Registrar {
	return NewRegistrar("member/", fleet("r", 1, 1, 1, 0)[0], store, lacelog.Discard(), ready.Load)
}

// Guards against an early renewal that registers an instance that is not ready or has deregistered, and against one
// that does not probe the store.
func TestRenewRegistersOnlyReadyInstance(t *testing.T) {
	store, ready := &leaseStore{}, &atomic.Bool{}
	r := newTestRegistrar(store, ready)
	r.Renew(t.Context())
	if len(store.ttls) != 0 || store.reads != 1 {
		t.Errorf("an instance that is not ready has %d leases and has read its entry %d times",
			len(store.ttls), store.reads)
	}
	ready.Store(true)
	r.Renew(t.Context())
	if store.revision != 1 {
		t.Errorf("the entry of an instance that is ready is at revision %d", store.revision)
	}
	if err := r.Deregister(t.Context()); err != nil || store.revoked != store.holder {
		t.Fatalf("lease %d was revoked, the entry is under lease %d: %v", store.revoked, store.holder, err)
	}
	r.Renew(t.Context())
	if store.revision != 1 || store.renewals != 0 {
		t.Error("an entry was renewed after it was deregistered")
	}
}

// Guards against early renewals that run concurrently with the registrar's own while the entry moves to another
// lease: the entry must end up under the lease that is renewed, and move only once.
func TestRenewDuringLeaseChange(t *testing.T) {
	store, ready := &leaseStore{}, &atomic.Bool{}
	ready.Store(true)
	r := newTestRegistrar(store, ready)
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
	if r.lease != store.holder || r.leaseOutdated {
		t.Errorf("lease %d is renewed, the entry is under lease %d", r.lease, store.holder)
	}
	if n := len(store.ttls); n > rounds+1 {
		t.Errorf("%d leases for %d role changes", n, rounds)
	}
	if ttl := store.ttls[len(store.ttls)-1]; ttl != activeLeaseTTL {
		t.Errorf("the entry of an active instance has a TTL of %s", ttl)
	}
}
