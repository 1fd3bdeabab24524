package laceplatform

import "context"

// Feed is the common part of Watch implementations: one goroutine sends events and ends the feed exactly once.
type Feed struct {
	events chan Event
	done   chan struct{}
	cancel context.CancelFunc
	err    error
}

// NewFeed returns a feed; cancel cancels the context of the sending goroutine.
func NewFeed(cancel context.CancelFunc) *Feed {
	return &Feed{
		events: make(chan Event),
		done:   make(chan struct{}),
		cancel: cancel,
	}
}

// Events implements Watch.
func (f *Feed) Events() <-chan Event { return f.events }

// Err implements Watch; it is nil while the feed runs.
func (f *Feed) Err() error {
	select {
	case <-f.done:
		return f.err
	default:
		return nil
	}
}

// Close implements Watch.
func (f *Feed) Close() error {
	f.cancel()
	<-f.done
	return nil
}

// Send blocks until the event is received or the context ends; it then returns the error of the context.
func (f *Feed) Send(ctx context.Context, e Event) error {
	select {
	case f.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// End ends the feed; Err then returns err.
func (f *Feed) End(err error) {
	f.err = err
	f.cancel()
	close(f.done)
	close(f.events) // Closed last, so that a reader that sees the channel closed also gets Err.
}
