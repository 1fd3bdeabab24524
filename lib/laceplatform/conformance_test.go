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

// bench is a platform with one store on it and the clock that drives its leases.
type bench struct {
	t        *testing.T
	platform *laceemulator.Platform
	store    laceplatform.Store
	now      time.Time
}

// conform runs a case over the in-process store and over the client with the emulator's server.
func conform(t *testing.T, run func(b *bench), options ...laceemulator.PlatformOption) {
	t.Run("local", func(t *testing.T) {
		b := newBench(t, options...)
		b.store = b.platform.LocalStore("client")
		run(b)
	})
	t.Run("http", func(t *testing.T) {
		b := newBench(t, options...)
		server := httptest.NewServer(b.platform.Handler())
		t.Cleanup(server.Close)
		b.store = connect(t, []string{server.URL})
		run(b)
	})
}

// newBench returns a platform whose clock stands still and which has no rates, unless options set them.
func newBench(t *testing.T, options ...laceemulator.PlatformOption) *bench {
	b := &bench{
		t:   t,
		now: time.Unix(1000, 0),
	}
	b.platform = laceemulator.NewPlatform(append([]laceemulator.PlatformOption{
		laceemulator.WithClock(func() time.Time { return b.now }),
		laceemulator.WithRateLimits(0, 0),
	}, options...)...)
	t.Cleanup(func() { _ = b.platform.Close() })
	return b
}

func connect(t *testing.T, urls []string, options ...laceplatform.Option) *laceplatform.Client {
	t.Helper()
	var endpoints []laceunit.Address
	for _, u := range urls {
		endpoints = append(endpoints, laceunit.Address(u))
	}
	options = append([]laceplatform.Option{laceplatform.WithName("client"), laceplatform.WithReconnectDelay(time.Millisecond)}, options...)
	c, err := laceplatform.NewClient(endpoints, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func (b *bench) want(err, target error) {
	b.t.Helper()
	if !errors.Is(err, target) {
		b.t.Fatalf("got %v, want %v", err, target)
	}
}

func (b *bench) put(key, value string, expect laceplatform.Revision, lease laceplatform.LeaseID) (laceplatform.Revision, error) {
	return b.store.Swap(context.Background(), laceplatform.Swap{
		Key:    laceplatform.Key(key),
		Value:  []byte(value),
		Expect: expect,
		Lease:  lease,
	})
}

func (b *bench) must(key, value string, expect laceplatform.Revision, lease laceplatform.LeaseID) laceplatform.Revision {
	b.t.Helper()
	r, err := b.put(key, value, expect, lease)
	b.want(err, nil)
	return r
}

// Guards against a swap or a deletion that ignores the expected revision.
func TestConformSwapAndDelete(t *testing.T) {
	conform(t, func(b *bench) {
		ctx := context.Background()
		_, err := b.store.Get(ctx, "a/1")
		b.want(err, laceplatform.ErrMissing)
		first := b.must("a/1", "one", 0, 0)
		_, err = b.put("a/1", "two", 0, 0)
		b.want(err, laceplatform.ErrConflict)
		second := b.must("a/1", "two", first, 0)
		_, err = b.put("a/1", "three", first, 0)
		b.want(err, laceplatform.ErrConflict)
		e, err := b.store.Get(ctx, "a/1")
		b.want(err, nil)
		if string(e.Value) != "two" || e.Revision != second || second <= first {
			t.Fatalf("got %+v after revisions %d and %d", e, first, second)
		}
		b.want(b.store.Delete(ctx, "a/1", first), laceplatform.ErrConflict)
		b.want(b.store.Delete(ctx, "a/1", second), nil)
		b.want(b.store.Delete(ctx, "a/1", second), laceplatform.ErrConflict)
		_, err = b.store.Get(ctx, "a/1")
		b.want(err, laceplatform.ErrMissing)
	})
}

// Guards against a list that is out of order, reaches beyond its prefix, or reports a revision that it doesn't reflect.
func TestConformList(t *testing.T) {
	conform(t, func(b *bench) {
		var last laceplatform.Revision
		for _, k := range []string{"b/2", "a/1", "b/1", "b0", "b/\xff"} {
			last = b.must(k, k, 0, 0)
		}
		found, revision, err := b.store.List(context.Background(), "b/")
		b.want(err, nil)
		if len(found) != 3 || found[0].Key != "b/1" || found[1].Key != "b/2" || revision != last {
			t.Fatalf("got %+v at %d, want three keys at %d", found, revision, last)
		}
		all, _, err := b.store.List(context.Background(), "")
		b.want(err, nil)
		if len(all) != 5 {
			t.Fatalf("got %d keys, want 5", len(all))
		}
	})
}

// Guards against values that are cut at the limit or accepted beyond it.
func TestConformValueLimit(t *testing.T) {
	conform(t, func(b *bench) {
		largest := bytes.Repeat([]byte{0xfe}, laceplatform.MaxValueBytes)
		b.must("k", string(largest), 0, 0)
		e, err := b.store.Get(context.Background(), "k")
		b.want(err, nil)
		if !bytes.Equal(e.Value, largest) {
			t.Fatalf("got %d bytes back", len(e.Value))
		}
		_, err = b.put("l", string(largest)+"x", 0, 0)
		b.want(err, laceplatform.ErrTooLarge)
	})
}

// Guards against keys that outlive their lease, and a lease that is renewed after its end.
func TestConformLeases(t *testing.T) {
	conform(t, func(b *bench) {
		ctx := context.Background()
		id, err := b.store.Lease(ctx, 2*time.Second)
		b.want(err, nil)
		b.must("k", "v", 0, id)
		b.now = b.now.Add(1500 * time.Millisecond)
		b.want(b.store.Renew(ctx, id), nil)
		b.now = b.now.Add(1500 * time.Millisecond)
		e, err := b.store.Get(ctx, "k")
		b.want(err, nil)
		if e.Lease != id {
			t.Fatalf("got lease %d, want %d", e.Lease, id)
		}
		b.now = b.now.Add(500 * time.Millisecond)
		_, err = b.store.Get(ctx, "k")
		b.want(err, laceplatform.ErrMissing)
		b.want(b.store.Renew(ctx, id), laceplatform.ErrLeaseGone)
		b.want(b.store.Revoke(ctx, id), laceplatform.ErrLeaseGone)
		_, err = b.put("k", "v", 0, id)
		b.want(err, laceplatform.ErrLeaseGone)
		next, err := b.store.Lease(ctx, time.Second)
		b.want(err, nil)
		b.must("k", "v", 0, next)
		b.want(b.store.Revoke(ctx, next), nil)
		_, err = b.store.Get(ctx, "k")
		b.want(err, laceplatform.ErrMissing)
	})
}

// Guards against a watch that skips, repeats or reorders changes, or reports them of another prefix.
func TestConformWatch(t *testing.T) {
	conform(t, func(b *bench) {
		ctx := context.Background()
		start := b.must("w/1", "before", 0, 0)
		w, err := b.store.Watch(ctx, "w/", start)
		b.want(err, nil)
		b.must("x/1", "other", 0, 0)
		second := b.must("w/2", "second", 0, 0)
		b.want(b.store.Delete(ctx, "w/2", second), nil)
		b.must("w/3", "third", 0, 0)
		last := second
		for i, want := range []laceplatform.Key{"w/2", "w/2", "w/3"} {
			e := <-w.Events()
			if e.Entry.Key != want || e.Deleted != (i == 1) || e.Entry.Revision < last {
				t.Fatalf("event %d is %+v", i, e)
			}
			last = e.Entry.Revision
		}
		b.want(w.Close(), nil)
		b.want(w.Err(), context.Canceled)
		if _, ok := <-w.Events(); ok {
			t.Fatal("events after Close")
		}
	})
}

// Guards against a watch that goes on silently when changes before it are no longer kept.
func TestConformCompaction(t *testing.T) {
	conform(t, func(b *bench) {
		first := b.must("k", "1", 0, 0)
		b.platform.Compact(b.must("k", "2", first, 0))
		w, err := b.store.Watch(context.Background(), "k", first)
		b.want(err, nil)
		if e, ok := <-w.Events(); ok {
			t.Fatalf("got %+v", e)
		}
		b.want(w.Err(), laceplatform.ErrCompacted)
	})
}

// faultCase is a fault with what a write and a read see of it, and what a read sees once it is over.
type faultCase struct {
	name   string
	faults laceemulator.PlatformFaults
	write  error
	read   error
	done   error
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
			write: laceplatform.ErrUnavailable,
			read:  laceplatform.ErrUnavailable,
			done:  laceplatform.ErrMissing,
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
			name:   "cut requests",
			faults: cut(laceemulator.DropRequests),
			write:  laceplatform.ErrUnknown,
			read:   laceplatform.ErrUnavailable,
			done:   laceplatform.ErrMissing,
		},
		{
			name:   "cut answers",
			faults: cut(laceemulator.DropResponses),
			write:  laceplatform.ErrUnknown,
			read:   laceplatform.ErrUnavailable,
		},
	}
}

// Guards against errors of the wrong class: a write without an answer that counts as not done invites a second one.
func TestConformErrorClasses(t *testing.T) {
	for _, c := range faultCases() {
		t.Run(c.name, func(t *testing.T) {
			conform(t, func(b *bench) {
				b.platform.SetFaults(c.faults)
				_, err := b.put("k", "v", 0, 0)
				b.want(err, c.write)
				_, err = b.store.Get(context.Background(), "other")
				b.want(err, c.read)
				b.platform.SetFaults(laceemulator.PlatformFaults{})
				_, err = b.store.Get(context.Background(), "k")
				b.want(err, c.done)
			})
		})
	}
}

// Guards against a call over the rate that is carried out or counts as unknown.
func TestConformRate(t *testing.T) {
	conform(t, func(b *bench) {
		for i := range 20 {
			b.must(string(rune('a'+i)), "v", 0, 0)
		}
		_, err := b.put("over", "v", 0, 0)
		b.want(err, laceplatform.ErrUnavailable)
		_, err = b.store.Get(context.Background(), "over")
		b.want(err, laceplatform.ErrMissing)
	}, laceemulator.WithRateLimits(20, 0))
}
