package lacerelay

import (
	"sync"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacestream"
	"lacewingcove/lib/laceunit"
)

// States of a backend server in the log, in addition to those that Apply and Tick log.
const (
	// stateLeaving is declared in the server's entry in the store, stateAnnouncedLeaving in its responses.
	stateLeaving          = "leaving"
	stateAnnouncedLeaving = "says_leaving"
	statePaused           = "pausing"
	// stateRateLimited and stateNoRateLimit follow the rate limit in the responses that this instance gets.
	stateRateLimited = "limiting"
	stateNoRateLimit = "unlimited"
	// stateBrittle and stateNotBrittle follow what the responses say of the server's brittleness.
	stateBrittle    = "brittle"
	stateNotBrittle = "not_brittle"
)

// Backend is the registration of a backend server.
type Backend struct {
	ID      laceunit.ServerID
	Service laceunit.ServiceID
	Address laceunit.Address
	Zone    laceunit.ZoneID
	Slots   int
	Leaving bool
	// Version is the version of the server's software; empty if the server does not state one.
	Version laceunit.SoftwareVersion
	// StartTime distinguishes the processes that were started under one server id.
	StartTime int64
}

// backend is a registered server with its connection pool.
type backend struct {
	Backend
	pool  *laceconn.Pool
	probe *crashProbe
	// superseded is true while another process has the address; the pool is closed then.
	superseded bool
	// misdirectedAt is when another process last answered at the address; zero if none has.
	misdirectedAt time.Time
	// expiresAt is when a server without an entry in the store is removed; zero while it has one.
	expiresAt time.Time
	// limit is the rate limit of the last response.
	limit laceconn.RateLimit
	// headerErrorLogged is when an unparsable response header of the server was last logged.
	headerErrorLogged time.Time
}

// headerErrorLogInterval is the minimum time between two such log lines for one server.
const headerErrorLogInterval = 10 * time.Second

// Backends is the set of usable backend servers. It passes changes on to the picker.
type Backends struct {
	picker *Picker
	log    *lacelog.Logger

	mu       sync.Mutex
	byID     map[laceunit.ServerID]*backend
	maxConns func(laceunit.ServiceID) int
	// traffic counts the bytes of all connections; nil disables the count.
	traffic *laceconn.Traffic
	// observeVersions gets the software versions of the servers; nil disables that.
	observeVersions func(map[lacestream.ServiceVersion]bool)
	// delayed reports whether the instance's link delays packets; nil means never.
	delayed func() bool
}

// NewBackends returns an empty set; maxConns returns how many connections this instance may open to each server of a
// service.
func NewBackends(picker *Picker, log *lacelog.Logger, maxConns func(laceunit.ServiceID) int) *Backends {
	return &Backends{
		picker:   picker,
		log:      log,
		byID:     map[laceunit.ServerID]*backend{},
		maxConns: maxConns,
	}
}

// CountTraffic enables counting the bytes of the connections to servers; it must be called before Apply.
func (b *Backends) CountTraffic(t *laceconn.Traffic) { b.traffic = t }

// ExtendHandshakes lets handshakes with servers take longer while delayed reports that the instance's link delays
// packets; it must be called before Apply.
func (b *Backends) ExtendHandshakes(delayed func() bool) { b.delayed = delayed }

// ObserveVersions sets a function that gets the software versions of the servers after every change of the servers. It must
// be called before Apply.
func (b *Backends) ObserveVersions(f func(map[lacestream.ServiceVersion]bool)) { b.observeVersions = f }

// Apply adds or updates registered servers, and removes those whose entries were removed. Entries may have expired only
// because the store was unavailable, so that their servers stay in use until graceEnd.
func (b *Backends) Apply(now time.Time, registered []Backend, removed []laceunit.ServerID, graceEnd time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	for _, x := range registered {
		changed = b.upsert(x) || changed
	}
	for _, id := range removed {
		x := b.byID[id]
		if x == nil || !x.expiresAt.IsZero() {
			continue
		}
		if now.Before(graceEnd) && !x.Leaving {
			x.expiresAt = graceEnd
			b.logState(x, "missing")
			continue
		}
		b.remove(x, "gone")
		changed = true
	}
	if changed {
		b.resolveAddresses(now)
		b.publish()
	}
}

// Tick removes servers whose entries were not renewed within their grace period, and closes connections that have been
// idle for too long.
func (b *Backends) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed, refuted := false, false
	for _, x := range b.byID {
		x.pool.Expire(now)
		refuted = refuted || !x.misdirectedAt.IsZero()
		if !x.expiresAt.IsZero() && !now.Before(x.expiresAt) {
			b.remove(x, "lapsed")
			changed = true
		}
	}
	if changed || refuted {
		changed = b.resolveAddresses(now) || changed
	}
	if changed {
		b.publish()
	}
}

// Contains reports whether an incarnation of a server is in use.
func (b *Backends) Contains(id laceunit.ServerID, startTime int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, ok := b.byID[id]
	return ok && x.StartTime == startTime && !x.superseded
}

// find returns a server that is in use.
func (b *Backends) find(id laceunit.ServerID) (*backend, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, ok := b.byID[id]
	return x, ok && !x.superseded
}

// MarkLeaving handles a response in which the server of a ticket announces that it is leaving (draining). Idle
// connections are closed; those in use close when their requests end.
func (b *Backends) MarkLeaving(id laceunit.ServerID, t lacebalancer.Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announceLeaving(id, b.picker.MarkLeaving(t))
}

// MarkIncarnationLeaving is MarkLeaving for a server that has announced it in a response that another instance has passed
// on.
func (b *Backends) MarkIncarnationLeaving(id laceunit.ServerID, startTime int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announceLeaving(id, b.picker.MarkIncarnationLeaving(id, startTime))
}

// announceLeaving closes the idle connections of a server that is newly marked as leaving; the lock must be held.
func (b *Backends) announceLeaving(id laceunit.ServerID, changed bool) {
	x, ok := b.byID[id]
	if !ok || !changed || !b.picker.IsLeaving(id, x.StartTime) {
		return
	}
	if err := x.pool.Close(); err != nil {
		b.log.Error(err, "closing idle connections to the backend server failed", lacelog.P(lacelog.ServerID, id))
	}
	b.logState(x, stateAnnouncedLeaving)
}

// MarkPaused handles a response in which the server of a ticket asks for no requests for some time.
func (b *Backends) MarkPaused(id laceunit.ServerID, t lacebalancer.Ticket, duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := b.picker.MarkPaused(t, duration)
	if x, ok := b.byID[id]; ok && changed {
		b.logState(x, statePaused, lacelog.P(lacelog.RetryAfter, duration.Milliseconds()))
	}
}

// SetLimit records the rate limit in a server's response and logs a change.
func (b *Backends) SetLimit(id laceunit.ServerID, limit laceconn.RateLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, ok := b.byID[id]
	if !ok || x.limit.Present == limit.Present && x.limit.Rate == limit.Rate {
		return
	}
	x.limit = limit
	if !limit.Present {
		b.logState(x, stateNoRateLimit)
		return
	}
	b.logState(x, stateRateLimited, lacelog.P("limit", limit.Rate))
}

// LogHeaderError logs a response header of a server that can't be parsed, and the pause that is derived from it. It
// logs at most once per headerErrorLogInterval for each server.
func (b *Backends) LogHeaderError(id laceunit.ServerID, err error, pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, ok := b.byID[id]
	now := time.Now()
	if !ok || !x.headerErrorLogged.IsZero() && now.Sub(x.headerErrorLogged) < headerErrorLogInterval {
		return
	}
	x.headerErrorLogged = now
	b.log.Error(err, "cannot parse a response header of the backend server", lacelog.P(lacelog.ServerID, id),
		lacelog.P(lacelog.Service, x.Service), lacelog.P(lacelog.RetryAfter, pause.Milliseconds()))
}

// Close closes all idle connections.
func (b *Backends) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.byID {
		if err := x.pool.Close(); err != nil {
			return err
		}
	}
	return nil
}

func (b *Backends) upsert(x Backend) bool {
	old := b.byID[x.ID]
	if old != nil && old.Backend == x && old.expiresAt.IsZero() {
		return false
	}
	updated := backend{Backend: x}
	if old != nil && old.Address == x.Address && old.StartTime == x.StartTime {
		updated.pool, updated.probe = old.pool, old.probe
		updated.headerErrorLogged, updated.limit = old.headerErrorLogged, old.limit
		updated.superseded, updated.misdirectedAt = old.superseded, old.misdirectedAt
	} else {
		if old != nil {
			b.remove(old, "restarted")
		}
		updated.pool = b.newPool(x)
		updated.probe = &crashProbe{}
	}
	b.byID[x.ID] = &updated
	state := "ready"
	switch {
	case x.Leaving:
		state = stateLeaving
	case b.picker.IsLeaving(x.ID, x.StartTime):
		// The entry has not been updated yet, or it expired and was written again.
		state = stateAnnouncedLeaving
	}
	b.logState(&updated, state)
	return true
}

func (b *Backends) remove(x *backend, state string) {
	delete(b.byID, x.ID)
	// Connections in use close when their requests end.
	if err := x.pool.Close(); err != nil {
		b.log.Error(err, "closing idle connections to the backend server failed", lacelog.P(lacelog.ServerID, x.ID))
	}
	b.logState(x, state)
}

func (b *Backends) logState(x *backend, state string, extra ...lacelog.Pair) {
	b.log.Write(lacelog.ServerState, append([]lacelog.Pair{
		lacelog.P(lacelog.ServerID, x.ID), lacelog.P(lacelog.Service, x.Service), lacelog.P("address", x.Address),
		lacelog.P("zone", x.Zone), lacelog.P("slots", x.Slots), lacelog.P("software", x.Version), lacelog.P("state", state),
	}, extra...)...)
}

func (b *Backends) publish() {
	servers := make(map[laceunit.ServerID]laceconfig.Server, len(b.byID))
	for id, x := range b.byID {
		if x.superseded {
			continue
		}
		servers[id] = laceconfig.Server{
			Kind:      laceconfig.KindService,
			Address:   x.Address,
			Place:     laceunit.Place{Zone: x.Zone},
			Services:  []laceunit.ServiceID{x.Service},
			Slots:     x.Slots,
			Version:   x.Version,
			Leaving:   x.Leaving,
			StartTime: x.StartTime,
		}
	}
	b.picker.Update(servers)
	if b.observeVersions != nil {
		b.observeVersions(b.versions())
	}
}

// versions returns the software versions of the servers.
func (b *Backends) versions() map[lacestream.ServiceVersion]bool {
	versions := map[lacestream.ServiceVersion]bool{}
	for _, x := range b.byID {
		versions[lacestream.ServiceVersion{
			Service: x.Service,
			Version: x.Version,
		}] = true
	}
	return versions
}

// servicePool returns the balancer pool of a service.
func servicePool(service laceunit.ServiceID) lacebalancer.Pool {
	return lacebalancer.ServicePool(service)
}
