package lacemirror

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
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
	if s := <-sources; !s.Settles.IsZero() {
		t.Errorf("a removal in calm times settles at %s", s.Settles)
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
	if late := s.Settles.Sub(returned); late <= 0 || late >= 2*time.Second {
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
