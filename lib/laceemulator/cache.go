package laceemulator

import (
	"container/list"
	"time"
)

// cacheEvents bounds the events that are kept; a reader that falls further behind sees a gap.
const cacheEvents = 1024

// cacheEvent is one change of the prefix cache.
type cacheEvent struct {
	sequence uint64
	block    string
	evicted  bool
	at       time.Time
}

// prefixCache is a least recently used set of prompt blocks; it is not safe for concurrent use.
type prefixCache struct {
	limit    int
	order    list.List
	blocks   map[string]*list.Element
	events   []cacheEvent
	sequence uint64
	// dropped decides which events are never published.
	dropped func() bool
}

// touch uses the blocks of a prompt and returns how many of them were there already, from the first on. The last
// blocks are used first, so that the start of a prompt outlives its end.
func (c *prefixCache) touch(now time.Time, names []string) int {
	if c.blocks == nil {
		c.blocks = map[string]*list.Element{}
	}
	hits := 0
	for hits < len(names) && c.blocks[names[hits]] != nil {
		hits++
	}
	for i := len(names) - 1; i >= 0; i-- {
		if e := c.blocks[names[i]]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[names[i]] = c.order.PushFront(names[i])
		c.publish(now, names[i], false)
	}
	for c.order.Len() > c.limit {
		name, _ := c.order.Remove(c.order.Back()).(string)
		delete(c.blocks, name)
		c.publish(now, name, true)
	}
	return hits
}

func (c *prefixCache) publish(now time.Time, block string, evicted bool) {
	c.sequence++
	if c.dropped != nil && c.dropped() {
		return
	}
	c.events = append(c.events, cacheEvent{
		sequence: c.sequence,
		block:    block,
		evicted:  evicted,
		at:       now,
	})
	if len(c.events) > 2*cacheEvents {
		c.events = append([]cacheEvent(nil), c.events[cacheEvents:]...)
	}
}

// since returns the events after a sequence that are older than the lag.
func (c *prefixCache) since(after uint64, before time.Time) []cacheEvent {
	var found []cacheEvent
	for _, e := range c.events {
		if e.sequence > after && !e.at.After(before) {
			found = append(found, e)
		}
	}
	return found
}
