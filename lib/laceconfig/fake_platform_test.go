package laceconfig

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"lacewingcove/lib/laceplatform"
)

// outcome is the scripted result of one write to the fake platform.
type outcome int

const (
	succeeds outcome = iota
	// appliedUnknown lets the write take effect, discardedUnknown does not; both return ErrUnknown.
	appliedUnknown
	discardedUnknown
	// crashBefore fails the write and every call after it.
	crashBefore
	// crashAfter lets the write take effect and fails every call after it.
	crashAfter
)

// fakePlatform is an in-memory platform; script returns the outcome of the n-th write, counted from 1.
type fakePlatform struct {
	mu       sync.Mutex
	values   map[laceplatform.Key]laceplatform.Entry
	revision laceplatform.Revision
	writes   int
	keys     []laceplatform.Key
	largest  int
	down     bool
	script   func(n int) outcome
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{values: map[laceplatform.Key]laceplatform.Entry{}}
}

func (f *fakePlatform) Get(_ context.Context, key laceplatform.Key) (laceplatform.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return laceplatform.Entry{}, laceplatform.ErrUnavailable
	}
	e, ok := f.values[key]
	if !ok {
		return laceplatform.Entry{}, laceplatform.ErrMissing
	}
	return e, nil
}

func (f *fakePlatform) List(
	_ context.Context, prefix laceplatform.Key,
) ([]laceplatform.Entry, laceplatform.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []laceplatform.Entry
	for k, e := range f.values {
		if strings.HasPrefix(string(k), string(prefix)) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b laceplatform.Entry) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return all, f.revision, nil
}

// write performs a write with the outcome that the script returns for it.
func (f *fakePlatform) write(key laceplatform.Key, expect laceplatform.Revision, change func()) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return laceplatform.ErrUnavailable
	}
	f.writes++
	f.keys = append(f.keys, key)
	result := succeeds
	if f.script != nil {
		result = f.script(f.writes)
	}
	switch result {
	case discardedUnknown:
		return laceplatform.ErrUnknown
	case crashBefore:
		f.down = true
		return laceplatform.ErrUnavailable
	}
	if f.values[key].Revision != expect {
		return laceplatform.ErrConflict
	}
	f.revision++
	change()
	f.down = result == crashAfter
	if result == appliedUnknown || result == crashAfter {
		return laceplatform.ErrUnknown
	}
	return nil
}

func (f *fakePlatform) Swap(_ context.Context, s laceplatform.Swap) (laceplatform.Revision, error) {
	if len(s.Value) > laceplatform.MaxValueBytes {
		return 0, laceplatform.ErrTooLarge
	}
	var at laceplatform.Revision
	err := f.write(s.Key, s.Expect, func() {
		at = f.revision
		f.largest = max(f.largest, len(s.Value))
		f.values[s.Key] = laceplatform.Entry{Key: s.Key, Value: s.Value, Revision: at}
	})
	return at, err
}

func (f *fakePlatform) Delete(_ context.Context, key laceplatform.Key, expect laceplatform.Revision) error {
	return f.write(key, expect, func() { delete(f.values, key) })
}

func (f *fakePlatform) Lease(context.Context, time.Duration) (laceplatform.LeaseID, error) {
	return 1, nil
}

func (f *fakePlatform) Renew(context.Context, laceplatform.LeaseID) error { return nil }

func (f *fakePlatform) Revoke(context.Context, laceplatform.LeaseID) error { return nil }

func (f *fakePlatform) Watch(context.Context, laceplatform.Key, laceplatform.Revision) (laceplatform.Watch, error) {
	return nil, laceplatform.ErrUnavailable
}

// restart ends an outage and returns a new store, as after a restart of the process.
func (f *fakePlatform) restart() *Store {
	f.down, f.script, f.writes, f.keys = false, nil, 0, nil
	return NewStore(f)
}
