package lacenode

import (
	"context"
	"time"

	"lacewingcove/lib/lacedirectory"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelog"
)

const (
	// roleInterval is the interval at which an instance updates its role and measures its load.
	roleInterval = 250 * time.Millisecond
	// standbyDelay is how long an instance must be inactive before it goes on standby, and how long it must not be a
	// watcher before it stops watching: while all instances start, the selection changes with each one that joins.
	standbyDelay = 1500 * time.Millisecond
	// minIdleTime is how long an instance must have had no request of a client account before it goes on standby. Some
	// callers keep using an instance regardless of the directory; it holds their tokens while their requests arrive.
	minIdleTime = 10 * time.Second
	// loadSmoothing is the weight of a new sample in the exponential moving average of the load, which adapts within
	// about two seconds.
	loadSmoothing = 0.15
)

// role switches an instance between active and standby, and measures its load.
type role struct {
	node *Node
	// inactiveSince is since when the instance has not been selected to serve callers, nonWatcherSince since when it
	// has not been selected to watch the store; zero while it is selected.
	inactiveSince   time.Time
	nonWatcherSince time.Time
	loadMeter       loadMeter
}

// Serve implements suture.Service.
func (r *role) Serve(ctx context.Context) error {
	return lacekernel.RunEvery(ctx, roleInterval, func(context.Context) { r.step(time.Now()) })
}

func (r *role) step(now time.Time) {
	n := r.node
	n.monitor.sample(now, roleInterval)
	n.link.step(now, n.log)
	n.registrar.SetLoad(r.loadMeter.sample(now, n.relay.CPUTime()))
	inactive := hasLasted(now, &r.inactiveSince, !n.directory.Active())
	// Neither callers that keep using an instance nor its planned stop are a reason to watch the store.
	n.replicating.Store(hasLasted(now, &r.nonWatcherSince, !n.directory.IsWatcher()))
	r.setStandby(inactive && !n.draining.Load() && now.Sub(n.quota.LastReserve()) >= minIdleTime)
}

// hasLasted reports whether a condition has held for at least standbyDelay, and maintains the time since which it
// holds.
func hasLasted(now time.Time, since *time.Time, holds bool) bool {
	if !holds {
		*since = time.Time{}
		return false
	}
	if since.IsZero() {
		*since = now
	}
	return now.Sub(*since) >= standbyDelay
}

// setStandby puts the instance on standby or makes it active.
func (r *role) setStandby(standby bool) {
	n := r.node
	if n.standby.Swap(standby) == standby {
		return
	}
	n.registrar.SetStandby(standby)
	n.quota.SetStandby(standby)
	n.log.Write(lacelog.Role, lacelog.P("standby", standby), lacelog.P("active", n.directory.Size()))
}

// loadMeter computes the average load from the CPU time that is estimated from the number of requests. The operating
// system's accounting is not used: where processors are shared, it includes time that the machine gives to others.
type loadMeter struct {
	sampledAt time.Time
	cpuTime   time.Duration
	load      lacedirectory.Cores
}

// sample records the total CPU time so far and returns the moving average of the load.
func (m *loadMeter) sample(now time.Time, cpuTime time.Duration) lacedirectory.Cores {
	if elapsed := now.Sub(m.sampledAt); !m.sampledAt.IsZero() && elapsed > 0 {
		m.load += loadSmoothing * (lacedirectory.Cores((cpuTime-m.cpuTime).Seconds()/elapsed.Seconds()) - m.load)
	}
	m.sampledAt, m.cpuTime = now, cpuTime
	return m.load
}
