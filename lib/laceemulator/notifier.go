package laceemulator

import (
	"context"
	"sync"
)

// notifier notifies any number of waiters of a change.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// next returns the channel that the next call of notify closes. To miss no change, call it before reading the state.
func (n *notifier) next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// notify wakes all waiters.
func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}

// wait blocks until a channel returned by next is closed or the context ends.
func wait(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
		return nil
	}
}
