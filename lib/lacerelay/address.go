package lacerelay

import (
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

// resolveAddresses decides which of several servers with one address is in use: the one that was started last. The entry
// of a server that has ended stands for some time, in which its address may be given to another one. The lock must be
// held.
func (b *Backends) resolveAddresses() {
	latest := make(map[laceunit.Address]int64, len(b.byID))
	for _, x := range b.byID {
		if at, ok := latest[x.Address]; !ok || x.StartTime > at {
			latest[x.Address] = x.StartTime
		}
	}
	for id, x := range b.byID {
		superseded := x.StartTime < latest[x.Address]
		if superseded == x.superseded {
			continue
		}
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
}

func (b *Backends) newPool(x Backend) *laceconn.Pool {
	pool := laceconn.NewPool(x.Address, b.maxConns(x.Service))
	pool.CountTraffic(b.traffic)
	pool.ExtendHandshakes(b.delayed)
	return pool
}
