package laceemulator

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
)

var _ laceplatform.Store = (*LocalStore)(nil)

// LocalStore is the in-process store of one client of a platform.
type LocalStore struct {
	platform *Platform
	client   string
}

// LocalStore returns the store of a client. Faults refer to the client by this name.
func (p *Platform) LocalStore(client string) *LocalStore {
	return &LocalStore{
		platform: p,
		client:   client,
	}
}

// do executes a call and maps a missing response to the error that a remote client would return.
func (l *LocalStore) do(ctx context.Context, kind laceplatform.Kind, operation func(now time.Time) error) error {
	if ctx.Err() != nil {
		return laceplatform.ErrUnavailable
	}
	err := l.platform.call(ctx, l.client, kind, operation)
	if !errors.Is(err, errNoResponse) {
		return err
	}
	if kind == laceplatform.KindRead || kind == laceplatform.KindWatch {
		return laceplatform.ErrUnavailable
	}
	return laceplatform.ErrUnknown
}

// Get implements laceplatform.Store.
func (l *LocalStore) Get(ctx context.Context, key laceplatform.Key) (laceplatform.Entry, error) {
	var entry laceplatform.Entry
	err := l.do(ctx, laceplatform.KindRead, func(time.Time) (err error) {
		entry, err = l.platform.state.Get(key)
		return err
	})
	if err != nil {
		return laceplatform.Entry{}, err
	}
	return entry, nil
}

// List implements laceplatform.Store.
func (l *LocalStore) List(
	ctx context.Context, prefix laceplatform.Key,
) ([]laceplatform.Entry, laceplatform.Revision, error) {
	var entries []laceplatform.Entry
	var revision laceplatform.Revision
	err := l.do(ctx, laceplatform.KindRead, func(time.Time) error {
		entries, revision = l.platform.state.List(prefix), l.platform.state.Revision()
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return entries, revision, nil
}

// Swap implements laceplatform.Store.
func (l *LocalStore) Swap(ctx context.Context, swap laceplatform.Swap) (laceplatform.Revision, error) {
	var revision laceplatform.Revision
	// A delayed write takes effect after Swap returns, when the caller may reuse the buffer.
	swap.Value = slices.Clone(swap.Value)
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
	if l.platform.waitForRenewals(ctx, l.client) != nil {
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

// Watch implements laceplatform.Store. The watch survives outages and partitions unless changes that it has not
// delivered are compacted.
func (l *LocalStore) Watch(
	ctx context.Context, prefix laceplatform.Key, after laceplatform.Revision,
) (laceplatform.Watch, error) {
	err := l.do(ctx, laceplatform.KindWatch, func(time.Time) error { return nil })
	if err != nil {
		return nil, err
	}
	watchCtx, cancel := context.WithCancel(ctx)
	w := &localWatch{
		cursor: watchCursor{
			platform: l.platform,
			client:   l.client,
			prefix:   prefix,
			revision: after,
		},
		events: make(chan laceplatform.Event),
		done:   make(chan struct{}),
		cancel: cancel,
	}
	go w.run(watchCtx)
	return w, nil
}

// localWatch sends changes to a channel until its context ends or the watch fails.
type localWatch struct {
	cursor watchCursor
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
	defer close(w.events) // Runs last, so that Err is set once a reader sees the channel closed.
	defer close(w.done)
	defer w.cancel()
	for w.err == nil {
		w.err = w.deliver(ctx)
	}
}

// deliver sends the next changes to the channel. During an outage it waits until the platform is up again.
func (w *localWatch) deliver(ctx context.Context) error {
	events, err := w.cursor.next(ctx)
	if errors.Is(err, laceplatform.ErrUnavailable) {
		return w.cursor.platform.waitUntilUp(ctx)
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

// waitUntilUp blocks until the platform is up.
func (p *Platform) waitUntilUp(ctx context.Context) error {
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
