package lacenode

import (
	"context"
	"time"

	"lacewingcove/lib/lacekernel"
)

// clockInterval is how often entries that may have lapsed are looked at.
const clockInterval = 100 * time.Millisecond

// clock drives what only waits for time to pass.
type clock struct {
	node *Node
}

// Serve implements suture.Service.
func (c clock) Serve(ctx context.Context) error {
	return lacekernel.Every(ctx, clockInterval, func(context.Context) {
		now := time.Now()
		c.node.backends.Tick(now)
		c.node.board.Tick(now)
	})
}
