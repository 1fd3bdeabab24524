package lacerelay

import (
	"sync"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

// States of servers in the log, beside those of Apply.
const (
	// stateLeaving is what the entry says, stateSaysLeaving what the server's answers say.
	stateLeaving     = "leaving"
	stateSaysLeaving = "says_leaving"
	statePausing     = "pausing"
	// stateLimiting and stateUnlimited tell of a limit that a server names in its answers, as this instance hears it.
	stateLimiting  = "limiting"
	stateUnlimited = "unlimited"
)

// Backend is a backend server as it registered itself.
type Backend struct {
	ID      laceunit.ServerID
	Service laceunit.ServiceID
	Address laceunit.Address
	Zone    laceunit.ZoneID
	Slots   int
	Leaving bool
	// Born tells the starts of a server under one id apart.
	Incarnation int64
}

// backend is a server with its connections.
type backend struct {
	Backend
	pool *laceconn.Pool
	// until is when a server that is missing from the list goes out of use; zero while it is listed.
	until time.Time
	// limit is what the last answer said.
	limit laceconn.Limit
	// unread is when a header of the server that can't be read was last logged.
	unread time.Time
}

// unreadInterval is how often such a header is logged for each server.
const unreadInterval = 10 * time.Second

// Backends is the set of usable backend servers; it tells the placer of changes.
type Backends struct {
	placer *Picker
	log    *lacelog.Logger

	mu    sync.Mutex
	all   map[laceunit.ServerID]*backend
	bound func(laceunit.ServiceID) int
	// traffic counts the bytes of all connections; nil for none.
	traffic *laceconn.Traffic
}

// NewBackends returns an empty set; bound is how many connections this instance may have to a server of a service.
func NewBackends(placer *Picker, log *lacelog.Logger, bound func(laceunit.ServiceID) int) *Backends {
	return &Backends{
		placer: placer,
		log:    log,
		all:    map[laceunit.ServerID]*backend{},
		bound:  bound,
	}
}

// Count makes the connections to servers count their bytes; it must be called before Apply.
func (b *Backends) CountTraffic(t *laceconn.Traffic) { b.traffic = t }

// Apply takes over servers that registered or changed, and ids that are no longer listed. The missing ones may only have
// lost their entries while the store was away; they stay in use until settles.
func (b *Backends) Apply(now time.Time, listed []Backend, missing []laceunit.ServerID, settles time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	for _, x := range listed {
		changed = b.put(x) || changed
	}
	for _, id := range missing {
		x := b.all[id]
		if x == nil || !x.until.IsZero() {
			continue
		}
		if now.Before(settles) && !x.Leaving {
			x.until = settles
			b.note(x, "missing")
			continue
		}
		b.drop(x, "gone")
		changed = true
	}
	if changed {
		b.publish()
	}
}

// Tick drops servers whose entries have not come back in time, and closes connections that rest too long.
func (b *Backends) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	for _, x := range b.all {
		x.pool.Expire(now)
		if !x.until.IsZero() && !now.Before(x.until) {
			b.drop(x, "lapsed")
			changed = true
		}
	}
	if changed {
		b.publish()
	}
}

// Listed reports whether a start of a server is in use.
func (b *Backends) Contains(id laceunit.ServerID, born int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, ok := b.all[id]
	return ok && x.Incarnation == born
}

// Pool returns the connections to a server.
func (b *Backends) Pool(id laceunit.ServerID) (*laceconn.Pool, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, ok := b.all[id]
	if !ok {
		return nil, false
	}
	return x.pool, true
}

// Leave takes in that the server of a ticket has said that it leaves; connections in use end with their requests.
func (b *Backends) MarkLeaving(id laceunit.ServerID, t lacebalancer.Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	news := b.placer.MarkLeaving(t)
	x, ok := b.all[id]
	if !ok || !news || !b.placer.IsLeaving(id, x.Incarnation) {
		return
	}
	if err := x.pool.Close(); err != nil {
		b.log.Fault(err, "connections were not closed", lacelog.P(lacelog.Backend, id))
	}
	b.note(x, stateSaysLeaving)
}

// Pause takes in that the server of a ticket wants nothing for a time.
func (b *Backends) MarkPaused(id laceunit.ServerID, t lacebalancer.Ticket, length time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	news := b.placer.MarkPaused(t, length)
	if x, ok := b.all[id]; ok && news {
		b.note(x, statePausing, lacelog.P(lacelog.Retry, length.Milliseconds()))
	}
}

// Limit notes what an answer says about how many requests its server takes.
func (b *Backends) SetLimit(id laceunit.ServerID, limit laceconn.Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, ok := b.all[id]
	if !ok || x.limit.Named == limit.Named && x.limit.Rate == limit.Rate {
		return
	}
	x.limit = limit
	if !limit.Named {
		b.note(x, stateUnlimited)
		return
	}
	b.note(x, stateLimiting, lacelog.P("limit", limit.Rate))
}

// Unread notes a header of a server that can't be read, and what it is taken for.
func (b *Backends) LogHeaderError(id laceunit.ServerID, err error, pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, ok := b.all[id]
	now := time.Now()
	if !ok || !x.unread.IsZero() && now.Sub(x.unread) < unreadInterval {
		return
	}
	x.unread = now
	b.log.Fault(err, "header of a server can't be read", lacelog.P(lacelog.Backend, id), lacelog.P(lacelog.Service, x.Service),
		lacelog.P(lacelog.Retry, pause.Milliseconds()))
}

// Close closes all idle connections.
func (b *Backends) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.all {
		if err := x.pool.Close(); err != nil {
			return err
		}
	}
	return nil
}

func (b *Backends) put(x Backend) bool {
	old := b.all[x.ID]
	if old != nil && old.Backend == x && old.until.IsZero() {
		return false
	}
	fresh := backend{Backend: x}
	if old != nil && old.Address == x.Address && old.Incarnation == x.Incarnation {
		fresh.pool, fresh.unread, fresh.limit = old.pool, old.unread, old.limit
	} else {
		if old != nil {
			b.drop(old, "restarted")
		}
		fresh.pool = laceconn.NewPool(x.Address, b.bound(x.Service))
		fresh.pool.Count(b.traffic)
	}
	b.all[x.ID] = &fresh
	state := "ready"
	switch {
	case x.Leaving:
		state = stateLeaving
	case b.placer.IsLeaving(x.ID, x.Incarnation):
		// The entry still says that the server is ready, or lapsed and is back.
		state = stateSaysLeaving
	}
	b.note(&fresh, state)
	return true
}

func (b *Backends) drop(x *backend, state string) {
	delete(b.all, x.ID)
	// Connections in use end with their requests.
	if err := x.pool.Close(); err != nil {
		b.log.Fault(err, "connections were not closed", lacelog.P(lacelog.Backend, x.ID))
	}
	b.note(x, state)
}

func (b *Backends) note(x *backend, state string, more ...lacelog.Pair) {
	b.log.Write(lacelog.Server, append([]lacelog.Pair{
		lacelog.P(lacelog.Backend, x.ID), lacelog.P(lacelog.Service, x.Service), lacelog.P("address", x.Address),
		lacelog.P("zone", x.Zone), lacelog.P("slots", x.Slots), lacelog.P("state", state),
	}, more...)...)
}

func (b *Backends) publish() {
	servers := make(map[laceunit.ServerID]laceconfig.Server, len(b.all))
	for id, x := range b.all {
		servers[id] = laceconfig.Server{
			Kind:     laceconfig.KindService,
			Address:  x.Address,
			Place:    laceunit.Place{Zone: x.Zone},
			Services: []laceunit.ServiceID{x.Service},
			Slots:    x.Slots,
			Leaving:  x.Leaving,
			Born:     x.Incarnation,
		}
	}
	b.placer.Update(servers)
}

// pool names the balancer's pool of a service.
func pool(service laceunit.ServiceID) lacebalancer.Pool { return lacebalancer.ServicePool(service) }
