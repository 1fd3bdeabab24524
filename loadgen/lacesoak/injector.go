package lacesoak

import (
	"context"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
	"lacewingcove/platform/lacestage"
)

// injector injects the events of a plan.
type injector struct {
	*testbed
	fleet   *fleet
	callers *callers
	started time.Time

	mu sync.Mutex
	// injections are the events so far, changes the acknowledged configuration changes during the overload of a slow
	// link.
	injections []injection
	changes    []change
	firstErr   error
}

// run injects all events at their times and waits until they have ended.
func (j *injector) run(ctx context.Context, plan []event) error {
	var running sync.WaitGroup
	for _, e := range plan {
		running.Go(func() {
			if sleep(ctx, time.Until(j.started.Add(e.at))) {
				j.inject(ctx, e)
			}
		})
	}
	running.Wait()
	slices.SortStableFunc(j.injections, func(a, b injection) int { return int(a.at - b.at) })
	if j.firstErr != nil {
		return j.firstErr
	}
	return errors.Wrap(ctx.Err(), "soak")
}

func (j *injector) inject(ctx context.Context, e event) {
	x := injection{
		event:   e,
		started: time.Now(),
	}
	var err error
	switch e.target {
	case targetInstance:
		err = j.signalInstance(ctx, &x)
	case targetStore:
		err = j.injectStoreFault(ctx, e)
	case targetConfiguration:
		err = j.changeConfiguration(e)
	case targetCallers:
		j.callers.start(e.length)
	case targetLink:
		err = j.overloadLink(ctx, e)
	case targetEngine, targetServer:
		err = j.injectServerFault(ctx, &x)
	}
	if x.ended.IsZero() {
		x.ended = time.Now()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.injections = append(j.injections, x)
	if j.firstErr == nil {
		j.firstErr = errors.Wrap(err, e.String())
	}
}

// signalInstance stops or kills an instance and restarts it, freezes it for a time or makes it reload its settings.
func (j *injector) signalInstance(ctx context.Context, x *injection) error {
	p := j.fleet.process(x.index, x.kind == eventStop || x.kind == eventKill)
	switch x.kind {
	case eventReload:
		return ignoreProcessDone(p.Hangup())
	case eventFreeze:
		err := p.Freeze()
		sleep(ctx, x.length)
		if err == nil {
			err = p.Resume()
		}
		return ignoreProcessDone(err)
	case eventStop:
		p.Stop(stopGracePeriod + killDelay)
	default:
		p.Kill()
	}
	x.ended = time.Now()
	sleep(ctx, x.length)
	err := j.fleet.start(ctx, x.index)
	x.ready = time.Now()
	return err
}

// ignoreProcessDone drops the error of a signal to a process that has exited unexpectedly; the check after the run
// reports the exit as a violation.
func ignoreProcessDone(err error) error {
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

func (j *injector) injectStoreFault(ctx context.Context, e event) error {
	f := e.store
	// During an outage of the store, its leases may either expire or not.
	f.SuspendLeaseExpiry = e.variant%2 == 0
	switch e.kind {
	case eventStoreCompaction:
		j.store.Compact()
	case eventPartialStoreOutage:
		f.Outage = []lacestage.Outage{
			lacestage.Unresponsive, lacestage.ServiceUnavailable, lacestage.ConnectionReset,
		}[e.variant%3]
		for _, g := range []lacestage.StoreFault{f, {}} {
			for _, i := range e.isolated {
				if err := j.store.SetInstanceFault(instanceID(i), g); err != nil {
					return err
				}
			}
			if g.Outage != lacestage.NoOutage {
				sleep(ctx, e.length)
			}
		}
	default:
		j.store.SetFault(f)
		sleep(ctx, e.length)
		j.store.SetFault(lacestage.StoreFault{})
	}
	return nil
}

// changeConfiguration writes a new version of the configuration.
func (j *injector) changeConfiguration(e event) error {
	return j.apply(func(c *laceroute.Document) {
		switch e.kind {
		case eventRouteTimeout:
			// The first routes are those of serviceFragile and serviceBrittle, which no event affects.
			r := &c.Routes[2+e.variant%(len(c.Routes)-2)]
			r.Timeout = defaultTimeout + shortTimeout - r.Timeout
		case eventKeyRevoked:
			c.Accounts[accountRevoked].Keys = c.Accounts[accountRevoked].Keys[:1]
		case eventTopUp:
			c.Accounts[accountToppedUp].Paid += scarceTokens / 2
		case eventRouteAdded:
			for _, k := range routeKinds() {
				if k.addedLater && !slices.ContainsFunc(c.Routes, func(r laceroute.Route) bool {
					return r.Name == k.name
				}) {
					c.Routes = append(c.Routes, k.route())
				}
			}
		}
	})
}

// injectServerFault replaces a server after a crash or a drain, or sets a fault, a pause or a rate limit for a time.
func (j *injector) injectServerFault(ctx context.Context, x *injection) error {
	s := j.server(x.index)
	x.server = s.ID()
	cutPoint := lacestage.CutPoint(x.variant % int(lacestage.CutWithinChunkSize+1))
	switch {
	case x.kind == eventServerCrash || x.kind == eventServerReplaced:
		s.Crash(cutPoint)
		sleep(ctx, x.length)
		return j.startServer(x.index, x.variant%2 == 0, s.Address())
	case x.kind == eventServerRateLimit:
		s.SetRateLimit(laceunit.Rate(1 + x.variant%maxRateLimit))
		sleep(ctx, x.length)
		s.SetRateLimit(0)
	case x.kind == eventServerPause:
		s.Pause(x.length)
		sleep(ctx, x.length)
	case x.drain.AnnounceInStore || x.drain.AnnounceInHeader:
		l := x.drain
		l.Period = x.length
		s.Drain(l)
		select {
		case <-s.Done():
		case <-ctx.Done():
		}
		if err := s.Close(); err != nil && !errors.Is(err, lacestage.ErrClosed) {
			return err
		}
		return j.startServer(x.index, true, "")
	default:
		f := x.eventType.server
		f.CutPoint = cutPoint
		s.SetFault(f)
		sleep(ctx, x.length)
		s.SetFault(lacestage.ServerFault{})
	}
	return nil
}

// sleep waits for a time. It returns false if the context is canceled first.
func sleep(ctx context.Context, t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-ctx.Done():
		return false
	}
}
