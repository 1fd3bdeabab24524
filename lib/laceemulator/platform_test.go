package laceemulator

import (
	"context"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
)

// fakeClock is a manually advanced clock.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newPlatformWithClock(t *testing.T, options ...PlatformOption) (*Platform, *fakeClock) {
	t.Helper()
	clock := &fakeClock{
		now: time.Unix(1000, 0),
	}
	p := NewPlatform(append(options, WithClock(clock.Now))...)
	t.Cleanup(func() { _ = p.Close() })
	return p, clock
}

func createKey(key string) laceplatform.Swap {
	return laceplatform.Swap{
		Key:   laceplatform.Key(key),
		Value: []byte("v"),
	}
}

func requireErrorIs(t *testing.T, err, target error) {
	t.Helper()
	if !errors.Is(err, target) {
		t.Fatalf("got %v, want %v", err, target)
	}
}

// Guards against a lost response whose write did not take effect, which would hide duplicate writes from tests of
// clients.
func TestWriteWithLostResponseTakesEffect(t *testing.T) {
	p, _ := newPlatformWithClock(t)
	p.SetFaults(PlatformFaults{
		LoseNextResponses: 1,
	})
	store, ctx := p.LocalStore("a"), context.Background()
	_, err := store.Swap(ctx, createKey("k"))
	requireErrorIs(t, err, laceplatform.ErrUnknown)
	_, err = store.Get(ctx, "k")
	requireErrorIs(t, err, nil)
	_, err = store.Swap(ctx, createKey("k"))
	requireErrorIs(t, err, laceplatform.ErrConflict)
}

// Guards against a one-way partition that drops the wrong direction or affects another client.
func TestPartitionsAreOneWayAndPerClient(t *testing.T) {
	p, _ := newPlatformWithClock(t)
	p.SetFaults(PlatformFaults{
		Partitions: map[string]Partition{
			"sends":    DropRequests,
			"receives": DropResponses,
		},
	})
	ctx := context.Background()
	_, err := p.LocalStore("sends").Swap(ctx, createKey("dropped"))
	requireErrorIs(t, err, laceplatform.ErrUnknown)
	_, err = p.LocalStore("receives").Swap(ctx, createKey("done"))
	requireErrorIs(t, err, laceplatform.ErrUnknown)
	_, err = p.LocalStore("receives").Get(ctx, "done")
	requireErrorIs(t, err, laceplatform.ErrUnavailable)
	healthy := p.LocalStore("healthy")
	_, err = healthy.Get(ctx, "dropped")
	requireErrorIs(t, err, laceplatform.ErrMissing)
	_, err = healthy.Get(ctx, "done")
	requireErrorIs(t, err, nil)
}

// Guards against rate limits that are not enforced, and against a rejected write that is executed anyway.
func TestRateLimitRejectsAndRecovers(t *testing.T) {
	p, clock := newPlatformWithClock(t, WithRateLimits(2, 0))
	store, ctx := p.LocalStore("a"), context.Background()
	for i := range 2 {
		_, err := store.Swap(ctx, createKey(strconv.Itoa(i)))
		requireErrorIs(t, err, nil)
	}
	_, err := store.Swap(ctx, createKey("over"))
	requireErrorIs(t, err, laceplatform.ErrUnavailable)
	_, err = store.Get(ctx, "over")
	requireErrorIs(t, err, laceplatform.ErrMissing)
	clock.advance(time.Second)
	_, err = store.Swap(ctx, createKey("over"))
	requireErrorIs(t, err, nil)
	got := p.Counts()
	if got.Writes != 4 || got.Reads != 1 || got.RateLimited != 1 {
		t.Fatalf("got counts %+v", got)
	}
}

// Guards against a lease that outlives its time to live, or expires although it was renewed or expiry was suspended.
func TestLeaseExpiry(t *testing.T) {
	p, clock := newPlatformWithClock(t)
	store, ctx := p.LocalStore("a"), context.Background()
	id, err := store.Lease(ctx, time.Second)
	requireErrorIs(t, err, nil)
	swap := createKey("k")
	swap.Lease = id
	_, err = store.Swap(ctx, swap)
	requireErrorIs(t, err, nil)
	clock.advance(900 * time.Millisecond)
	requireErrorIs(t, store.Renew(ctx, id), nil)
	clock.advance(900 * time.Millisecond)
	_, err = store.Get(ctx, "k")
	requireErrorIs(t, err, nil)
	p.SetFaults(PlatformFaults{
		SuspendExpiry: true,
	})
	clock.advance(time.Second)
	_, err = store.Get(ctx, "k")
	requireErrorIs(t, err, nil)
	p.SetFaults(PlatformFaults{})
	_, err = store.Get(ctx, "k")
	requireErrorIs(t, err, laceplatform.ErrMissing)
	requireErrorIs(t, store.Renew(ctx, id), laceplatform.ErrLeaseNotFound)
}

// Guards against a paused renewal that is executed: the lease must expire while its holder waits.
func TestLeaseExpiresWhileRenewalIsPaused(t *testing.T) {
	p, clock := newPlatformWithClock(t)
	store := p.LocalStore("a")
	id, err := store.Lease(context.Background(), time.Second)
	requireErrorIs(t, err, nil)
	p.SetFaults(PlatformFaults{
		PauseRenewals: map[string]bool{
			"a": true,
		},
	})
	done := make(chan error)
	go func() { done <- store.Renew(context.Background(), id) }()
	clock.advance(time.Second)
	p.ExpireLeases()
	p.SetFaults(PlatformFaults{})
	requireErrorIs(t, <-done, laceplatform.ErrLeaseNotFound)
}

// Guards against a watch that loses changes during a partition, or that continues silently after a gap.
func TestWatchSurvivesPartitionButNotCompaction(t *testing.T) {
	p, _ := newPlatformWithClock(t)
	store, ctx := p.LocalStore("a"), context.Background()
	w, err := store.Watch(ctx, "k", 0)
	requireErrorIs(t, err, nil)
	_, err = store.Swap(ctx, createKey("k1"))
	requireErrorIs(t, err, nil)
	if e := <-w.Events(); e.Entry.Key != "k1" {
		t.Fatalf("got %v", e)
	}
	p.SetFaults(PlatformFaults{
		Partitions: map[string]Partition{
			"a": DropResponses,
		},
	})
	other := p.LocalStore("b")
	_, err = other.Swap(ctx, createKey("k2"))
	requireErrorIs(t, err, nil)
	p.SetFaults(PlatformFaults{})
	if e := <-w.Events(); e.Entry.Key != "k2" {
		t.Fatalf("got %v", e)
	}
	requireErrorIs(t, w.Close(), nil)
	p.Compact(p.state.Revision())
	lateWatch, err := store.Watch(ctx, "k", 1)
	requireErrorIs(t, err, nil)
	if e, ok := <-lateWatch.Events(); ok {
		t.Fatalf("got %v from a compacted revision", e)
	}
	requireErrorIs(t, lateWatch.Err(), laceplatform.ErrCompacted)
}

// Guards against a delayed write that is dropped when its caller gives up: callers must handle writes that take effect
// late.
func TestDelayedWriteTakesEffectAfterCancellation(t *testing.T) {
	p, _ := newPlatformWithClock(t)
	store := p.LocalStore("a")
	w, err := store.Watch(context.Background(), "k", 0)
	requireErrorIs(t, err, nil)
	p.SetFaults(PlatformFaults{
		Latency: time.Second,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	before := p.Counts().Writes
	go func() {
		_, swapErr := store.Swap(ctx, createKey("k"))
		done <- swapErr
	}()
	for p.Counts().Writes == before {
		runtime.Gosched()
	}
	cancel()
	requireErrorIs(t, <-done, laceplatform.ErrUnknown)
	if e := <-w.Events(); e.Entry.Key != "k" {
		t.Fatalf("got %v", e)
	}
	requireErrorIs(t, w.Close(), nil)
}
