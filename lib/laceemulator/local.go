package laceemulator

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
)

var _ laceplatform.Store = (*LocalStore)(nil)

// Local is one client's access to a platform in the same process.
type LocalStore struct {
	platform *Platform
	client   string
}

// Local returns access for a client; faults name clients by this name.
func (p *Platform) LocalStore(client string) *LocalStore {
	return &LocalStore{
		platform: p,
		client:   client,
	}
}

// do runs a call and turns a missing answer into the class that a remote client would see.
func (l *LocalStore) do(ctx context.Context, kind laceplatform.Kind, run func(now time.Time) error) error {
	if ctx.Err() != nil {
		return laceplatform.ErrUnavailable
	}
	err := l.platform.call(ctx, l.client, kind, run)
	if !errors.Is(err, errSilent) {
		return err
	}
	if kind == laceplatform.KindRead || kind == laceplatform.KindWatch {
		return laceplatform.ErrUnavailable
	}
	return laceplatform.ErrUnknown
}

// Get implements laceplatform.Store.
func (l *LocalStore) Get(ctx context.Context, key laceplatform.Key) (laceplatform.Entry, error) {
	var found laceplatform.Entry
	err := l.do(ctx, laceplatform.KindRead, func(time.Time) (err error) {
		found, err = l.platform.state.Get(key)
		return err
	})
	if err != nil {
		return laceplatform.Entry{}, err
	}
	return found, nil
}

// List implements laceplatform.Store.
func (l *LocalStore) List(ctx context.Context, prefix laceplatform.Key) ([]laceplatform.Entry, laceplatform.Revision, error) {
	var found []laceplatform.Entry
	var revision laceplatform.Revision
	err := l.do(ctx, laceplatform.KindRead, func(time.Time) error {
		found, revision = l.platform.state.List(prefix), l.platform.state.Revision()
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return found, revision, nil
}

// Swap implements laceplatform.Store.
func (l *LocalStore) Swap(ctx context.Context, swap laceplatform.Swap) (laceplatform.Revision, error) {
	var revision laceplatform.Revision
	swap.Value = slices.Clone(swap.Value) // A slow write takes effect after the caller has its memory back.
	err := l.do(ctx, laceplatform.KindWrite, func(time.Time) (err error) {
		revision, err = l.platform.state.Swap(swap)
		return err
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// Delete implements laceplatform.Store.
func (l *LocalStore) Delete(ctx context.Context, key laceplatform.Key, expect laceplatform.Revision) error {
	return l.do(ctx, laceplatform.KindWrite, func(time.Time) error {
		return l.platform.state.Delete(key, expect)
	})
}

// Lease implements laceplatform.Store.
func (l *LocalStore) Lease(ctx context.Context, ttl time.Duration) (laceplatform.LeaseID, error) {
	var id laceplatform.LeaseID
	err := l.do(ctx, laceplatform.KindLease, func(now time.Time) error {
		id = l.platform.state.Grant(now, ttl)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// Renew implements laceplatform.Store.
func (l *LocalStore) Renew(ctx context.Context, lease laceplatform.LeaseID) error {
	if l.platform.renewable(ctx, l.client) != nil {
		return laceplatform.ErrUnknown
	}
	return l.do(ctx, laceplatform.KindLease, func(now time.Time) error {
		_, err := l.platform.state.Renew(now, lease)
		return err
	})
}

// Revoke implements laceplatform.Store.
func (l *LocalStore) Revoke(ctx context.Context, lease laceplatform.LeaseID) error {
	return l.do(ctx, laceplatform.KindLease, func(time.Time) error {
		return l.platform.state.Revoke(lease)
	})
}

// Watch implements laceplatform.Store; the watch outlasts an outage and a cut as long as nothing is compacted.
func (l *LocalStore) Watch(ctx context.Context, prefix laceplatform.Key, after laceplatform.Revision) (laceplatform.Watch, error) {
	err := l.do(ctx, laceplatform.KindWatch, func(time.Time) error { return nil })
	if err != nil {
		return nil, err
	}
	inner, cancel := context.WithCancel(ctx)
	w := &localWatch{
		feed: feed{
			platform: l.platform,
			client:   l.client,
			prefix:   prefix,
			after:    after,
		},
		events: make(chan laceplatform.Event),
		done:   make(chan struct{}),
		cancel: cancel,
	}
	go w.run(inner)
	return w, nil
}

// localWatch feeds a channel until its context ends.
type localWatch struct {
	feed   feed
	events chan laceplatform.Event
	done   chan struct{}
	cancel context.CancelFunc
	err    error
}

// Events implements laceplatform.Watch.
func (w *localWatch) Events() <-chan laceplatform.Event {
	return w.events
}

// Err implements laceplatform.Watch; it is nil while the watch runs.
func (w *localWatch) Err() error {
	select {
	case <-w.done:
		return w.err
	default:
		return nil
	}
}

// Close implements laceplatform.Watch.
func (w *localWatch) Close() error {
	w.cancel()
	<-w.done
	return nil
}

func (w *localWatch) run(ctx context.Context) {
	defer close(w.events) // Last, so that Err is set for whoever sees the channel closed.
	defer close(w.done)
	defer w.cancel()
	for w.err == nil {
		w.err = w.step(ctx)
	}
}

// step delivers the next changes, or waits out an outage.
func (w *localWatch) step(ctx context.Context) error {
	events, err := w.feed.next(ctx)
	if errors.Is(err, laceplatform.ErrUnavailable) {
		return w.feed.platform.up(ctx)
	}
	if err != nil {
		return err
	}
	for _, e := range events {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case w.events <- e:
		}
	}
	return nil
}

// up waits until the platform is not down.
func (p *Platform) up(ctx context.Context) error {
	for {
		p.mu.Lock()
		down, changed := p.faults.Down, p.changed.next()
		p.mu.Unlock()
		if !down {
			return nil
		}
		if err := wait(ctx, changed); err != nil {
			return err
		}
	}
}
