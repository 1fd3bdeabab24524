package lacesoak

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacenode"
	"lacewingcove/lib/laceunit"
	"lacewingcove/platform/lacestage"
)

const (
	// restWithin is how long what instances use may take to return to near rest after the callers have gone.
	restWithin = 6 * time.Second
	// seeds is how many other instances the settings of one name.
	seeds = 3
)

// Play plays one seed against a program, with settings and logs in a directory.
func Run(ctx context.Context, program, dir string, seed uint64, o Options) (*Report, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	s, err := newSite(seed, o)
	if err != nil {
		return nil, err
	}
	places, instances, err := s.place(dir)
	r := &record{
		instances: o.Instances,
		backends:  o.engines() + o.services(),
		narrow:    s.narrow,
	}
	if err == nil {
		err = s.play(ctx, newFleet(program, places, ready), instances, r)
	}
	if closeErr := s.close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, err
	}
	report := &Report{
		Seed:       seed,
		Options:    o,
		Violations: check(r),
		record:     r,
	}
	for _, p := range places {
		report.logs = append(report.logs, p.log)
	}
	return report, nil
}

// ready reports whether an instance takes requests: without a configuration it can't tell that there is no such route.
func ready(ctx context.Context, p place) bool {
	c := lacestage.NewCaller(nil)
	defer func() { _ = c.Close() }() // No connection is in use.
	return c.Call(ctx, p.caller, lacestage.Request{Attempt: "ready", Method: http.MethodGet, Host: host, Target: "/"}).Status == http.StatusNotFound
}

// place writes the settings of all instances.
func (s *site) place(dir string) (places []place, instances []lacestage.Instance, err error) {
	all := make([]lacenode.Settings, s.options.Instances)
	for i := range all {
		x := &all[i]
		if *x, err = lacestage.NewSettings(s.store, instanceID(i), laceunit.Place{Region: "region", Zone: zone(i)}); err != nil {
			return nil, nil, err
		}
		for _, a := range []*laceunit.Address{&x.CallerAddress, &x.ReadyAddress, &x.DirectoryAddress, &x.PeerAddress, &x.MetricsAddress} {
			*a = s.free()
		}
		if err = s.frontPeer(i, x.PeerAddress); err != nil {
			return nil, nil, err
		}
		x.Drain.GracePeriod, x.Drain.LameDuckPeriod = drainGrace, drainNotice
	}
	for i, x := range all {
		for n := 1; n <= min(seeds, len(all)-1); n++ {
			x.Seeds = append(x.Seeds, s.fronts.reached(all[(i+n)%len(all)].PeerAddress))
		}
		p := place{
			settings: filepath.Join(dir, string(x.Instance)+".yaml"),
			log:      filepath.Join(dir, string(x.Instance)+".log"),
			caller:   x.CallerAddress,
			peer:     x.PeerAddress,
		}
		if err = s.frontNarrow(i, &x); err != nil {
			return nil, nil, err
		}
		if err = lacestage.WriteSettings(p.settings, x); err != nil {
			return nil, nil, err
		}
		places = append(places, p)
		instances = append(instances, lacestage.Instance{
			ID:            x.Instance,
			CallerAddress: s.fronts.reached(x.CallerAddress),
		})
	}
	if s.narrow != nil {
		// Callers on the instance's own machine, who don't pass the link, come last.
		instances = append(instances, lacestage.Instance{
			ID:            instanceID(s.narrow.number),
			CallerAddress: places[s.narrow.number].caller,
		})
	}
	return places, instances, nil
}

// play starts the instances, carries the plan out and collects what both ends saw.
func (s *site) play(ctx context.Context, f *fleet, instances []lacestage.Instance, r *record) error {
	defer f.close()
	s.follow(f)
	if err := f.startAll(ctx); err != nil {
		return err
	}
	for _, x := range f.sampleAll(ctx) {
		r.rest = r.rest.Max(x)
	}
	watching, cancel := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { f.watch(watching) })
	c := &callers{
		site:      s,
		instances: instances,
		stop:      make(chan struct{}),
	}
	c.add(0)
	d := &driver{
		site:    s,
		fleet:   f,
		callers: c,
		began:   time.Now(),
	}
	r.began = d.began
	err := d.run(ctx, newPlan(s.seed, s.options))
	sleep(ctx, time.Until(d.began.Add(s.options.Duration-QuietPeriod)))
	r.quiet = time.Now()
	if err == nil {
		c.probe(ctx)
		sleep(ctx, time.Until(r.quiet.Add(QuietPeriod)))
	}
	c.close()
	r.answers, r.deeds, r.changes = c.answers, d.deeds, d.changes
	f.settle(ctx, r)
	cancel()
	watch.Wait()
	for i := range f.places {
		f.process(i, true)
	}
	r.exited, r.peak, r.memory = f.exited, f.peak, f.memory
	r.runs = s.recorder.Records()
	r.paid = map[laceunit.AccountID]laceunit.Tokens{}
	for _, a := range s.document.Accounts {
		r.paid[a.ID] = a.Paid
	}
	return err
}

// settle samples the instances until they are at rest or the time for it is over.
func (f *fleet) settle(ctx context.Context, r *record) {
	end := time.Now().Add(restWithin)
	for {
		r.last = f.sampleAll(ctx)
		c := &checker{record: r}
		c.resting()
		if len(c.findings) == 0 || time.Now().After(end) || !sleep(ctx, sampleEvery) {
			return
		}
	}
}
