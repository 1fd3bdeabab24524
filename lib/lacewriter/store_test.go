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

// memory is a platform in memory whose calls can fail in the ways that the platform's do.
type memory struct {
	mu       sync.Mutex
	revision laceplatform.Revision
	entries  map[laceplatform.Key]laceplatform.Entry
	leases   map[laceplatform.LeaseID]bool
	watches  []*watch
	// history holds the events of the writer keys, so that a watch can start at an earlier revision.
	history []laceplatform.Event
	// random draws the faults; without it there are none.
	random *rand.Rand
	// faults is the chance of a fault per call, in percent.
	faults int
	// late holds swaps that have been answered with ErrUnknown and have yet to reach the store.
	late []laceplatform.Swap
	// latency is the time that a call takes; jitter adds up to as much again.
	latency time.Duration
	jitter  bool
	calls   atomic.Int64
	// down makes every call fail.
	down bool
	// reads, writes and bytes count the calls and what they write.
	reads, writes, bytes int
	// written is told of every swap that takes effect.
	written func(laceplatform.Entry)
}

func newMemory() *memory {
	return &memory{
		entries: map[laceplatform.Key]laceplatform.Entry{},
		leases:  map[laceplatform.LeaseID]bool{},
	}
}

// enter waits for the latency and takes the lock; it reports whether the call is lost before or after it takes effect.
func (m *memory) enter(ctx context.Context) (before, after bool, err error) {
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
	// A late swap may arrive before any later call.
	for i := 0; i < len(m.late); i++ {
		if m.random.Intn(3) == 0 {
			s := m.late[i]
			m.late = append(m.late[:i], m.late[i+1:]...)
			_, _ = m.put(s)
		}
	}
	if m.random.Intn(100) >= m.faults {
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

func (m *memory) put(s laceplatform.Swap) (laceplatform.Revision, error) {
	if m.entries[s.Key].Revision != s.Expect {
		return 0, laceplatform.ErrConflict
	}
	if s.Lease != 0 && !m.leases[s.Lease] {
		return 0, laceplatform.ErrLeaseGone
	}
	m.revision++
	e := laceplatform.Entry{Key: s.Key, Value: s.Value, Revision: m.revision, Lease: s.Lease}
	m.entries[s.Key] = e
	m.notify(laceplatform.Event{Entry: e})
	if m.written != nil {
		m.written(e)
	}
	return m.revision, nil
}

func (m *memory) Get(ctx context.Context, key laceplatform.Key) (laceplatform.Entry, error) {
	before, after, err := m.enter(ctx)
	defer m.mu.Unlock()
	m.reads++
	if err != nil || before || after {
		return laceplatform.Entry{}, laceplatform.ErrUnavailable
	}
	e, ok := m.entries[key]
	if !ok {
		return e, laceplatform.ErrMissing
	}
	return e, nil
}

func (m *memory) List(ctx context.Context, prefix laceplatform.Key) ([]laceplatform.Entry, laceplatform.Revision, error) {
	before, after, err := m.enter(ctx)
	defer m.mu.Unlock()
	m.reads++
	if err != nil || before || after {
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

func (m *memory) Swap(ctx context.Context, s laceplatform.Swap) (laceplatform.Revision, error) {
	before, after, err := m.enter(ctx)
	defer m.mu.Unlock()
	m.writes++
	m.bytes += len(s.Value)
	switch {
	case err != nil:
		return 0, err
	case len(s.Value) > laceplatform.MaxValueBytes:
		return 0, laceplatform.ErrTooLarge
	case before:
		m.late = append(m.late, s)
		return 0, laceplatform.ErrUnknown
	}
	r, err := m.put(s)
	if after {
		return 0, laceplatform.ErrUnknown
	}
	return r, err
}

func (m *memory) Delete(ctx context.Context, key laceplatform.Key, expect laceplatform.Revision) error {
	_, _, err := m.enter(ctx)
	defer m.mu.Unlock()
	m.writes++
	if err != nil {
		return err
	}
	return m.remove(key, expect)
}

func (m *memory) remove(key laceplatform.Key, expect laceplatform.Revision) error {
	e, ok := m.entries[key]
	if !ok || e.Revision != expect {
		return laceplatform.ErrConflict
	}
	m.revision++
	delete(m.entries, key)
	m.notify(laceplatform.Event{Entry: laceplatform.Entry{Key: key, Revision: m.revision}, Deleted: true})
	return nil
}

func (m *memory) Lease(ctx context.Context, _ time.Duration) (laceplatform.LeaseID, error) {
	_, _, err := m.enter(ctx)
	defer m.mu.Unlock()
	if err != nil {
		return 0, err
	}
	m.revision++
	id := laceplatform.LeaseID(m.revision)
	m.leases[id] = true
	return id, nil
}

func (m *memory) Renew(ctx context.Context, lease laceplatform.LeaseID) error {
	_, _, err := m.enter(ctx)
	defer m.mu.Unlock()
	if err != nil {
		return err
	}
	if !m.leases[lease] {
		return laceplatform.ErrLeaseGone
	}
	return nil
}

func (m *memory) Revoke(ctx context.Context, lease laceplatform.LeaseID) error {
	_, _, err := m.enter(ctx)
	defer m.mu.Unlock()
	if err != nil {
		return err
	}
	m.expire(lease)
	return nil
}

// expire ends a lease and removes its keys.
func (m *memory) expire(lease laceplatform.LeaseID) {
	delete(m.leases, lease)
	for k, e := range m.entries {
		if e.Lease == lease {
			_ = m.remove(k, e.Revision)
		}
	}
}

type watch struct {
	store  *memory
	prefix string
	events chan laceplatform.Event
}

func (m *memory) Watch(ctx context.Context, prefix laceplatform.Key, after laceplatform.Revision) (laceplatform.Watch, error) {
	_, _, err := m.enter(ctx)
	defer m.mu.Unlock()
	if err != nil {
		return nil, err
	}
	w := &watch{store: m, prefix: string(prefix), events: make(chan laceplatform.Event, 1024)}
	for _, e := range m.history {
		if e.Entry.Revision > after && strings.HasPrefix(string(e.Entry.Key), w.prefix) {
			w.events <- e
		}
	}
	m.watches = append(m.watches, w)
	return w, nil
}

func (m *memory) notify(e laceplatform.Event) {
	if strings.HasPrefix(string(e.Entry.Key), string(writerPrefix)) {
		m.history = append(m.history, e)
	}
	for _, w := range m.watches {
		if strings.HasPrefix(string(e.Entry.Key), w.prefix) {
			w.events <- e
		}
	}
}

func (w *watch) Events() <-chan laceplatform.Event { return w.events }

func (w *watch) Err() error { return laceplatform.ErrUnavailable }

func (w *watch) Close() error {
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
