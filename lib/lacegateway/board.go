package lacegateway

import (
	"context"
	"sync"
	"time"
)

// idleTick is how often a core is ticked while nothing waits: accounts' rates and ejected servers change with time.
const idleTick = time.Second

// core is a decision core whose later calls decide earlier requests.
type core[D any] interface {
	Tick(now time.Time) []D
	Next() (time.Time, bool)
}

// board hands the decisions of a core to the requests that wait for them; its mutex also guards the core.
type board[K comparable, D any] struct {
	mu      sync.Mutex
	core    core[D]
	key     func(D) K
	waiting map[K]chan D
	// wake has an entry when a request began to wait since the last tick.
	wake chan struct{}
}

func newBoard[K comparable, D any](c core[D], key func(D) K) *board[K, D] {
	return &board[K, D]{
		core:    c,
		key:     key,
		waiting: map[K]chan D{},
		wake:    make(chan struct{}, 1),
	}
}

// await registers a waiting request; the mutex must be held.
func (b *board[K, D]) await(key K) <-chan D {
	c := make(chan D, 1)
	b.waiting[key] = c
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return c
}

// wait returns the decision on a waiting request; a caller that leaves gives its place up and gets the refusal.
func (b *board[K, D]) wait(ctx context.Context, key K, c <-chan D, cancel func(K) bool, refused D) D {
	select {
	case d := <-c:
		return d
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if cancel(key) {
		delete(b.waiting, key)
		return refused
	}
	// The decision was made while the caller left.
	return <-c
}

// deliver hands decisions out; the mutex must be held.
func (b *board[K, D]) deliver(decisions []D) {
	for _, d := range decisions {
		k := b.key(d)
		if c, ok := b.waiting[k]; ok {
			delete(b.waiting, k)
			c <- d
		}
	}
}

// tick lets the core decide what time decides and returns how long it may sleep.
func (b *board[K, D]) tick(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deliver(b.core.Tick(now))
	next, ok := b.core.Next()
	if !ok {
		return idleTick
	}
	return min(max(next.Sub(now), time.Millisecond), idleTick)
}

// serve ticks the core until the context ends.
func (b *board[K, D]) serve(ctx context.Context, now func() time.Time) error {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.wake:
		case <-timer.C:
		}
		timer.Reset(b.tick(now()))
	}
}
