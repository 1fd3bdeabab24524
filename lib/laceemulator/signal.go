package laceemulator

import (
	"context"
	"sync"
)

// signal tells any number of waiters that something changed.
type signal struct {
	mu sync.Mutex
	c  chan struct{}
}

// next returns the channel that the next fire closes; take it before looking at what may change.
func (s *signal) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.c == nil {
		s.c = make(chan struct{})
	}
	return s.c
}

// fire wakes those who wait.
func (s *signal) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.c != nil {
		close(s.c)
		s.c = nil
	}
}

// wait blocks until a channel from next is closed.
func wait(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
		return nil
	}
}
