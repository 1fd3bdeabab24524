package lacenode

import (
	"context"
	"time"

	"lacewingcove/lib/lacekernel"
)

// expiryInterval is the interval at which expired entries are dropped.
const expiryInterval = 100 * time.Millisecond

// expiryTicker drops backend servers and members whose grace period has expired.
type expiryTicker struct {
	node *Node
}

// Serve implements suture.Service.
func (e expiryTicker) Serve(ctx context.Context) error {
	return lacekernel.RunEvery(ctx, expiryInterval, func(context.Context) {
		now := time.Now()
		e.node.backends.Tick(now)
		e.node.directory.Tick(now)
		e.node.peers.Tick(now)
	})
}
