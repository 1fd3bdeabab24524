package lacefleet

import (
	"context"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lacewingcove/lib/laceplatform"
)

// memoryStore is an in-memory platform store that several clients share; leases expire only by expireLease.
type memoryStore struct {
	mu               sync.Mutex
	revision         laceplatform.Revision
	lastLease        laceplatform.LeaseID
	leases           map[laceplatform.LeaseID]bool
	entries          map[laceplatform.Key]laceplatform.Entry
	watches          []*memoryWatch
	history          []laceplatform.Event
	historyRevisions []laceplatform.Revision
	calls            atomic.Int64
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		leases:  map[laceplatform.LeaseID]bool{},
		entries: map[laceplatform.Key]laceplatform.Entry{},
	}
}

type memoryWatch struct {
	prefix string
	events chan laceplatform.Event
	owner  *storeClient
}

func (w *memoryWatch) Events() <-chan laceplatform.Event { return w.events }
func (w *memoryWatch) Err() error                        { return laceplatform.ErrUnavailable }
func (w *memoryWatch) Close() error                      { return nil }

// storeClient is one instance's client of the store; it fails all calls while unavailable is set.
type storeClient struct {
	*memoryStore
	unavailable atomic.Bool
}

func (c *storeClient) checkAvailable() error {
	c.calls.Add(1)
	if c.unavailable.Load() {
		return laceplatform.ErrUnavailable
	}
	return nil
}

func (s *memoryStore) publish(e laceplatform.Event) {
	s.history = append(s.history, e)
	s.historyRevisions = append(s.historyRevisions, s.revision)
	for _, w := range s.watches {
		if strings.HasPrefix(string(e.Entry.Key), w.prefix) && !w.owner.unavailable.Load() {
			w.events <- e
		}
	}
}

// expireLease expires the lease of a key, which deletes the key.
func (s *memoryStore) expireLease(key laceplatform.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	delete(s.leases, e.Lease)
	delete(s.entries, key)
	s.revision++
	s.publish(laceplatform.Event{Entry: e, Deleted: true})
}

func (c *storeClient) Get(_ context.Context, key laceplatform.Key) (laceplatform.Entry, error) {
	if err := c.checkAvailable(); err != nil {
		return laceplatform.Entry{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[key]
	if !ok {
		return e, laceplatform.ErrMissing
	}
	return e, nil
}

func (c *storeClient) List(
	_ context.Context,
	prefix laceplatform.Key,
) ([]laceplatform.Entry, laceplatform.Revision, error) {
	if err := c.checkAvailable(); err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []laceplatform.Entry
	for k, e := range c.entries {
		if strings.HasPrefix(string(k), string(prefix)) {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, c.revision, nil
}

func (c *storeClient) Swap(_ context.Context, swap laceplatform.Swap) (laceplatform.Revision, error) {
	if err := c.checkAvailable(); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries[swap.Key].Revision != swap.Expect {
		return 0, laceplatform.ErrConflict
	}
	c.revision++
	e := laceplatform.Entry{
		Key:      swap.Key,
		Value:    swap.Value,
		Revision: c.revision,
		Lease:    swap.Lease,
	}
	c.entries[swap.Key] = e
	c.publish(laceplatform.Event{Entry: e})
	return c.revision, nil
}

func (c *storeClient) Delete(context.Context, laceplatform.Key, laceplatform.Revision) error {
	return c.checkAvailable()
}

func (c *storeClient) Lease(context.Context, time.Duration) (laceplatform.LeaseID, error) {
	if err := c.checkAvailable(); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastLease++
	c.leases[c.lastLease] = true
	return c.lastLease, nil
}

func (c *storeClient) Renew(_ context.Context, lease laceplatform.LeaseID) error {
	if err := c.checkAvailable(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leases[lease] {
		return laceplatform.ErrLeaseNotFound
	}
	return nil
}

func (c *storeClient) Revoke(context.Context, laceplatform.LeaseID) error { return c.checkAvailable() }

func (c *storeClient) Watch(
	_ context.Context,
	prefix laceplatform.Key,
	after laceplatform.Revision,
) (laceplatform.Watch, error) {
	if err := c.checkAvailable(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &memoryWatch{
		prefix: string(prefix),
		events: make(chan laceplatform.Event, 4096),
		owner:  c,
	}
	for i, e := range c.history {
		if c.historyRevisions[i] > after && strings.HasPrefix(string(e.Entry.Key), w.prefix) {
			w.events <- e
		}
	}
	c.watches = append(c.watches, w)
	return w, nil
}
