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

// driver carries the events of a plan out.
type driver struct {
	*site
	fleet   *fleet
	callers *callers
	began   time.Time

	mu      sync.Mutex
	deeds   []deed
	changes []change
	failed  error
}

// run carries all events out and waits for their ends.
func (d *driver) run(ctx context.Context, plan []event) error {
	var all sync.WaitGroup
	for _, e := range plan {
		all.Go(func() {
			if sleep(ctx, time.Until(d.began.Add(e.at))) {
				d.do(ctx, e)
			}
		})
	}
	all.Wait()
	slices.SortStableFunc(d.deeds, func(a, b deed) int { return int(a.at - b.at) })
	if d.failed != nil {
		return d.failed
	}
	return errors.Wrap(ctx.Err(), "soak")
}

func (d *driver) do(ctx context.Context, e event) {
	x := deed{
		event: e,
		began: time.Now(),
	}
	var err error
	switch e.target {
	case anInstance:
		err = d.signal(ctx, &x)
	case theStore:
		err = d.disturbStore(ctx, e)
	case theConfiguration:
		err = d.configure(e)
	case theCallers:
		d.callers.add(e.length)
	case theLink:
		err = d.press(ctx, e)
	case anEngine, aServer:
		err = d.disturbServer(ctx, &x)
	}
	if x.ended.IsZero() {
		x.ended = time.Now()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deeds = append(d.deeds, x)
	if d.failed == nil {
		d.failed = errors.Wrap(err, e.String())
	}
}

// signal ends an instance and starts it again, freezes it or makes it read its settings.
func (d *driver) signal(ctx context.Context, x *deed) error {
	p := d.fleet.process(x.number, x.kind == stop || x.kind == kill)
	switch x.kind {
	case hangup:
		return unlessDone(p.Hangup())
	case freeze:
		err := p.Freeze()
		sleep(ctx, x.length)
		if err == nil {
			err = p.Resume()
		}
		return unlessDone(err)
	case stop:
		p.Stop(drainGrace + stopPatience)
	default:
		p.Kill()
	}
	x.ended = time.Now()
	sleep(ctx, x.length)
	err := d.fleet.start(ctx, x.number)
	x.ready = time.Now()
	return err
}

// unlessDone drops the error of a signal to a process that has ended by itself, which is a finding at the end of the run.
func unlessDone(err error) error {
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

func (d *driver) disturbStore(ctx context.Context, e event) error {
	f := e.store
	// Leases of a store that is away may end or not.
	f.SuspendLeaseExpiry = e.choice%2 == 0
	switch e.kind {
	case forget:
		d.store.Compact()
	case apart:
		f.Outage = []lacestage.Outage{lacestage.Unresponsive, lacestage.ServiceUnavailable, lacestage.ConnectionReset}[e.choice%3]
		for _, g := range []lacestage.StoreFault{f, {}} {
			for _, i := range e.apart {
				if err := d.store.SetInstanceFault(instanceID(i), g); err != nil {
					return err
				}
			}
			if g.Outage != lacestage.NoOutage {
				sleep(ctx, e.length)
			}
		}
	default:
		d.store.SetFault(f)
		sleep(ctx, e.length)
		d.store.SetFault(lacestage.StoreFault{})
	}
	return nil
}

// configure writes a new version.
func (d *driver) configure(e event) error {
	return d.apply(func(c *laceroute.Document) {
		switch e.kind {
		case limit:
			r := &c.Routes[e.choice%len(c.Routes)]
			r.Timeout = routeLimit + shortLimit - r.Timeout
		case revoke:
			c.Accounts[accountRevoked].Keys = c.Accounts[accountRevoked].Keys[:1]
		case topUp:
			c.Accounts[accountToppedUp].Paid += scarce / 2
		case addRoute:
			for _, k := range kinds() {
				if k.later && !slices.ContainsFunc(c.Routes, func(r laceroute.Route) bool { return r.Name == k.name }) {
					c.Routes = append(c.Routes, k.route())
				}
			}
		}
	})
}

// disturbServer ends a server and starts another one, or makes it misbehave for a time.
func (d *driver) disturbServer(ctx context.Context, x *deed) error {
	s := d.server(x.number)
	x.server = s.ID()
	cut := lacestage.CutPoint(x.choice % int(lacestage.CutWithinChunkSize+1))
	switch {
	case x.kind == crash || x.kind == replace:
		s.Crash(cut)
		sleep(ctx, x.length)
		return d.launch(x.number, x.choice%2 == 0, s.Address())
	case x.kind == limits:
		s.SetRateLimit(laceunit.Rate(1 + x.choice%mostLimit))
		sleep(ctx, x.length)
		s.SetRateLimit(0)
	case x.kind == pause:
		s.Pause(x.length)
		sleep(ctx, x.length)
	case x.leave.AnnounceInStore || x.leave.AnnounceInHeader:
		l := x.leave
		l.Period = x.length
		s.Drain(l)
		select {
		case <-s.Done():
		case <-ctx.Done():
		}
		if err := s.Close(); err != nil && !errors.Is(err, lacestage.ErrClosed) {
			return err
		}
		return d.launch(x.number, true, "")
	default:
		f := x.rule.server
		f.CutPoint = cut
		s.SetFault(f)
		sleep(ctx, x.length)
		s.SetFault(lacestage.ServerFault{})
	}
	return nil
}

// sleep reports false when the context ended first.
func sleep(ctx context.Context, t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-ctx.Done():
		return false
	}
}
