package lacewriter

import (
	"context"
	"math/rand"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lacewingcove/lib/laceplatform"
)

// memoryStore is an in-memory laceplatform.Store with fault injection.
type memoryStore struct {
	mu       sync.Mutex
	revision laceplatform.Revision
	entries  map[laceplatform.Key]laceplatform.Entry
	leases   map[laceplatform.LeaseID]bool
	watches  []*memoryWatch
	// writerEvents holds the events of the writer keys, so that a watch can start at an earlier revision.
	writerEvents []laceplatform.Event
	// random selects the faults; nil disables fault injection.
	random *rand.Rand
	// faultPercent is the probability of a fault per call, in percent.
	faultPercent int
	// delayedSwaps holds compare-and-swaps that returned ErrUnknown and have not been applied yet.
	delayedSwaps []laceplatform.Swap
	// latency is the duration of a call; jitter up to doubles it.
	latency time.Duration
	jitter  bool
	calls   atomic.Int64
	// down makes every call fail.
	down bool
	// reads and writes count the calls, bytes the size of the written values.
	reads, writes, bytes int
	// onWrite is called for every compare-and-swap that takes effect.
	onWrite func(laceplatform.Entry)
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		entries: map[laceplatform.Key]laceplatform.Entry{},
		leases:  map[laceplatform.LeaseID]bool{},
	}
}

// beginCall waits for the latency and acquires the lock. It reports whether the request is lost before it takes effect,
// or its response afterwards.
func (m *memoryStore) beginCall(ctx context.Context) (requestLost, responseLost bool, err error) {
	if latency := m.latency; latency > 0 {
		if n := m.calls.Add(1); m.jitter {
			latency += latency * time.Duration(n*7919%997) / 997
		}
		select {
		case <-ctx.Done():
			m.mu.Lock()
			return false, false, laceplatform.ErrUnavailable
		case <-time.After(latency):
		}
	}
	m.mu.Lock()
	if m.down {
		return false, false, laceplatform.ErrUnavailable
	}
	if m.random == nil {
		return false, false, nil
	}
	// A delayed compare-and-swap may be applied before any later call.
	for i := 0; i < len(m.delayedSwaps); i++ {
		if m.random.Intn(3) == 0 {
			s := m.delayedSwaps[i]
			m.delayedSwaps = append(m.delayedSwaps[:i], m.delayedSwaps[i+1:]...)
			_, _ = m.applySwap(s)
		}
	}
	if m.random.Intn(100) >= m.faultPercent {
		return false, false, nil
	}
	switch m.random.Intn(3) {
	case 0:
		return false, false, laceplatform.ErrUnavailable
	case 1:
		return true, false, nil
	default:
		return false, true, nil
	}
}

func (m *memoryStore) applySwap(s laceplatform.Swap) (laceplatform.Revision, error) {
	if m.entries[s.Key].Revision != s.Expect {
		return 0, laceplatform.ErrConflict
	}
	if s.Lease != 0 && !m.leases[s.Lease] {
		return 0, laceplatform.ErrLeaseNotFound
	}
	m.revision++
	e := laceplatform.Entry{Key: s.Key, Value: s.Value, Revision: m.revision, Lease: s.Lease}
	m.entries[s.Key] = e
	m.notify(laceplatform.Event{Entry: e})
	if m.onWrite != nil {
		m.onWrite(e)
	}
	return m.revision, nil
}

func (m *memoryStore) Get(ctx context.Context, key laceplatform.Key) (laceplatform.Entry, error) {
	requestLost, responseLost, err := m.beginCall(ctx)
	defer m.mu.Unlock()
	m.reads++
	if err != nil || requestLost || responseLost {
		return laceplatform.Entry{}, laceplatform.ErrUnavailable
	}
	e, ok := m.entries[key]
	if !ok {
		return e, laceplatform.ErrMissing
	}
	return e, nil
}

func (m *memoryStore) List(
	ctx context.Context, prefix laceplatform.Key,
) ([]laceplatform.Entry, laceplatform.Revision, error) {
	requestLost, responseLost, err := m.beginCall(ctx)
	defer m.mu.Unlock()
	m.reads++
	if err != nil || requestLost || responseLost {
		return nil, 0, laceplatform.ErrUnavailable
	}
	var list []laceplatform.Entry
	for k, e := range m.entries {
		if strings.HasPrefix(string(k), string(prefix)) {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, m.revision, nil
}

func (m *memoryStore) Swap(ctx context.Context, s laceplatform.Swap) (laceplatform.Revision, error) {
	requestLost, responseLost, err := m.beginCall(ctx)
	defer m.mu.Unlock()
	m.writes++
	m.bytes += len(s.Value)
	switch {
	case err != nil:
		return 0, err
	case len(s.Value) > laceplatform.MaxValueBytes:
		return 0, laceplatform.ErrTooLarge
	case requestLost:
		m.delayedSwaps = append(m.delayedSwaps, s)
		return 0, laceplatform.ErrUnknown
	}
	r, err := m.applySwap(s)
	if responseLost {
		return 0, laceplatform.ErrUnknown
	}
	return r, err
}

func (m *memoryStore) Delete(ctx context.Context, key laceplatform.Key, expect laceplatform.Revision) error {
	_, _, err := m.beginCall(ctx)
	defer m.mu.Unlock()
	m.writes++
	if err != nil {
		return err
	}
	return m.deleteKey(key, expect)
}

func (m *memoryStore) deleteKey(key laceplatform.Key, expect laceplatform.Revision) error {
	e, ok := m.entries[key]
	if !ok || e.Revision != expect {
		return laceplatform.ErrConflict
	}
	m.revision++
	delete(m.entries, key)
	m.notify(laceplatform.Event{Entry: laceplatform.Entry{Key: key, Revision: m.revision}, Deleted: true})
	return nil
}

func (m *memoryStore) Lease(ctx context.Context, _ time.Duration) (laceplatform.LeaseID, error) {
	_, _, err := m.beginCall(ctx)
	defer m.mu.Unlock()
	if err != nil {
		return 0, err
	}
	m.revision++
	id := laceplatform.LeaseID(m.revision)
	m.leases[id] = true
	return id, nil
}

func (m *memoryStore) Renew(ctx context.Context, lease laceplatform.LeaseID) error {
	_, _, err := m.beginCall(ctx)
	defer m.mu.Unlock()
	if err != nil {
		return err
	}
	if !m.leases[lease] {
		return laceplatform.ErrLeaseNotFound
	}
	return nil
}

func (m *memoryStore) Revoke(ctx context.Context, lease laceplatform.LeaseID) error {
	_, _, err := m.beginCall(ctx)
	defer m.mu.Unlock()
	if err != nil {
		return err
	}
	m.expire(lease)
	return nil
}

// expire ends a lease and removes its keys.
func (m *memoryStore) expire(lease laceplatform.LeaseID) {
	delete(m.leases, lease)
	for k, e := range m.entries {
		if e.Lease == lease {
			_ = m.deleteKey(k, e.Revision)
		}
	}
}

type memoryWatch struct {
	store  *memoryStore
	prefix string
	events chan laceplatform.Event
}

func (m *memoryStore) Watch(
	ctx context.Context, prefix laceplatform.Key, after laceplatform.Revision,
) (laceplatform.Watch, error) {
	_, _, err := m.beginCall(ctx)
	defer m.mu.Unlock()
	if err != nil {
		return nil, err
	}
	w := &memoryWatch{store: m, prefix: string(prefix), events: make(chan laceplatform.Event, 1024)}
	for _, e := range m.writerEvents {
		if e.Entry.Revision > after && strings.HasPrefix(string(e.Entry.Key), w.prefix) {
			w.events <- e
		}
	}
	m.watches = append(m.watches, w)
	return w, nil
}

func (m *memoryStore) notify(e laceplatform.Event) {
	if strings.HasPrefix(string(e.Entry.Key), string(writerPrefix)) {
		m.writerEvents = append(m.writerEvents, e)
	}
	for _, w := range m.watches {
		if strings.HasPrefix(string(e.Entry.Key), w.prefix) {
			w.events <- e
		}
	}
}

func (w *memoryWatch) Events() <-chan laceplatform.Event { return w.events }

func (w *memoryWatch) Err() error { return laceplatform.ErrUnavailable }

func (w *memoryWatch) Close() error {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	for i, o := range w.store.watches {
		if o == w {
			w.store.watches = append(w.store.watches[:i], w.store.watches[i+1:]...)
			break
		}
	}
	return nil
}
