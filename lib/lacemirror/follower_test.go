package lacemirror

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// scriptedStore is a store whose watches are driven by the test.
type scriptedStore struct {
	laceplatform.Store

	watches chan *scriptedWatch
}

type scriptedWatch struct {
	events chan laceplatform.Event
	err    error
}

// Events implements laceplatform.Watch.
func (w *scriptedWatch) Events() <-chan laceplatform.Event { return w.events }

// Err implements laceplatform.Watch.
func (w *scriptedWatch) Err() error { return w.err }

// Close implements laceplatform.Watch.
func (w *scriptedWatch) Close() error { return nil }

// List implements laceplatform.Store.
func (s *scriptedStore) List(context.Context, laceplatform.Key) ([]laceplatform.Entry, laceplatform.Revision, error) {
	return []laceplatform.Entry{
		{Key: "servers/a", Revision: 1},
		{Key: "servers/b", Revision: 2},
	}, 2, nil
}

// Watch implements laceplatform.Store.
func (s *scriptedStore) Watch(
	ctx context.Context, _ laceplatform.Key, _ laceplatform.Revision,
) (laceplatform.Watch, error) {
	select {
	case w := <-s.watches:
		return w, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against a server that leaves shortly after an outage and stays in use for longer than it may get requests,
// and against one that is dropped although only its lease has expired.
func TestRemovalsAreFinalSoonAfterStoreRecovery(t *testing.T) {
	store := &scriptedStore{watches: make(chan *scriptedWatch)}
	sources := make(chan Source, 8)
	f := NewFollower("servers/", store, &laceplatform.ConnectivityTracker{}, lacelog.Discard(),
		func(_ []Change, s Source) {
			sources <- s
		})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	<-sources
	removal := func(key laceplatform.Key, r laceplatform.Revision) laceplatform.Event {
		return laceplatform.Event{
			Entry: laceplatform.Entry{
				Key:      key,
				Revision: r,
			},
			Deleted: true,
		}
	}
	healthyWatch := &scriptedWatch{
		events: make(chan laceplatform.Event),
		err:    errors.New("cut"),
	}
	store.watches <- healthyWatch
	healthyWatch.events <- removal("servers/a", 3)
	if s := <-sources; !s.RemovalsFinalAt.IsZero() {
		t.Errorf("a removal without an outage is final only at %s", s.RemovalsFinalAt)
	}
	f.mu.Lock()
	f.lastContact = time.Now().Add(-2 * minOutage)
	f.mu.Unlock()
	close(healthyWatch.events)
	recoveredWatch := &scriptedWatch{events: make(chan laceplatform.Event)}
	store.watches <- recoveredWatch
	recoveredAt := time.Now()
	f.mu.Lock()
	f.lastContact = recoveredAt.Add(-2 * minOutage)
	f.mu.Unlock()
	recoveredWatch.events <- removal("servers/b", 4)
	s := <-sources
	if delay := s.RemovalsFinalAt.Sub(recoveredAt); delay <= 0 || delay >= 2*time.Second {
		t.Errorf("a removal after an outage is final %s after the recovery of the store", delay)
	}
	cancel()
	close(recoveredWatch.events)
	<-done
}

// silentStore never answers calls that were sent before returnsAt.
type silentStore struct {
	scriptedStore

	returnsAt time.Time
}

// List implements laceplatform.Store.
func (s *silentStore) List(ctx context.Context, prefix laceplatform.Key) (
	[]laceplatform.Entry, laceplatform.Revision, error,
) {
	if time.Now().Before(s.returnsAt) {
		<-ctx.Done()
		return nil, 0, errors.Wrap(laceplatform.ErrUnavailable, ctx.Err().Error())
	}
	return s.scriptedStore.List(ctx, prefix)
}

// Guards against an instance that starts shortly before the store recovers and waits for a call that will never be
// answered; until it has a configuration it refuses all requests.
func TestFirstCopyIsLoadedSoonAfterStoreRecovery(t *testing.T) {
	const (
		outageTime = 200 * time.Millisecond
		// Every instance has to serve again within half a second after the store has recovered.
		target = 500 * time.Millisecond
	)
	store := &silentStore{
		scriptedStore: scriptedStore{watches: make(chan *scriptedWatch)},
		returnsAt:     time.Now().Add(outageTime),
	}
	loaded := make(chan struct{}, 1)
	f := NewFollower("servers/", store, &laceplatform.ConnectivityTracker{}, lacelog.Discard(), func([]Change, Source) {
		loaded <- struct{}{}
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	select {
	case <-loaded:
	case <-time.After(outageTime + target):
		t.Error("no copy half a second after the recovery of the store")
	}
	cancel()
	<-done
}

// Guards against a copy that counts as current because other calls are answered, although its own watch is silent, is
// being reopened after a failure, or pauses between two calls.
func TestOtherResponsesProveFreshnessOnlyWithLiveWatch(t *testing.T) {
	var clock atomic.Int64
	clock.Store(int64(time.Hour))
	tracker := laceplatform.NewConnectivityTracker(func() laceunit.Uptime { return laceunit.Uptime(clock.Load()) })
	// answer simulates a call besides the watch that is answered after some time.
	answer := func(later time.Duration) laceunit.Uptime {
		now := laceunit.Uptime(clock.Add(int64(later)))
		tracker.RecordResult(t.Context(), now, nil)
		return now
	}
	store, loaded := &scriptedStore{watches: make(chan *scriptedWatch)}, make(chan struct{})
	f := NewFollower("servers/", store, tracker, lacelog.Discard(), func([]Change, Source) { close(loaded) })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	<-loaded
	open := func() *scriptedWatch {
		w := &scriptedWatch{
			events: make(chan laceplatform.Event),
			err:    errors.New("silent"),
		}
		store.watches <- w
		return w
	}
	revision := f.Status().Revision
	// round completes one polling round of a watch and waits until the follower has processed it.
	round := func(w *scriptedWatch, idle bool) {
		revision++
		w.events <- laceplatform.Event{
			Entry:    laceplatform.Entry{Revision: revision},
			Progress: true,
			Paused:   idle,
		}
		for f.Status().Revision < revision {
			runtime.Gosched()
		}
	}
	check := func(condition string, want laceunit.Uptime) {
		t.Helper()
		if got := f.Status().SyncedAt; got != want {
			t.Errorf("%s: the copy counts as current until %s after its last confirmation", condition, got.Sub(want))
		}
	}
	w := open()
	round(w, false)
	syncedAt := answer(time.Second)
	check("while a watch is active", syncedAt)
	round(w, false)
	answer(2 * time.Second)
	close(w.events)
	w = open()
	check("after a watch that was silent", syncedAt)
	answer(time.Second)
	check("before a new watch is answered", syncedAt)
	round(w, false)
	syncedAt = answer(time.Second)
	check("after a new watch is answered", syncedAt)
	round(w, true)
	answer(300 * time.Millisecond)
	check("while a watch pauses", syncedAt)
	clock.Add(int64(time.Millisecond))
	round(w, false)
	check("when a watch resumes", syncedAt)
	check("after a pause", answer(time.Second))
	answer(5 * time.Second)
	check("after the machine was suspended", syncedAt)
	cancel()
	close(w.events)
	<-done
}

// Guards against an instance that switches from peers to the store and mistakes the time on peer updates for an
// outage: after one refused call the removal of a server would become final too late.
func TestTimeOnPeerUpdatesIsNoOutage(t *testing.T) {
	tracker := &laceplatform.ConnectivityTracker{}
	var last Source
	f := NewFollower("servers/", nil, tracker, lacelog.Discard(), func(_ []Change, s Source) { last = s })
	entry := laceplatform.Entry{
		Key:      "servers/a",
		Revision: 1,
	}
	for _, confirmed := range []bool{true, false} {
		entry.Revision++
		f.Merge(Delta{
			Full:     true,
			Revision: entry.Revision,
			Entries:  []laceplatform.Entry{entry},
		})
		f.lastContact = time.Now().Add(-2 * minOutage)
		if confirmed {
			f.Confirm(entry.Revision, tracker.Now())
		}
		f.recordFailure(errors.New("refused"))
		entry.Revision++
		f.applyEvent(laceplatform.Event{
			Entry:   entry,
			Deleted: true,
		})
		if last.FromPeer || last.RemovalsFinalAt.IsZero() != confirmed {
			t.Errorf("confirmed %t: a removal is final in %s", confirmed, time.Until(last.RemovalsFinalAt))
		}
	}
}

// startWatch marks the watch as active.
func (f *Follower) startWatch(since laceunit.Uptime) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchingSince, f.lastEvent = since, since
}

// Guards against a copy that counts as current because small responses overtake the large one of its watch.
func TestResponsesThatOvertakeWatchProveNothing(t *testing.T) {
	now := laceunit.Uptime(time.Minute)
	tracker := laceplatform.NewConnectivityTracker(func() laceunit.Uptime { return now })
	f := NewFollower("op/", nil, tracker, lacelog.Discard(), func([]Change, Source) {})
	answered := func(after time.Duration) laceunit.Uptime {
		now = now.Add(after)
		tracker.RecordResult(context.Background(), now, nil)
		return now
	}
	f.startWatch(now)
	duringWatch := answered(100 * time.Millisecond)
	if s := f.Status(); s.SyncedAt != duringWatch {
		t.Fatalf("the copy is %s old while its watch is active", now.Sub(s.SyncedAt))
	}
	f.markReceiving()
	watchSentAt := now
	answered(time.Second)
	if s := f.Status(); s.SyncedAt != duringWatch || !f.Receiving() {
		t.Errorf("the copy is %s old while a response of its watch is being received", now.Sub(s.SyncedAt))
	}
	f.applyEvent(laceplatform.Event{
		Entry:       laceplatform.Entry{Revision: 7},
		Progress:    true,
		RequestedAt: watchSentAt,
		Paused:      true,
	})
	if s := f.Status(); s.SyncedAt != watchSentAt || f.Receiving() {
		t.Errorf("the copy is %s old, but the watch request that was answered was sent %s ago",
			now.Sub(s.SyncedAt), now.Sub(watchSentAt))
	}
	answered(100 * time.Millisecond)
	if s := f.Status(); s.SyncedAt != watchSentAt {
		t.Errorf("the copy is %s old while its watch pauses", now.Sub(s.SyncedAt))
	}
}

// Guards against a copy received from a peer that counts as current because of other responses, before the store has
// answered its watch.
func TestUnansweredWatchProvesNothing(t *testing.T) {
	var clock atomic.Int64
	clock.Store(int64(time.Hour))
	tracker := laceplatform.NewConnectivityTracker(func() laceunit.Uptime { return laceunit.Uptime(clock.Load()) })
	store := &scriptedStore{watches: make(chan *scriptedWatch)}
	f := NewFollower("servers/", store, tracker, lacelog.Discard(), func([]Change, Source) {})
	f.SetViaPeers(true)
	f.Merge(Delta{
		Full:     true,
		Revision: 5,
		Entries:  []laceplatform.Entry{entryAt("servers/a", 5, "x")},
	})
	confirmedAt := tracker.Now()
	f.Confirm(5, confirmedAt)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	clock.Add(int64(10 * time.Second))
	f.SetViaPeers(false)
	w := &scriptedWatch{events: make(chan laceplatform.Event)}
	store.watches <- w
	// An event without a change shows that the follower reads the watch.
	w.events <- laceplatform.Event{Entry: entryAt("servers/a", 5, "x")}
	tracker.RecordResult(t.Context(), laceunit.Uptime(clock.Add(int64(100*time.Millisecond))), nil)
	if got := f.Status().SyncedAt; got != confirmedAt {
		t.Errorf("the copy counts as current until %s after the confirmation by the peer", got.Sub(confirmedAt))
	}
	cancel()
	close(w.events)
	<-done
}

// changingStore returns a new revision with each list, without delay.
type changingStore struct {
	scriptedStore

	lists atomic.Int64
}

// List implements laceplatform.Store.
func (s *changingStore) List(context.Context, laceplatform.Key) ([]laceplatform.Entry, laceplatform.Revision, error) {
	n := laceplatform.Revision(s.lists.Add(1))
	return []laceplatform.Entry{entryAt("servers/a", n, "x")}, n, nil
}

// Guards against an instance that lists the store forever after a watch has fallen behind, because entries change all
// the time.
func TestCatchUpEndsWhenListsAreFast(t *testing.T) {
	store := &changingStore{scriptedStore: scriptedStore{watches: make(chan *scriptedWatch)}}
	f := NewFollower("servers/", store, &laceplatform.ConnectivityTracker{}, lacelog.Discard(),
		func([]Change, Source) {})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	w := &scriptedWatch{
		events: make(chan laceplatform.Event),
		err:    laceplatform.ErrWatchLagging,
	}
	store.watches <- w
	close(w.events)
	nextWatch := &scriptedWatch{events: make(chan laceplatform.Event)}
	select {
	case store.watches <- nextWatch:
	case <-time.After(3 * time.Second):
		t.Errorf("no watch 3 s after one that fell behind; %d lists, each answered at once", store.lists.Load())
	}
	cancel()
	close(nextWatch.events)
	<-done
}

// Guards against a server that stays in use at instances that replicate from peers after its removal became final at
// the instance that watches the store.
func TestRelayedRemovalsAreFinalAtOnce(t *testing.T) {
	const prefix, key laceplatform.Key = "servers/", "servers/a"
	var last Source
	follower := func() *Follower {
		f := NewFollower(prefix, nil, &laceplatform.ConnectivityTracker{}, lacelog.Discard(),
			func(_ []Change, s Source) { last = s })
		f.Merge(Delta{
			Full:     true,
			Revision: 1,
			Entries: []laceplatform.Entry{{
				Key:      key,
				Revision: 1,
			}},
		})
		return f
	}
	watcher := follower()
	watcher.applyEvent(laceplatform.Event{
		Entry: laceplatform.Entry{
			Key:      key,
			Revision: 2,
		},
		Deleted: true,
	})
	if !last.RemovalsFinalAt.IsZero() {
		t.Fatalf("the removal is final only in %s at the instance that watches the store", time.Until(last.RemovalsFinalAt))
	}
	watcher.applyEvent(laceplatform.Event{
		Entry:    laceplatform.Entry{Revision: 2},
		Progress: true,
	})
	source := watcher
	// Instances also replicate from peers that replicate themselves.
	for hop := range 2 {
		replica := follower()
		d, _, ok := source.DeltaSince(1, Base{})
		if !ok {
			t.Fatal("no delta")
		}
		replica.Merge(d)
		if !last.FromPeer || !last.RemovalsFinalAt.IsZero() {
			t.Errorf("hop %d: the removal is final only in %s", hop+1, time.Until(last.RemovalsFinalAt).Round(time.Millisecond))
		}
		source = replica
	}
}
