package lacesoak

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceroute"
	"lacewingcove/platform/lacestage"
)

const (
	// storeDelay is what a slow store adds to each call, lostShare how many answers of writes get lost.
	storeDelay = 300 * time.Millisecond
	lostShare  = 0.5
	// answerDelay and gapDelay are what a slow server adds, lateBy how much later a second copy comes.
	answerDelay = 300 * time.Millisecond
	gapDelay    = 100 * time.Millisecond
	lateBy      = 20 * time.Millisecond
	// faultShare is how many answers a fault of a server meets.
	faultShare = 0.4
	// cuts is how many places there are to break an answer off.
	cuts = 5
)

// driver carries the events of a plan out.
type driver struct {
	site    *site
	fleet   *Fleet
	callers *callers
	began   time.Time

	mu     sync.Mutex
	deeds  []Deed
	failed error
}

// run carries all events out and waits for their ends.
func (d *driver) run(ctx context.Context, plan []Event) error {
	var all sync.WaitGroup
	for _, e := range plan {
		all.Go(func() {
			if !sleep(ctx, time.Until(d.began.Add(e.At))) {
				return
			}
			d.do(ctx, e)
		})
	}
	all.Wait()
	slices.SortStableFunc(d.deeds, func(a, b Deed) int { return int(a.At - b.At) })
	if d.failed != nil {
		return d.failed
	}
	return errors.Wrap(ctx.Err(), "soak")
}

func (d *driver) do(ctx context.Context, e Event) {
	x := Deed{
		Event: e,
		Began: time.Now(),
	}
	var err error
	switch e.Kind {
	case Stop, Kill, Freeze, Hangup:
		err = d.signal(ctx, &x)
	case StoreRefuses, StoreSilent, StoreResets, StoreCut, StoreSlow, StoreLoses, StoreForgets:
		err = d.store(ctx, &x)
	case NewVersion, NewLimit, KeyRevoked, TopUp, RouteAdded:
		err = d.configure(&x)
	case Burst:
		d.callers.add(burstEach*len(d.callers.instances), e.For)
	case ServerCrash, ServerReplace, LeaveStore, LeaveHeader, LeaveBoth:
		err = d.end(ctx, &x)
	default:
		d.disturb(ctx, &x)
	}
	if x.Ended.IsZero() {
		x.Ended = time.Now()
	}
	if err != nil {
		x.Problem = err.Error()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deeds = append(d.deeds, x)
	if err != nil && d.failed == nil {
		d.failed = err
	}
}

// signal ends an instance and starts it again, freezes it or makes it read its settings.
func (d *driver) signal(ctx context.Context, x *Deed) error {
	switch x.Kind {
	case Hangup:
		return d.fleet.Hangup(x.Target)
	case Freeze:
		if err := d.fleet.Freeze(x.Target); err != nil {
			return err
		}
		sleep(ctx, x.For)
		return d.fleet.Wake(x.Target)
	case Stop:
		d.fleet.Stop(x.Target)
	default:
		d.fleet.Kill(x.Target)
	}
	x.Ended = time.Now()
	if !sleep(ctx, x.For) {
		return ctx.Err()
	}
	err := d.fleet.Start(ctx, x.Target)
	x.Ready = time.Now()
	return err
}

func (d *driver) store(ctx context.Context, x *Deed) error {
	s := d.site.store
	if x.Kind == StoreForgets {
		s.Forget()
		return nil
	}
	f, ok := map[Kind]lacestage.StoreFault{
		StoreRefuses: {Away: lacestage.Refusing},
		StoreSilent:  {Away: lacestage.Silent},
		StoreResets:  {Away: lacestage.Resetting},
		StoreSlow:    {Delay: storeDelay},
		StoreLoses:   {LostAnswers: lostShare},
	}[x.Kind]
	if ok {
		// Leases of a store that is away may end or not.
		f.HoldLeases = x.Choice%2 == 0
		s.SetFault(f)
		sleep(ctx, x.For)
		s.SetFault(lacestage.StoreFault{})
		return nil
	}
	f.Away = []lacestage.Away{lacestage.Silent, lacestage.Refusing, lacestage.Resetting}[x.Choice%3]
	for _, i := range x.Apart {
		if err := s.SetInstanceFault(instanceID(i), f); err != nil {
			return err
		}
	}
	sleep(ctx, x.For)
	for _, i := range x.Apart {
		if err := s.SetInstanceFault(instanceID(i), lacestage.StoreFault{}); err != nil {
			return err
		}
	}
	return nil
}

// configure writes a new version.
func (d *driver) configure(x *Deed) error {
	return d.site.apply(func(c *laceroute.Document) {
		switch x.Kind {
		case NewLimit:
			r := &c.Routes[x.Choice%len(c.Routes)]
			r.Timeout = routeLimit + shortLimit - r.Timeout
		case KeyRevoked:
			a := &c.Accounts[accountRevoked]
			a.Keys = a.Keys[:1]
		case TopUp:
			c.Accounts[accountToppedUp].Paid += topUp
		case RouteAdded:
			for _, k := range kinds() {
				if k.later && !slices.ContainsFunc(c.Routes, func(r laceroute.Route) bool { return r.Name == k.name }) {
					c.Routes = append(c.Routes, k.route())
				}
			}
		}
	})
}

// end ends a server and starts another one.
func (d *driver) end(ctx context.Context, x *Deed) error {
	s := d.site.server(x.Target)
	x.Server = s.ID()
	cut, fresh := lacestage.Cut(x.Choice%cuts), x.Choice%2 == 0
	if x.Kind == ServerCrash || x.Kind == ServerReplace {
		s.Crash(cut)
		sleep(ctx, x.For)
		return d.site.launch(x.Target, fresh, s.Address())
	}
	s.Leave(lacestage.Leaving{
		Store:  x.Kind != LeaveHeader,
		Header: x.Kind != LeaveStore,
		Drain:  x.For,
	})
	select {
	case <-s.Ended():
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := s.Close(); err != nil && !errors.Is(err, lacestage.ErrClosed) {
		return err
	}
	return d.site.launch(x.Target, true, "")
}

// disturb makes a server misbehave for a time.
func (d *driver) disturb(ctx context.Context, x *Deed) {
	s := d.site.server(x.Target)
	x.Server = s.ID()
	if x.Kind == ServerPause {
		s.Pause(x.For)
		sleep(ctx, x.For)
		return
	}
	cut := lacestage.Cut(x.Choice % cuts)
	s.SetFault(map[Kind]lacestage.ServerFault{
		ServerSlow:    {Delay: answerDelay, GapDelay: gapDelay},
		ServerSilent:  {Silent: true},
		ServerCut:     {Break: faultShare, Cut: cut},
		ServerResume:  {FailResumed: true, Break: faultShare, Cut: cut},
		ServerCopies:  {Late: faultShare, LateBy: lateBy},
		ServerGarbage: {Garble: faultShare, Lose: faultShare / 2},
	}[x.Kind])
	sleep(ctx, x.For)
	s.SetFault(lacestage.ServerFault{})
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
