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

// script is a store whose watches are played by the test.
type script struct {
	laceplatform.Store

	watches chan *scriptWatch
}

type scriptWatch struct {
	events chan laceplatform.Event
	err    error
}

// Events implements laceplatform.Watch.
func (w *scriptWatch) Events() <-chan laceplatform.Event { return w.events }

// Err implements laceplatform.Watch.
func (w *scriptWatch) Err() error { return w.err }

// Close implements laceplatform.Watch.
func (w *scriptWatch) Close() error { return nil }

// List implements laceplatform.Store.
func (s *script) List(context.Context, laceplatform.Key) ([]laceplatform.Entry, laceplatform.Revision, error) {
	return []laceplatform.Entry{
		{Key: "servers/a", Revision: 1},
		{Key: "servers/b", Revision: 2},
	}, 2, nil
}

// Watch implements laceplatform.Store.
func (s *script) Watch(ctx context.Context, _ laceplatform.Key, _ laceplatform.Revision) (laceplatform.Watch, error) {
	select {
	case w := <-s.watches:
		return w, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against a server that leaves shortly after an outage and is kept for longer than it may get requests, and
// against one that is dropped although its entry has only lapsed.
func TestRemovalsSettleWithTheStoresReturn(t *testing.T) {
	store := &script{watches: make(chan *scriptWatch)}
	sources := make(chan Source, 8)
	f := NewFollower("servers/", store, &laceplatform.Pulse{}, lacelog.Discard(), func(_ []Change, s Source) { sources <- s })
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
	calm := &scriptWatch{
		events: make(chan laceplatform.Event),
		err:    errors.New("cut"),
	}
	store.watches <- calm
	calm.events <- removal("servers/a", 3)
	if s := <-sources; !s.RemovalsFinalAt.IsZero() {
		t.Errorf("a removal in calm times settles at %s", s.RemovalsFinalAt)
	}
	f.mu.Lock()
	f.contact = time.Now().Add(-2 * outage)
	f.mu.Unlock()
	close(calm.events)
	back := &scriptWatch{events: make(chan laceplatform.Event)}
	store.watches <- back
	returned := time.Now()
	f.mu.Lock()
	f.contact = returned.Add(-2 * outage)
	f.mu.Unlock()
	back.events <- removal("servers/b", 4)
	s := <-sources
	if late := s.RemovalsFinalAt.Sub(returned); late <= 0 || late >= 2*time.Second {
		t.Errorf("a removal after an outage settles %s after the store's return", late)
	}
	cancel()
	close(back.events)
	<-done
}

// silentStore never answers calls that begin before it returns.
type silentStore struct {
	script

	back time.Time
}

// List implements laceplatform.Store.
func (s *silentStore) List(ctx context.Context, prefix laceplatform.Key) (
	[]laceplatform.Entry, laceplatform.Revision, error,
) {
	if time.Now().Before(s.back) {
		<-ctx.Done()
		return nil, 0, errors.Wrap(laceplatform.ErrUnavailable, ctx.Err().Error())
	}
	return s.script.List(ctx, prefix)
}

// Guards against an instance that starts shortly before the store's return and waits for a call that will never be
// answered, while it has no configuration and refuses everything.
func TestFirstCopyFollowsTheStoresReturn(t *testing.T) {
	const (
		away = 200 * time.Millisecond
		// The target is that half a second after the store's return every instance serves again.
		target = 500 * time.Millisecond
	)
	store := &silentStore{
		script: script{watches: make(chan *scriptWatch)},
		back:   time.Now().Add(away),
	}
	copied := make(chan struct{}, 1)
	f := NewFollower("servers/", store, &laceplatform.Pulse{}, lacelog.Discard(), func([]Change, Source) { copied <- struct{}{} })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	select {
	case <-copied:
	case <-time.After(away + target):
		t.Error("no copy half a second after the store's return")
	}
	cancel()
	<-done
}

// Guards against a copy that counts as current because calls are answered while its own watch is silent, is opened again
// after a failure, or pauses between two calls.
func TestOtherAnswersCountOnlyBesideAWatch(t *testing.T) {
	var clock atomic.Int64
	clock.Store(int64(time.Hour))
	pulse := laceplatform.NewPulse(func() laceunit.Uptime { return laceunit.Uptime(clock.Load()) })
	// answer plays a call beside the watch that is answered some time later.
	answer := func(later time.Duration) laceunit.Uptime {
		now := laceunit.Uptime(clock.Add(int64(later)))
		pulse.Note(t.Context(), now, nil)
		return now
	}
	store, begun := &script{watches: make(chan *scriptWatch)}, make(chan struct{})
	f := NewFollower("servers/", store, pulse, lacelog.Discard(), func([]Change, Source) { close(begun) })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	<-begun
	open := func() *scriptWatch {
		w := &scriptWatch{
			events: make(chan laceplatform.Event),
			err:    errors.New("silent"),
		}
		store.watches <- w
		return w
	}
	revision := f.Status().Revision
	// round ends a round of a watch and waits until the follower knows.
	round := func(w *scriptWatch, idle bool) {
		revision++
		w.events <- laceplatform.Event{
			Entry:    laceplatform.Entry{Revision: revision},
			Progress: true,
			Idle:     idle,
		}
		for f.Status().Revision < revision {
			runtime.Gosched()
		}
	}
	check := func(when string, want laceunit.Uptime) {
		t.Helper()
		if got := f.Status().SyncedAt; got != want {
			t.Errorf("%s the copy counts as current %s after it was", when, got.Sub(want))
		}
	}
	w := open()
	round(w, false)
	proved := answer(time.Second)
	check("while a watch is in place", proved)
	round(w, false)
	answer(2 * time.Second)
	close(w.events)
	w = open()
	check("after a watch that was silent", proved)
	answer(time.Second)
	check("before a new watch is answered", proved)
	round(w, false)
	proved = answer(time.Second)
	check("after a new watch is answered", proved)
	round(w, true)
	answer(300 * time.Millisecond)
	check("while a watch pauses", proved)
	clock.Add(int64(time.Millisecond))
	round(w, false)
	check("when a watch goes on", proved)
	check("after a pause", answer(time.Second))
	answer(5 * time.Second)
	check("after a suspension of the machine", proved)
	cancel()
	close(w.events)
	<-done
}

// Guards against an instance that stood by, turns to the store, and takes the time in which partners told it the news for an
// outage: with one refused call before, a server's removal would settle too late.
func TestNewsOfPartnersIsNoOutage(t *testing.T) {
	pulse := &laceplatform.Pulse{}
	var last Source
	f := NewFollower("servers/", nil, pulse, lacelog.Discard(), func(_ []Change, s Source) { last = s })
	entry := laceplatform.Entry{
		Key:      "servers/a",
		Revision: 1,
	}
	for _, told := range []bool{true, false} {
		entry.Revision++
		f.Merge(Delta{
			Full:     true,
			Revision: entry.Revision,
			Entries:  []laceplatform.Entry{entry},
		})
		f.contact = time.Now().Add(-2 * outage)
		if told {
			f.Confirm(entry.Revision, pulse.Now())
		}
		f.lost(errors.New("refused"))
		entry.Revision++
		f.event(laceplatform.Event{
			Entry:   entry,
			Deleted: true,
		})
		if last.FromPeer || last.RemovalsFinalAt.IsZero() != told {
			t.Errorf("told %t: a removal settles in %s", told, time.Until(last.RemovalsFinalAt))
		}
	}
}

// watching puts a watch in place.
func (f *Follower) watching(since laceunit.Uptime) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watched, f.heard = since, since
}

// Guards against a copy that counts as current because small answers overtake the large one that a watch is bringing.
func TestAnswersThatOvertakeAWatchSayNothing(t *testing.T) {
	now := laceunit.Uptime(time.Minute)
	pulse := laceplatform.NewPulse(func() laceunit.Uptime { return now })
	f := NewFollower("op/", nil, pulse, lacelog.Discard(), func([]Change, Source) {})
	answered := func(after time.Duration) laceunit.Uptime {
		now = now.Add(after)
		pulse.Note(context.Background(), now, nil)
		return now
	}
	f.watching(now)
	beside := answered(100 * time.Millisecond)
	if s := f.Status(); s.SyncedAt != beside {
		t.Fatalf("the copy is of %s ago beside a watch", now.Sub(s.SyncedAt))
	}
	f.arrive()
	asked := now
	answered(time.Second)
	if s := f.Status(); s.SyncedAt != beside || !f.Receiving() {
		t.Errorf("the copy is of %s ago while an answer of its watch arrives", now.Sub(s.SyncedAt))
	}
	f.event(laceplatform.Event{
		Entry:    laceplatform.Entry{Revision: 7},
		Progress: true,
		Sent:     asked,
		Idle:     true,
	})
	if s := f.Status(); s.SyncedAt != asked || f.Receiving() {
		t.Errorf("the copy is of %s ago, its watch was asked %s ago", now.Sub(s.SyncedAt), now.Sub(asked))
	}
	answered(100 * time.Millisecond)
	if s := f.Status(); s.SyncedAt != asked {
		t.Errorf("the copy is of %s ago in the pause of its watch", now.Sub(s.SyncedAt))
	}
}

// Guards against a copy of a partner that counts as current by other answers, before the store has answered its watch.
func TestAnUnansweredWatchProvesNothing(t *testing.T) {
	var clock atomic.Int64
	clock.Store(int64(time.Hour))
	pulse := laceplatform.NewPulse(func() laceunit.Uptime { return laceunit.Uptime(clock.Load()) })
	store := &script{watches: make(chan *scriptWatch)}
	f := NewFollower("servers/", store, pulse, lacelog.Discard(), func([]Change, Source) {})
	f.SetViaPeers(true)
	f.Merge(Delta{
		Full:     true,
		Revision: 5,
		Entries:  []laceplatform.Entry{entryAt("servers/a", 5, "x")},
	})
	told := pulse.Now()
	f.Confirm(5, told)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	clock.Add(int64(10 * time.Second))
	f.SetViaPeers(false)
	w := &scriptWatch{events: make(chan laceplatform.Event)}
	store.watches <- w
	// An event that says nothing new shows that the follower reads the watch.
	w.events <- laceplatform.Event{Entry: entryAt("servers/a", 5, "x")}
	pulse.Note(t.Context(), laceunit.Uptime(clock.Add(int64(100*time.Millisecond))), nil)
	if got := f.Status().SyncedAt; got != told {
		t.Errorf("the copy counts as current %s after the partner's word", got.Sub(told))
	}
	cancel()
	close(w.events)
	<-done
}

// behindStore has a new list each time and is never behind with it.
type behindStore struct {
	script

	lists atomic.Int64
}

// List implements laceplatform.Store.
func (s *behindStore) List(context.Context, laceplatform.Key) ([]laceplatform.Entry, laceplatform.Revision, error) {
	n := laceplatform.Revision(s.lists.Add(1))
	return []laceplatform.Entry{entryAt("servers/a", n, "x")}, n, nil
}

// Guards against an instance that lists the store for ever once a watch was behind, where entries change all the time.
func TestListsEndOnALinkWithRoom(t *testing.T) {
	store := &behindStore{script: script{watches: make(chan *scriptWatch)}}
	f := NewFollower("servers/", store, &laceplatform.Pulse{}, lacelog.Discard(), func([]Change, Source) {})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	w := &scriptWatch{
		events: make(chan laceplatform.Event),
		err:    laceplatform.ErrBehind,
	}
	store.watches <- w
	close(w.events)
	next := &scriptWatch{events: make(chan laceplatform.Event)}
	select {
	case store.watches <- next:
	case <-time.After(3 * time.Second):
		t.Errorf("no watch 3 s after one that was behind; %d lists, each answered at once", store.lists.Load())
	}
	cancel()
	close(next.events)
	<-done
}
