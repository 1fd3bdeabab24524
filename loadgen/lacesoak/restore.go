package lacesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
	"lacewingcove/platform/lacestage"
)

const (
	// eventStoreRestored is the kind of the event in which the store is away for a moment and comes back from a backup.
	eventStoreRestored = "store-restored"
	// eventObservedChange is a change of the configuration that an observer of each instance looks for, and
	// eventObservedLeave the leaving of a server that no other event affects.
	eventObservedChange = "config-observed"
	eventObservedLeave  = "leaving-observed"
	// otherKey is a key of another user of the store.
	otherKey = "other/key"
	// Half of all seeds have restores, at most maxRestores.
	seedsPerRestore = 2
	maxRestores     = 3
	// minBackupAge and maxBackupAge bound how long before a restore its backup was taken.
	minBackupAge = time.Second
	maxBackupAge = 5 * time.Second
	// minAway and maxAway bound how long the store is away. maxRewriteDelay bounds how long after its return the operator
	// writes again what was lost.
	minAway         = 100 * time.Millisecond
	maxAway         = 1500 * time.Millisecond
	maxRewriteDelay = time.Second
	// maxLostRevisions bounds the revisions that other users of the store need between a backup and the restore. The more
	// there are, the longer it takes until the store gives out higher ones than before.
	maxLostRevisions = 2000
	// maxSeriesGap bounds the time between the end of a restore and the beginning of the next one in a series.
	maxSeriesGap = 1500 * time.Millisecond
	// maxBoundaryGap bounds the time between a backup or a return of the store and a change that comes right before or
	// after it.
	maxBoundaryGap = 300 * time.Millisecond
	// stableWindow is how long an instance and the store must have been without a fault for bounds in time to hold.
	stableWindow = 3 * time.Second
	// observedTime is how long after a restore requests are observed for which the bounds hold again.
	observedTime = time.Second
)

// addRestores adds restores of the store, with changes of the configuration and servers that leave right before the
// backup, between backup and restore, and right after the return. It uses a random source of its own. Other faults of
// the whole store are removed while it is away, and near most of the restores, as no bound holds during them.
func (p *planner) addRestores(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	count := p.options.Restores
	if count < 0 {
		count = 0
		if seed%seedsPerRestore == 0 {
			count = 1 + random.IntN(maxRestores)
		}
	}
	var previous *event
	for range count {
		e := event{
			eventType: eventType{
				kind:   eventStoreRestored,
				target: targetStore,
			},
			length:        minAway + randomUpTo(random, maxAway-minAway),
			backupAge:     minBackupAge + randomUpTo(random, maxBackupAge-minBackupAge),
			rewriteDelay:  randomUpTo(random, maxRewriteDelay),
			lostRevisions: random.IntN(maxLostRevisions + 1),
			variant:       random.IntN(variants),
		}
		earliest := e.backupAge + 2*maxBoundaryGap
		latest := p.options.Duration - QuietPeriod - stableWindow - observedTime - e.length - e.rewriteDelay
		if latest < earliest {
			continue
		}
		e.at = earliest + randomUpTo(random, latest-earliest)
		inSeries := random.IntN(2) == 0
		gap := randomUpTo(random, maxSeriesGap)
		if previous != nil && inSeries {
			e.at = min(max(previous.at+previous.length+gap, earliest), latest)
		}
		previous = &e
		p.addRestore(e, random)
	}
	p.removeOverlappingRestores()
}

// addRestore adds a restore and the changes near it.
func (p *planner) addRestore(e event, random *rand.Rand) {
	margin := time.Duration(0)
	if random.IntN(3) > 0 {
		margin = stableWindow + observedTime
	}
	p.events = slices.DeleteFunc(p.events, func(x event) bool {
		return isStoreFault(x) && x.at < e.at+e.length+e.rewriteDelay+margin && x.at+x.length > e.at-margin
	})
	p.events = append(p.events, e)
	returned := e.at + e.length
	for _, at := range []time.Duration{
		e.at - e.backupAge - randomUpTo(random, maxBoundaryGap),
		e.at - e.backupAge + randomUpTo(random, maxBoundaryGap),
		e.at - randomUpTo(random, e.backupAge),
		e.at - randomUpTo(random, maxBoundaryGap),
		returned + randomUpTo(random, maxBoundaryGap),
		returned + randomUpTo(random, stableWindow),
	} {
		x := event{
			at:      at,
			variant: random.IntN(variants),
		}
		switch random.IntN(5) {
		case 0, 1:
			x.eventType = eventType{
				kind:   eventObservedChange,
				target: targetConfiguration,
			}
		case 2, 3:
			x.eventType = leaveTypes()[x.variant%len(leaveTypes())]
			x.index = p.countOf(eventObservedLeave)
			// The server is there until the bound holds also for a leaving that is acknowledged after the return.
			x.length = min(returned+e.rewriteDelay+stableWindow+drainLength, p.options.Duration-QuietPeriod) - at
			if x.length < drainLength {
				continue
			}
		default:
			continue
		}
		p.events = append(p.events, x)
	}
}

// leaveTypes returns the ways in which a server tells the store that it leaves.
func leaveTypes() []eventType {
	var types []eventType
	for _, o := range []lacestage.DrainOptions{
		{AnnounceInStore: true},
		{AnnounceInStore: true, AnnounceInHeader: true},
		{RemoveEntry: true},
	} {
		types = append(types, eventType{
			kind:   eventObservedLeave,
			target: targetServer,
			drain:  o,
		})
	}
	return types
}

// isStoreFault reports whether an event is a fault of the store for all instances, other than a restore. A store that
// drops its history has no fault.
func isStoreFault(e event) bool {
	return e.target == targetStore && e.kind != eventStoreRestored && e.kind != eventPartialStoreOutage &&
		e.kind != eventStoreCompaction
}

// removeOverlappingRestores removes restores that begin while the store is away for another one.
func (p *planner) removeOverlappingRestores() {
	p.events = slices.DeleteFunc(p.events, func(e event) bool {
		return e.kind == eventStoreRestored && slices.ContainsFunc(p.events, func(x event) bool {
			return x.kind == eventStoreRestored && x.at < e.at && x.at+x.length > e.at
		})
	})
}

func (p *planner) countOf(kind string) int { return countOf(p.events, kind) }

// countOf returns the number of events of a kind.
func countOf(plan []event, kind string) int {
	n := 0
	for _, e := range plan {
		if e.kind == kind {
			n++
		}
	}
	return n
}

// randomUpTo returns a random duration between 0 and d.
func randomUpTo(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(d) + 1))
}

// restoreStore takes a backup, waits until the store is to go away, and restores it.
func (j *injector) restoreStore(ctx context.Context, x *injection) {
	backup := j.store.Backup()
	for range x.lostRevisions {
		j.store.Put(otherKey, nil)
	}
	sleep(ctx, time.Until(j.started.Add(x.at)))
	x.started = time.Now()
	j.store.SetFault(lacestage.StoreFault{
		Outage: []lacestage.Outage{
			lacestage.Unresponsive, lacestage.ServiceUnavailable, lacestage.ConnectionReset,
		}[x.variant%3],
	})
	sleep(ctx, x.length)
	var options []lacestage.RestoreOption
	if x.variant%2 == 0 {
		options = append(options, lacestage.WithoutLeasePause())
	}
	writeAgain := j.store.Restore(backup, options...)
	j.store.SetFault(lacestage.StoreFault{})
	sleep(ctx, x.rewriteDelay)
	writeAgain()
}

// startLeaving starts the servers that leave in events of the kind eventObservedLeave.
func (t *testbed) startLeaving(plan []event) error {
	for n := range countOf(plan, eventObservedLeave) {
		s, err := lacestage.NewServer(t.store, t.recorder, lacestage.ServerOptions{
			ID:            laceunit.ServerID(fmt.Sprintf("leaving-%d", n)),
			Service:       servicePlain,
			Zone:          zoneID(n),
			Version:       "v1",
			Slots:         serverSlots,
			QueueCapacity: serverQueue,
			Address:       t.freeAddress(),
			Shape:         responseShape(),
			Seed:          t.seed,
			WrapConn:      t.link.wrap,
		})
		if err != nil {
			return err
		}
		t.leaving = append(t.leaving, s)
	}
	return nil
}

// leave makes a server leave and waits until it has stopped.
func (j *injector) leave(ctx context.Context, x *injection) {
	s := j.leaving[x.index]
	x.server = s.ID()
	o := x.drain
	o.Period = x.length
	s.Drain(o)
	select {
	case <-s.Done():
	case <-ctx.Done():
	}
}
