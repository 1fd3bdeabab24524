package lacestream

import (
	"sync"
	"sync/atomic"
)

// sharedCalls makes calls one at a time and shares their results. The zero value is ready for use.
type sharedCalls[T any] struct {
	// begun counts the calls that have begun.
	begun atomic.Uint64

	mu     sync.Mutex
	result T
	err    error
}

// do returns the result of a call that began after do was called: one that others have made in the meantime, or its own.
// It waits for at most one call before its own.
func (c *sharedCalls[T]) do(call func() (T, error)) (T, error) {
	before := c.begun.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun.Load() == before {
		c.begun.Add(1)
		c.result, c.err = call()
	}
	return c.result, c.err
}
