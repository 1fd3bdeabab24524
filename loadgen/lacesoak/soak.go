package lacesoak

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacenode"
	"lacewingcove/lib/laceunit"
	"lacewingcove/platform/lacestage"
)

// restWithin is how long what instances use may take to return to near rest after the callers have gone.
const restWithin = 6 * time.Second

// Play plays one seed against a program, with settings and logs in a directory.
func Play(ctx context.Context, program, dir string, seed uint64, o Options) (*Report, error) {
	if o.Duration <= QuietTail {
		return nil, errors.Errorf("soak: the duration has to be longer than the quiet tail of %s", QuietTail)
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	o.Engines, o.Services = max(3, o.Instances*3/4), max(3, o.Instances/2)
	s, err := newSite(seed, o)
	if err != nil {
		return nil, err
	}
	places, instances, err := s.places(dir)
	if err == nil {
		var r *Record
		if r, err = s.play(ctx, program, places, instances); err == nil {
			report := &Report{
				Seed:     seed,
				Options:  o,
				Record:   r,
				Findings: Check(r),
			}
			for _, p := range places {
				report.Logs = append(report.Logs, p.Log)
			}
			return report, s.close()
		}
	}
	if closeErr := s.close(); closeErr != nil {
		return nil, errors.Wrap(err, closeErr.Error())
	}
	return nil, err
}

// places writes the settings of all instances.
func (s *site) places(dir string) ([]Place, []lacestage.Instance, error) {
	all := make([]lacenode.Settings, s.options.Instances)
	for i := range all {
		x, err := lacestage.Settings(s.store, instanceID(i), laceunit.Place{
			Region: "region",
			Zone:   zone(i),
		})
		if err != nil {
			return nil, nil, err
		}
		x.Caller, x.Ready, x.Directory, x.Peer, x.Metrics = s.free(), s.free(), s.free(), s.free(), s.free()
		x.Drain.Grace, x.Drain.Notice = DrainGrace, DrainNotice
		all[i] = x
	}
	var places []Place
	var instances []lacestage.Instance
	for _, x := range all {
		for _, y := range all {
			if y.Instance != x.Instance && len(x.Seeds) < seeds {
				x.Seeds = append(x.Seeds, y.Peer)
			}
		}
		p := Place{
			Name:      x.Instance,
			Settings:  filepath.Join(dir, string(x.Instance)+".yaml"),
			Log:       filepath.Join(dir, string(x.Instance)+".log"),
			Caller:    x.Caller,
			Directory: x.Directory,
			Peer:      x.Peer,
		}
		if err := lacestage.WriteSettings(p.Settings, x); err != nil {
			return nil, nil, err
		}
		places = append(places, p)
		instances = append(instances, lacestage.Instance{
			ID:        x.Instance,
			Directory: x.Directory,
			Caller:    x.Caller,
		})
	}
	return places, instances, nil
}

// seeds is how many other instances the settings of one name.
const seeds = 3

// play starts the instances, carries the plan out and collects what both ends saw.
func (s *site) play(ctx context.Context, program string, places []Place, instances []lacestage.Instance) (*Record, error) {
	asking := lacestage.NewCaller(nil)
	defer func() { _ = asking.Close() }() // No connection is in use.
	fleet := NewFleet(program, places, func(ctx context.Context, p Place) bool {
		listed, _, err := asking.Resolve(ctx, p.Directory, laceunit.Place{})
		return err == nil && slices.Contains(listed, p.Caller)
	})
	defer fleet.Close()
	if err := fleet.StartAll(ctx); err != nil {
		return nil, err
	}
	r := &Record{Instances: len(places)}
	for _, x := range fleet.SampleAll(ctx) {
		r.Rest = larger(r.Rest, x)
	}
	watching, cancel := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { fleet.Watch(watching) })
	c := &callers{
		site:      s,
		instances: instances,
		stop:      make(chan struct{}),
	}
	c.add(callersEach*len(places), 0)
	d := &driver{
		site:    s,
		fleet:   fleet,
		callers: c,
		began:   time.Now(),
	}
	r.Began = d.began
	err := d.run(ctx, NewPlan(s.seed, s.options))
	sleep(ctx, time.Until(d.began.Add(s.options.Duration-QuietTail)))
	r.Quiet = time.Now()
	if err == nil {
		c.probe()
		sleep(ctx, time.Until(r.Quiet.Add(QuietTail)))
	}
	r.Answers, r.Deeds, r.Paid = c.close(), d.deeds, s.paid()
	r.Last = s.settle(ctx, fleet, r)
	cancel()
	watch.Wait()
	r.Exited = fleet.Exited()
	r.Peak, r.Memory = fleet.Peaks()
	for _, x := range s.recorder.Records() {
		r.Runs = append(r.Runs, Run{Run: x})
	}
	return r, err
}

// settle samples the instances until they are at rest or the time for it is over.
func (s *site) settle(ctx context.Context, f *Fleet, r *Record) map[int]Sample {
	end := time.Now().Add(restWithin)
	for {
		r.Last = f.SampleAll(ctx)
		c := &checker{record: r}
		c.rest()
		if len(c.findings) == 0 || time.Now().After(end) || !sleep(ctx, sampleEvery) {
			return r.Last
		}
	}
}
