package lacekernel

import (
	"context"
	"time"
)

// Every runs a step once per interval until the context ends, and returns its error.
func RunEvery(ctx context.Context, interval time.Duration, step func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			step(ctx)
		}
	}
}

// Sleep waits for a time and reports whether it is over; false means that the context has ended before.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
