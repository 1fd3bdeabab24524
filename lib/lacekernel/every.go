package lacekernel

import (
	"context"
	"time"
)

// Every runs a step once per interval until the context ends, and returns its error.
func Every(ctx context.Context, interval time.Duration, step func(context.Context)) error {
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
