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

// clock is a hand-driven clock.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func manual(t *testing.T, options ...PlatformOption) (*Platform, *clock) {
	t.Helper()
	c := &clock{
		now: time.Unix(1000, 0),
	}
	p := NewPlatform(append(options, WithClock(c.Now))...)
	t.Cleanup(func() { _ = p.Close() })
	return p, c
}

func put(key string) laceplatform.Swap {
	return laceplatform.Swap{
		Key:   laceplatform.Key(key),
		Value: []byte("v"),
	}
}

func want(t *testing.T, err, target error) {
	t.Helper()
	if !errors.Is(err, target) {
		t.Fatalf("got %v, want %v", err, target)
	}
}

// Guards against a lost answer whose write did not happen, which would hide double writes from callers' tests.
func TestLostAnswerTakesEffect(t *testing.T) {
	p, _ := manual(t)
	p.SetFaults(PlatformFaults{
		LoseNextResponses: 1,
	})
	l, ctx := p.LocalStore("a"), context.Background()
	_, err := l.Swap(ctx, put("k"))
	want(t, err, laceplatform.ErrUnknown)
	_, err = l.Get(ctx, "k")
	want(t, err, nil)
	_, err = l.Swap(ctx, put("k"))
	want(t, err, laceplatform.ErrConflict)
}

// Guards against a one-way cut that works in the wrong direction or hits another client.
func TestCutsAreOneWayAndPerClient(t *testing.T) {
	p, _ := manual(t)
	p.SetFaults(PlatformFaults{
		Partitions: map[string]Partition{
			"sends":    DropRequests,
			"receives": DropResponses,
		},
	})
	ctx := context.Background()
	_, err := p.LocalStore("sends").Swap(ctx, put("dropped"))
	want(t, err, laceplatform.ErrUnknown)
	_, err = p.LocalStore("receives").Swap(ctx, put("done"))
	want(t, err, laceplatform.ErrUnknown)
	_, err = p.LocalStore("receives").Get(ctx, "done")
	want(t, err, laceplatform.ErrUnavailable)
	healthy := p.LocalStore("healthy")
	_, err = healthy.Get(ctx, "dropped")
	want(t, err, laceplatform.ErrMissing)
	_, err = healthy.Get(ctx, "done")
	want(t, err, nil)
}

// Guards against rates that are not enforced, and against a refused write that is carried out anyway.
func TestRateRefusesAndRecovers(t *testing.T) {
	p, c := manual(t, WithRateLimits(2, 0))
	l, ctx := p.LocalStore("a"), context.Background()
	for i := range 2 {
		_, err := l.Swap(ctx, put(strconv.Itoa(i)))
		want(t, err, nil)
	}
	_, err := l.Swap(ctx, put("over"))
	want(t, err, laceplatform.ErrUnavailable)
	_, err = l.Get(ctx, "over")
	want(t, err, laceplatform.ErrMissing)
	c.add(time.Second)
	_, err = l.Swap(ctx, put("over"))
	want(t, err, nil)
	got := p.Counts()
	if got.Writes != 4 || got.Reads != 1 || got.RateLimited != 1 {
		t.Fatalf("counts %+v", got)
	}
}

// Guards against a lease that outlives its time to live, or lapses although it was renewed or held.
func TestLeaseExpiry(t *testing.T) {
	p, c := manual(t)
	l, ctx := p.LocalStore("a"), context.Background()
	id, err := l.Lease(ctx, time.Second)
	want(t, err, nil)
	s := put("k")
	s.Lease = id
	_, err = l.Swap(ctx, s)
	want(t, err, nil)
	c.add(900 * time.Millisecond)
	want(t, l.Renew(ctx, id), nil)
	c.add(900 * time.Millisecond)
	_, err = l.Get(ctx, "k")
	want(t, err, nil)
	p.SetFaults(PlatformFaults{
		SuspendExpiry: true,
	})
	c.add(time.Second)
	_, err = l.Get(ctx, "k")
	want(t, err, nil)
	p.SetFaults(PlatformFaults{})
	_, err = l.Get(ctx, "k")
	want(t, err, laceplatform.ErrMissing)
	want(t, l.Renew(ctx, id), laceplatform.ErrLeaseGone)
}

// Guards against a paused renewal that is carried out: the lease must lapse while its holder waits.
func TestPausedRenewalLapses(t *testing.T) {
	p, c := manual(t)
	l := p.LocalStore("a")
	id, err := l.Lease(context.Background(), time.Second)
	want(t, err, nil)
	p.SetFaults(PlatformFaults{
		PauseRenewals: map[string]bool{
			"a": true,
		},
	})
	done := make(chan error)
	go func() { done <- l.Renew(context.Background(), id) }()
	c.add(time.Second)
	p.ExpireLeases()
	p.SetFaults(PlatformFaults{})
	want(t, <-done, laceplatform.ErrLeaseGone)
}

// Guards against a watch that loses changes in an outage, or goes on silently after a gap.
func TestWatchOutlastsOutageButNotCompaction(t *testing.T) {
	p, _ := manual(t)
	l, ctx := p.LocalStore("a"), context.Background()
	w, err := l.Watch(ctx, "k", 0)
	want(t, err, nil)
	_, err = l.Swap(ctx, put("k1"))
	want(t, err, nil)
	if e := <-w.Events(); e.Entry.Key != "k1" {
		t.Fatalf("got %v", e)
	}
	p.SetFaults(PlatformFaults{
		Partitions: map[string]Partition{
			"a": DropResponses,
		},
	})
	other := p.LocalStore("b")
	_, err = other.Swap(ctx, put("k2"))
	want(t, err, nil)
	p.SetFaults(PlatformFaults{})
	if e := <-w.Events(); e.Entry.Key != "k2" {
		t.Fatalf("got %v", e)
	}
	want(t, w.Close(), nil)
	p.Compact(p.state.Revision())
	late, err := l.Watch(ctx, "k", 1)
	want(t, err, nil)
	if e, ok := <-late.Events(); ok {
		t.Fatalf("got %v from a compacted revision", e)
	}
	want(t, late.Err(), laceplatform.ErrCompacted)
}

// Guards against a slow write that is dropped when its caller gives up: callers must cope with one that lands late.
func TestSlowWriteLandsAfterCallerGaveUp(t *testing.T) {
	p, _ := manual(t)
	l := p.LocalStore("a")
	w, err := l.Watch(context.Background(), "k", 0)
	want(t, err, nil)
	p.SetFaults(PlatformFaults{
		Latency: time.Second,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	before := p.Counts().Writes
	go func() {
		_, swapErr := l.Swap(ctx, put("k"))
		ended <- swapErr
	}()
	for p.Counts().Writes == before {
		runtime.Gosched()
	}
	cancel()
	want(t, <-ended, laceplatform.ErrUnknown)
	if e := <-w.Events(); e.Entry.Key != "k" {
		t.Fatalf("got %v", e)
	}
	want(t, w.Close(), nil)
}
