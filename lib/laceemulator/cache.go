package laceemulator

import (
	"container/list"
	"time"
)

// cacheEventHistory is how many of the latest events are kept at least; up to twice as many are held between two trims.
// A reader that falls further behind sees a gap in the sequence.
const cacheEventHistory = 1024

// cacheEvent is a change of the prefix cache.
type cacheEvent struct {
	sequence uint64
	block    string
	evicted  bool
	time     time.Time
}

// prefixCache is an LRU cache of prompt blocks; it is not safe for concurrent use.
type prefixCache struct {
	capacity int
	lru      list.List
	blocks   map[string]*list.Element
	events   []cacheEvent
	sequence uint64
	// dropsEvent decides whether the next event is lost, that is, never published.
	dropsEvent func() bool
}

// touch marks the blocks of a prompt as used, inserting the missing ones, and returns how many blocks at the start of
// the prompt were cached. The last block is touched first, so that the start of a prompt is evicted after its end.
func (c *prefixCache) touch(now time.Time, blocks []string) int {
	if c.blocks == nil {
		c.blocks = map[string]*list.Element{}
	}
	hits := 0
	for hits < len(blocks) && c.blocks[blocks[hits]] != nil {
		hits++
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.blocks[blocks[i]]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[blocks[i]] = c.lru.PushFront(blocks[i])
		c.publish(now, blocks[i], false)
	}
	for c.lru.Len() > c.capacity {
		block, _ := c.lru.Remove(c.lru.Back()).(string)
		delete(c.blocks, block)
		c.publish(now, block, true)
	}
	return hits
}

func (c *prefixCache) publish(now time.Time, block string, evicted bool) {
	c.sequence++
	if c.dropsEvent != nil && c.dropsEvent() {
		return
	}
	c.events = append(c.events, cacheEvent{
		sequence: c.sequence,
		block:    block,
		evicted:  evicted,
		time:     now,
	})
	if len(c.events) > 2*cacheEventHistory {
		c.events = append([]cacheEvent(nil), c.events[cacheEventHistory:]...)
	}
}

// eventsSince returns the events with a sequence above after that were created at or before a time.
func (c *prefixCache) eventsSince(after uint64, before time.Time) []cacheEvent {
	var events []cacheEvent
	for _, e := range c.events {
		if e.sequence > after && !e.time.After(before) {
			events = append(events, e)
		}
	}
	return events
}
