package laceemulator

import (
	"context"

	"lacewingcove/lib/laceplatform"
)

// watchCursor is the position of a watch in the event history. Events are pulled, so a slow reader costs no memory.
type watchCursor struct {
	platform *Platform
	client   string
	prefix   laceplatform.Key
	revision laceplatform.Revision
}

// next waits for changes after the cursor, returns them and advances the cursor. It fails with ErrUnavailable while the
// platform is down and with ErrCompacted when the changes have been compacted. While the client is partitioned, it
// blocks.
func (c *watchCursor) next(ctx context.Context) ([]laceplatform.Event, error) {
	for {
		events, changed, err := c.poll()
		if err != nil || len(events) > 0 {
			return events, err
		}
		if err := wait(ctx, changed); err != nil {
			return nil, err
		}
	}
}

// poll returns the available changes and the channel that is closed at the next change.
func (c *watchCursor) poll() ([]laceplatform.Event, <-chan struct{}, error) {
	p := c.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return nil, p.changed.next(), laceplatform.ErrUnavailable
	}
	if p.faults.Partitions[c.client] != "" {
		return nil, p.changed.next(), nil
	}
	p.expireDueLeases(p.now())
	events, through, err := p.state.EventsSince(c.prefix, c.revision)
	c.revision = through
	return events, p.changed.next(), err
}

// isPartitioned reports whether the client is partitioned in either direction.
func (c *watchCursor) isPartitioned() bool {
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	return c.platform.faults.Partitions[c.client] != ""
}
