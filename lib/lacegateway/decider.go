package lacegateway

import (
	"context"
	"sync"
	"time"
)

// idleTickInterval is the tick interval while no request waits: rate limits and ejections also change over time.
const idleTickInterval = time.Second

// decider is a state machine without I/O that may decide on a request only in a later call.
type decider[D any] interface {
	Tick(now time.Time) []D
	Next() (time.Time, bool)
}

// deciderRunner ticks a decider and delivers its decisions to the waiting requests. Its mutex also guards the decider.
type deciderRunner[K comparable, D any] struct {
	mu      sync.Mutex
	decider decider[D]
	key     func(D) K
	waiters map[K]chan D
	// wake has an element if a request started to wait since the last tick.
	wake chan struct{}
}

func newRunner[K comparable, D any](d decider[D], key func(D) K) *deciderRunner[K, D] {
	return &deciderRunner[K, D]{
		decider: d,
		key:     key,
		waiters: map[K]chan D{},
		wake:    make(chan struct{}, 1),
	}
}

// register returns the channel for the decision on a waiting request; the mutex must be held.
func (r *deciderRunner[K, D]) register(key K) <-chan D {
	c := make(chan D, 1)
	r.waiters[key] = c
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return c
}

// wait returns the decision on a waiting request. If the context ends first, it cancels the request and returns the
// refusal.
func (r *deciderRunner[K, D]) wait(ctx context.Context, key K, c <-chan D, cancel func(K) bool, refusal D) D {
	select {
	case d := <-c:
		return d
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel(key) {
		delete(r.waiters, key)
		return refusal
	}
	// The decision was made before the request could be canceled.
	return <-c
}

// deliver sends decisions to the waiting requests; the mutex must be held.
func (r *deciderRunner[K, D]) deliver(decisions []D) {
	for _, d := range decisions {
		k := r.key(d)
		if c, ok := r.waiters[k]; ok {
			delete(r.waiters, k)
			c <- d
		}
	}
}

// tick delivers the decisions that are due because time has passed, and returns the delay until the next tick.
func (r *deciderRunner[K, D]) tick(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(r.decider.Tick(now))
	next, ok := r.decider.Next()
	if !ok {
		return idleTickInterval
	}
	return min(max(next.Sub(now), time.Millisecond), idleTickInterval)
}

// serve ticks the decider until the context ends.
func (r *deciderRunner[K, D]) serve(ctx context.Context, now func() time.Time) error {
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
		case <-timer.C:
		}
		timer.Reset(r.tick(now()))
	}
}
