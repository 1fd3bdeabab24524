package lacerelay

import (
	"time"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

// misdirectedPeriod is how long a server gets no requests after another process has answered at its address, if no other
// entry there is better. The answer may have been wrong, and no later one could correct it.
const misdirectedPeriod = time.Second

// claim is how strong the claim of an entry to its address is.
type claim int

const (
	// misdirected means that another process has answered at the address within misdirectedPeriod.
	misdirected claim = iota
	// doubtful means that another process has answered there earlier.
	doubtful
	// unrefuted means that no other process has answered there.
	unrefuted
)

func (x *backend) claim(now time.Time) claim {
	switch {
	case x.misdirectedAt.IsZero():
		return unrefuted
	case now.Sub(x.misdirectedAt) >= misdirectedPeriod:
		return doubtful
	default:
		return misdirected
	}
}

// outranks reports whether x has a better claim to the address than y, another server there: y has been refuted, or x was
// started later. Of two refuted ones it is the one that was refuted earlier.
func (x *backend) outranks(now time.Time, y *backend) bool {
	mine, other := x.claim(now), y.claim(now)
	switch {
	case mine != other:
		return mine > other
	case mine == unrefuted:
		return x.StartTime > y.StartTime
	default:
		return x.misdirectedAt.Before(y.misdirectedAt)
	}
}

// resolveAddresses decides which of several servers with one address is in use. The entry of a server that has ended
// remains for some time, in which its address may be given to another one. It reports whether that has changed a server.
// The lock must be held.
func (b *Backends) resolveAddresses(now time.Time) bool {
	best := make(map[laceunit.Address]*backend, len(b.byID))
	for _, x := range b.byID {
		if y := best[x.Address]; y == nil || x.outranks(now, y) {
			best[x.Address] = x
		}
	}
	changed := false
	for id, x := range b.byID {
		superseded := best[x.Address].outranks(now, x) || x.claim(now) == misdirected
		if superseded == x.superseded {
			continue
		}
		changed = true
		// Attempts read the fields of the former value without the lock.
		updated := *x
		updated.superseded = superseded
		b.byID[id] = &updated
		if !superseded {
			updated.pool, updated.probe = b.newPool(x.Backend), &crashProbe{}
			b.logState(&updated, "ready")
			continue
		}
		// Connections in use close when their requests end.
		if err := x.pool.Close(); err != nil {
			b.log.Error(err, "closing idle connections to the backend server failed", lacelog.P(lacelog.ServerID, id))
		}
		b.logState(&updated, "superseded")
	}
	return changed
}

// MarkMisdirected handles a response that shows that another process has the address of a server. The server is out of
// use, and so are queued requests for it, until it is started again or the other servers at the address are refuted too.
func (b *Backends) MarkMisdirected(now time.Time, id laceunit.ServerID, startTime int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, ok := b.byID[id]
	if !ok || x.StartTime != startTime {
		return
	}
	updated := *x
	updated.misdirectedAt = now
	b.byID[id] = &updated
	if b.resolveAddresses(now) {
		b.publish()
	}
}

func (b *Backends) newPool(x Backend) *laceconn.Pool {
	pool := laceconn.NewPool(x.Address, b.maxConns(x.Service))
	pool.CountTraffic(b.traffic)
	pool.ExtendHandshakes(b.delayed)
	return pool
}
