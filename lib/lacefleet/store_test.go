package lacefleet

import (
	"context"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lacewingcove/lib/laceplatform"
)

// platform is an in-memory store that several clients share; leases end only when a test ends them.
type platform struct {
	mu       sync.Mutex
	revision laceplatform.Revision
	lease    laceplatform.LeaseID
	leases   map[laceplatform.LeaseID]bool
	entries  map[laceplatform.Key]laceplatform.Entry
	watches  []*watch
	history  []laceplatform.Event
	at       []laceplatform.Revision
	calls    atomic.Int64
}

func newPlatform() *platform {
	return &platform{
		leases:  map[laceplatform.LeaseID]bool{},
		entries: map[laceplatform.Key]laceplatform.Entry{},
	}
}

type watch struct {
	prefix string
	events chan laceplatform.Event
	owner  *client
}

func (w *watch) Events() <-chan laceplatform.Event { return w.events }
func (w *watch) Err() error                        { return laceplatform.ErrUnavailable }
func (w *watch) Close() error                      { return nil }

// client is one instance's access to the platform.
type client struct {
	*platform
	down atomic.Bool
}

func (c *client) ready() error {
	c.calls.Add(1)
	if c.down.Load() {
		return laceplatform.ErrUnavailable
	}
	return nil
}

func (p *platform) emit(e laceplatform.Event) {
	p.history = append(p.history, e)
	p.at = append(p.at, p.revision)
	for _, w := range p.watches {
		if strings.HasPrefix(string(e.Entry.Key), w.prefix) && !w.owner.down.Load() {
			w.events <- e
		}
	}
}

// expire ends the lease of a key.
func (p *platform) expire(key laceplatform.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[key]
	delete(p.leases, e.Lease)
	delete(p.entries, key)
	p.revision++
	p.emit(laceplatform.Event{Entry: e, Deleted: true})
}

func (c *client) Get(_ context.Context, key laceplatform.Key) (laceplatform.Entry, error) {
	if err := c.ready(); err != nil {
		return laceplatform.Entry{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[key]
	if !ok {
		return e, laceplatform.ErrMissing
	}
	return e, nil
}

func (c *client) List(_ context.Context, prefix laceplatform.Key) ([]laceplatform.Entry, laceplatform.Revision, error) {
	if err := c.ready(); err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []laceplatform.Entry
	for k, e := range c.entries {
		if strings.HasPrefix(string(k), string(prefix)) {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, c.revision, nil
}

func (c *client) Swap(_ context.Context, swap laceplatform.Swap) (laceplatform.Revision, error) {
	if err := c.ready(); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries[swap.Key].Revision != swap.Expect {
		return 0, laceplatform.ErrConflict
	}
	c.revision++
	e := laceplatform.Entry{
		Key:      swap.Key,
		Value:    swap.Value,
		Revision: c.revision,
		Lease:    swap.Lease,
	}
	c.entries[swap.Key] = e
	c.emit(laceplatform.Event{Entry: e})
	return c.revision, nil
}

func (c *client) Delete(context.Context, laceplatform.Key, laceplatform.Revision) error {
	return c.ready()
}

func (c *client) Lease(context.Context, time.Duration) (laceplatform.LeaseID, error) {
	if err := c.ready(); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease++
	c.leases[c.lease] = true
	return c.lease, nil
}

func (c *client) Renew(_ context.Context, lease laceplatform.LeaseID) error {
	if err := c.ready(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leases[lease] {
		return laceplatform.ErrLeaseGone
	}
	return nil
}

func (c *client) Revoke(context.Context, laceplatform.LeaseID) error { return c.ready() }

func (c *client) Watch(_ context.Context, prefix laceplatform.Key, after laceplatform.Revision) (laceplatform.Watch, error) {
	if err := c.ready(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &watch{
		prefix: string(prefix),
		events: make(chan laceplatform.Event, 4096),
		owner:  c,
	}
	for i, e := range c.history {
		if c.at[i] > after && strings.HasPrefix(string(e.Entry.Key), w.prefix) {
			w.events <- e
		}
	}
	c.watches = append(c.watches, w)
	return w, nil
}
