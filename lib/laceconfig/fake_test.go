package laceconfig

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"lacewingcove/lib/laceplatform"
)

// outcome is what happens to one write of the fake platform.
type outcome int

const (
	passes outcome = iota
	// lost writes take effect, their answer is ErrUnknown; dropped ones answer the same without effect.
	lost
	dropped
	// down fails the write and every call after it.
	crashBefore
	// crashAfter lets the write take effect and fails every call after it.
	crashAfter
)

// fake is a platform in memory; script decides the outcome of the n-th write, counted from 1.
type fake struct {
	mu       sync.Mutex
	values   map[laceplatform.Key]laceplatform.Entry
	revision laceplatform.Revision
	writes   int
	keys     []laceplatform.Key
	largest  int
	dead     bool
	script   func(n int) outcome
}

func newFake() *fake {
	return &fake{values: map[laceplatform.Key]laceplatform.Entry{}}
}

func (f *fake) Get(_ context.Context, key laceplatform.Key) (laceplatform.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead {
		return laceplatform.Entry{}, laceplatform.ErrUnavailable
	}
	e, ok := f.values[key]
	if !ok {
		return laceplatform.Entry{}, laceplatform.ErrMissing
	}
	return e, nil
}

func (f *fake) List(_ context.Context, prefix laceplatform.Key) ([]laceplatform.Entry, laceplatform.Revision, error) {
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

// write applies the script around a change.
func (f *fake) write(key laceplatform.Key, expect laceplatform.Revision, change func()) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead {
		return laceplatform.ErrUnavailable
	}
	f.writes++
	f.keys = append(f.keys, key)
	end := passes
	if f.script != nil {
		end = f.script(f.writes)
	}
	switch end {
	case dropped:
		return laceplatform.ErrUnknown
	case crashBefore:
		f.dead = true
		return laceplatform.ErrUnavailable
	}
	if f.values[key].Revision != expect {
		return laceplatform.ErrConflict
	}
	f.revision++
	change()
	f.dead = end == crashAfter
	if end == lost || end == crashAfter {
		return laceplatform.ErrUnknown
	}
	return nil
}

func (f *fake) Swap(_ context.Context, s laceplatform.Swap) (laceplatform.Revision, error) {
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

func (f *fake) Delete(_ context.Context, key laceplatform.Key, expect laceplatform.Revision) error {
	return f.write(key, expect, func() { delete(f.values, key) })
}

func (f *fake) Lease(context.Context, time.Duration) (laceplatform.LeaseID, error) { return 1, nil }
func (f *fake) Renew(context.Context, laceplatform.LeaseID) error                  { return nil }
func (f *fake) Revoke(context.Context, laceplatform.LeaseID) error                 { return nil }

func (f *fake) Watch(context.Context, laceplatform.Key, laceplatform.Revision) (laceplatform.Watch, error) {
	return nil, laceplatform.ErrUnavailable
}

// revive ends an outage; the store over it is a new process.
func (f *fake) revive() *Store {
	f.dead, f.script, f.writes, f.keys = false, nil, 0, nil
	return NewStore(f)
}
