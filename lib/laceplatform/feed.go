package laceplatform

import "context"

// Feed is the part of a Watch that stores share: one goroutine sends events and ends it once.
type Feed struct {
	events chan Event
	done   chan struct{}
	cancel context.CancelFunc
	err    error
}

// NewFeed returns a feed; cancel ends the context of the goroutine that sends.
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

// Send waits until an event is taken or the context ends, whose error it returns.
func (f *Feed) Send(ctx context.Context, e Event) error {
	select {
	case f.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// End ends the feed for a reason.
func (f *Feed) End(err error) {
	f.err = err
	f.cancel()
	close(f.done)
	close(f.events) // Last, so that Err is set for whoever sees the channel closed.
}
