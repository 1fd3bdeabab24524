package lacenode

import (
	"context"
	"time"

	"lacewingcove/lib/lacedirectory"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelog"
)

const (
	// roleInterval is how often an instance looks whether it takes callers and how busy it is.
	roleInterval = 250 * time.Millisecond
	// standbyDelay is how long others have to be chosen in place of an instance before it stands by: while all instances
	// start, the choice changes with each that joins.
	standbyDelay = 1500 * time.Millisecond
	// idleTime is how long no request of a client account has come before an instance stands by. Some callers stay with an
	// instance whatever the directory says; it holds their tokens as long as they come.
	idleTime = 10 * time.Second
	// loadWeight is the weight of the newest measurement in the average load, which follows within about two seconds.
	loadWeight = 0.15
)

// role makes an instance stand by while others take the callers, and measures how busy it is.
type role struct {
	node *Node
	// outside is since when the instance has not been chosen to take callers, away since when not to watch the store.
	outside time.Time
	away    time.Time
	meter   meter
}

// Serve implements suture.Service.
func (r *role) Serve(ctx context.Context) error {
	return lacekernel.Every(ctx, roleInterval, func(context.Context) { r.step(time.Now()) })
}

func (r *role) step(now time.Time) {
	n := r.node
	n.link.observe(n.vitals.sample(now, roleInterval))
	n.registrar.SetLoad(r.meter.sample(now, n.relay.CPUTime()))
	outside := lasting(now, &r.outside, !n.board.Active())
	// Callers that stay with an instance, or its planned stop, are no reason to watch the store.
	n.following.Store(lasting(now, &r.away, !n.board.IsWatcher()))
	r.set(outside && !n.leaving.Load() && now.Sub(n.quota.LastReserve()) >= idleTime)
}

// lasting reports whether something holds for long enough to act on it; since is when it began.
func lasting(now time.Time, since *time.Time, holds bool) bool {
	if !holds {
		*since = time.Time{}
		return false
	}
	if since.IsZero() {
		*since = now
	}
	return now.Sub(*since) >= standbyDelay
}

// set changes whether the instance stands by.
func (r *role) set(standby bool) {
	n := r.node
	if n.standby.Swap(standby) == standby {
		return
	}
	n.registrar.SetStandby(standby)
	n.quota.SetStandby(standby)
	n.log.Write(lacelog.Role, lacelog.P("standby", standby), lacelog.P("active", n.board.Size()))
}

// meter estimates the processor time that requests take from their number. The system's own account of it is not used:
// it includes what the machine gives to others where processors are shared.
type meter struct {
	at   time.Time
	work time.Duration
	load lacedirectory.Cores
}

// sample takes in the work done so far and returns the average load lately.
func (m *meter) sample(now time.Time, work time.Duration) lacedirectory.Cores {
	if elapsed := now.Sub(m.at); !m.at.IsZero() && elapsed > 0 {
		m.load += loadWeight * (lacedirectory.Cores((work-m.work).Seconds()/elapsed.Seconds()) - m.load)
	}
	m.at, m.work = now, work
	return m.load
}
