package lacekernel

import (
	"context"
	"time"
)

// RunEvery calls step once per interval until the context ends, and returns the context's error.
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

// Sleep waits for a duration and reports whether it elapsed; false means that the context ended first.
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
