package laceplatform_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// fixture is an emulated platform with one store and the clock of its leases.
type fixture struct {
	t        *testing.T
	platform *laceemulator.Platform
	store    laceplatform.Store
	now      time.Time
}

// forEachStore runs a test with the in-process store and with the HTTP client against the emulator's server.
func forEachStore(t *testing.T, run func(f *fixture), options ...laceemulator.PlatformOption) {
	t.Run("local", func(t *testing.T) {
		f := newFixture(t, options...)
		f.store = f.platform.LocalStore("client")
		run(f)
	})
	t.Run("http", func(t *testing.T) {
		f := newFixture(t, options...)
		server := httptest.NewServer(f.platform.Handler())
		t.Cleanup(server.Close)
		f.store = newClient(t, []string{server.URL})
		run(f)
	})
}

// newFixture returns a platform with a manual clock and, unless options set them, without rate limits.
func newFixture(t *testing.T, options ...laceemulator.PlatformOption) *fixture {
	f := &fixture{
		t:   t,
		now: time.Unix(1000, 0),
	}
	f.platform = laceemulator.NewPlatform(append([]laceemulator.PlatformOption{
		laceemulator.WithClock(func() time.Time { return f.now }),
		laceemulator.WithRateLimits(0, 0),
	}, options...)...)
	t.Cleanup(func() { _ = f.platform.Close() })
	return f
}

func newClient(t *testing.T, urls []string, options ...laceplatform.Option) *laceplatform.Client {
	t.Helper()
	var endpoints []laceunit.Address
	for _, u := range urls {
		endpoints = append(endpoints, laceunit.Address(u))
	}
	options = append([]laceplatform.Option{
		laceplatform.WithName("client"),
		laceplatform.WithReconnectDelay(time.Millisecond),
	}, options...)
	c, err := laceplatform.NewClient(endpoints, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func (f *fixture) wantError(err, target error) {
	f.t.Helper()
	if !errors.Is(err, target) {
		f.t.Fatalf("got %v, want %v", err, target)
	}
}

func (f *fixture) put(
	key, value string,
	expect laceplatform.Revision,
	lease laceplatform.LeaseID,
) (laceplatform.Revision, error) {
	return f.store.Swap(context.Background(), laceplatform.Swap{
		Key:    laceplatform.Key(key),
		Value:  []byte(value),
		Expect: expect,
		Lease:  lease,
	})
}

func (f *fixture) mustPut(
	key, value string,
	expect laceplatform.Revision,
	lease laceplatform.LeaseID,
) laceplatform.Revision {
	f.t.Helper()
	r, err := f.put(key, value, expect, lease)
	f.wantError(err, nil)
	return r
}

// Guards against a swap or a deletion that ignores the expected revision.
func TestConformSwapAndDelete(t *testing.T) {
	forEachStore(t, func(f *fixture) {
		ctx := context.Background()
		_, err := f.store.Get(ctx, "a/1")
		f.wantError(err, laceplatform.ErrMissing)
		first := f.mustPut("a/1", "one", 0, 0)
		_, err = f.put("a/1", "two", 0, 0)
		f.wantError(err, laceplatform.ErrConflict)
		second := f.mustPut("a/1", "two", first, 0)
		_, err = f.put("a/1", "three", first, 0)
		f.wantError(err, laceplatform.ErrConflict)
		e, err := f.store.Get(ctx, "a/1")
		f.wantError(err, nil)
		if string(e.Value) != "two" || e.Revision != second || second <= first {
			t.Fatalf("got %+v after revisions %d and %d", e, first, second)
		}
		f.wantError(f.store.Delete(ctx, "a/1", first), laceplatform.ErrConflict)
		f.wantError(f.store.Delete(ctx, "a/1", second), nil)
		f.wantError(f.store.Delete(ctx, "a/1", second), laceplatform.ErrConflict)
		_, err = f.store.Get(ctx, "a/1")
		f.wantError(err, laceplatform.ErrMissing)
	})
}

// Guards against a list that is out of order, contains keys outside its prefix, or has a revision that doesn't match
// it.
func TestConformList(t *testing.T) {
	forEachStore(t, func(f *fixture) {
		var last laceplatform.Revision
		for _, k := range []string{"b/2", "a/1", "b/1", "b0", "b/\xff"} {
			last = f.mustPut(k, k, 0, 0)
		}
		entries, revision, err := f.store.List(context.Background(), "b/")
		f.wantError(err, nil)
		if len(entries) != 3 || entries[0].Key != "b/1" || entries[1].Key != "b/2" || revision != last {
			t.Fatalf("got %+v at %d, want three keys at %d", entries, revision, last)
		}
		all, _, err := f.store.List(context.Background(), "")
		f.wantError(err, nil)
		if len(all) != 5 {
			t.Fatalf("got %d keys, want 5", len(all))
		}
	})
}

// Guards against values that are truncated at the size limit or accepted beyond it.
func TestConformValueLimit(t *testing.T) {
	forEachStore(t, func(f *fixture) {
		largest := bytes.Repeat([]byte{0xfe}, laceplatform.MaxValueBytes)
		f.mustPut("k", string(largest), 0, 0)
		e, err := f.store.Get(context.Background(), "k")
		f.wantError(err, nil)
		if !bytes.Equal(e.Value, largest) {
			t.Fatalf("got %d bytes back", len(e.Value))
		}
		_, err = f.put("l", string(largest)+"x", 0, 0)
		f.wantError(err, laceplatform.ErrTooLarge)
	})
}

// Guards against keys that outlive their lease, and a lease that is renewed after it has expired.
func TestConformLeases(t *testing.T) {
	forEachStore(t, func(f *fixture) {
		ctx := context.Background()
		id, err := f.store.Lease(ctx, 2*time.Second)
		f.wantError(err, nil)
		f.mustPut("k", "v", 0, id)
		f.now = f.now.Add(1500 * time.Millisecond)
		f.wantError(f.store.Renew(ctx, id), nil)
		f.now = f.now.Add(1500 * time.Millisecond)
		e, err := f.store.Get(ctx, "k")
		f.wantError(err, nil)
		if e.Lease != id {
			t.Fatalf("got lease %d, want %d", e.Lease, id)
		}
		f.now = f.now.Add(500 * time.Millisecond)
		_, err = f.store.Get(ctx, "k")
		f.wantError(err, laceplatform.ErrMissing)
		f.wantError(f.store.Renew(ctx, id), laceplatform.ErrLeaseNotFound)
		f.wantError(f.store.Revoke(ctx, id), laceplatform.ErrLeaseNotFound)
		_, err = f.put("k", "v", 0, id)
		f.wantError(err, laceplatform.ErrLeaseNotFound)
		next, err := f.store.Lease(ctx, time.Second)
		f.wantError(err, nil)
		f.mustPut("k", "v", 0, next)
		f.wantError(f.store.Revoke(ctx, next), nil)
		_, err = f.store.Get(ctx, "k")
		f.wantError(err, laceplatform.ErrMissing)
	})
}

// Guards against a watch that skips, repeats or reorders changes, or delivers those of another prefix.
func TestConformWatch(t *testing.T) {
	forEachStore(t, func(f *fixture) {
		ctx := context.Background()
		start := f.mustPut("w/1", "before", 0, 0)
		w, err := f.store.Watch(ctx, "w/", start)
		f.wantError(err, nil)
		f.mustPut("x/1", "other", 0, 0)
		second := f.mustPut("w/2", "second", 0, 0)
		f.wantError(f.store.Delete(ctx, "w/2", second), nil)
		f.mustPut("w/3", "third", 0, 0)
		last := second
		for i, want := range []laceplatform.Key{"w/2", "w/2", "w/3"} {
			e := <-w.Events()
			if e.Entry.Key != want || e.Deleted != (i == 1) || e.Entry.Revision < last {
				t.Fatalf("event %d is %+v", i, e)
			}
			last = e.Entry.Revision
		}
		f.wantError(w.Close(), nil)
		f.wantError(w.Err(), context.Canceled)
		if _, ok := <-w.Events(); ok {
			t.Fatal("events after Close")
		}
	})
}

// Guards against a watch that skips compacted changes without an error.
func TestConformCompaction(t *testing.T) {
	forEachStore(t, func(f *fixture) {
		first := f.mustPut("k", "1", 0, 0)
		f.platform.Compact(f.mustPut("k", "2", first, 0))
		w, err := f.store.Watch(context.Background(), "k", first)
		f.wantError(err, nil)
		if e, ok := <-w.Events(); ok {
			t.Fatalf("got %+v", e)
		}
		f.wantError(w.Err(), laceplatform.ErrCompacted)
	})
}

// faultCase is a fault, the errors of a write and a read during it, and the error of a read of the written key
// afterwards.
type faultCase struct {
	name       string
	faults     laceemulator.PlatformFaults
	write      error
	read       error
	afterwards error
}

func faultCases() []faultCase {
	cut := func(direction laceemulator.Partition) laceemulator.PlatformFaults {
		return laceemulator.PlatformFaults{
			Partitions: map[string]laceemulator.Partition{
				"client": direction,
			},
		}
	}
	return []faultCase{
		{
			name: "down",
			faults: laceemulator.PlatformFaults{
				Down: true,
			},
			write:      laceplatform.ErrUnavailable,
			read:       laceplatform.ErrUnavailable,
			afterwards: laceplatform.ErrMissing,
		},
		{
			name: "lost",
			faults: laceemulator.PlatformFaults{
				LoseNextResponses: 1,
			},
			write: laceplatform.ErrUnknown,
			read:  laceplatform.ErrMissing,
		},
		{
			name:       "cut requests",
			faults:     cut(laceemulator.DropRequests),
			write:      laceplatform.ErrUnknown,
			read:       laceplatform.ErrUnavailable,
			afterwards: laceplatform.ErrMissing,
		},
		{
			name:   "cut answers",
			faults: cut(laceemulator.DropResponses),
			write:  laceplatform.ErrUnknown,
			read:   laceplatform.ErrUnavailable,
		},
	}
}

// Guards against errors of the wrong class: a write without a response that is classified as not executed would be
// retried and could run twice.
func TestConformErrorClasses(t *testing.T) {
	for _, c := range faultCases() {
		t.Run(c.name, func(t *testing.T) {
			forEachStore(t, func(f *fixture) {
				f.platform.SetFaults(c.faults)
				_, err := f.put("k", "v", 0, 0)
				f.wantError(err, c.write)
				_, err = f.store.Get(context.Background(), "other")
				f.wantError(err, c.read)
				f.platform.SetFaults(laceemulator.PlatformFaults{})
				_, err = f.store.Get(context.Background(), "k")
				f.wantError(err, c.afterwards)
			})
		})
	}
}

// Guards against a rate-limited call that is executed or classified as having an unknown outcome.
func TestConformRate(t *testing.T) {
	forEachStore(t, func(f *fixture) {
		for i := range 20 {
			f.mustPut(string(rune('a'+i)), "v", 0, 0)
		}
		_, err := f.put("over", "v", 0, 0)
		f.wantError(err, laceplatform.ErrUnavailable)
		_, err = f.store.Get(context.Background(), "over")
		f.wantError(err, laceplatform.ErrMissing)
	}, laceemulator.WithRateLimits(20, 0))
}
