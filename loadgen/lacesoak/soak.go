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
	// baselineTimeout is how long the resource usage of instances may take to return close to the baseline after the
	// last request.
	baselineTimeout = 6 * time.Second
	// maxSeedAddresses limits how many other instances are listed as seeds in the settings of an instance.
	maxSeedAddresses = 3
)

// Run tests a program with the faults of one seed and writes settings and logs to a directory.
func Run(ctx context.Context, program, dir string, seed uint64, o Options) (*Report, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	t, err := newTestbed(seed, o)
	if err != nil {
		return nil, err
	}
	specs, instances, err := t.writeSettings(dir)
	r := &record{
		instances: o.Instances,
		backends:  o.engineCount() + o.serviceCount() + fragileServers + brittleServers + len(t.leaving),
		slowLink:  t.slowLink,
	}
	if err == nil {
		err = t.execute(ctx, newFleet(program, specs, isReady), instances, r)
	}
	if closeErr := t.close(); err == nil {
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
	for _, p := range specs {
		report.logPaths = append(report.logPaths, p.logPath)
	}
	return report, nil
}

// isReady reports whether an instance accepts requests. It expects 404 for an unknown route, which the instance returns
// only once it has a configuration.
func isReady(ctx context.Context, p instanceSpec) bool {
	c := lacestage.NewCaller(nil)
	defer func() { _ = c.Close() }() // No connection is in use.
	return c.Call(ctx, p.callerAddress, lacestage.Request{
		Attempt: "ready",
		Method:  http.MethodGet,
		Host:    host,
		Target:  "/",
	}).Status == http.StatusNotFound
}

// writeSettings writes the settings files of all instances and returns how to start them and the addresses for callers.
func (t *testbed) writeSettings(dir string) (specs []instanceSpec, instances []lacestage.Instance, err error) {
	settings := make([]lacenode.Settings, t.options.Instances)
	for i := range settings {
		x := &settings[i]
		if *x, err = lacestage.NewSettings(t.store, instanceID(i), laceunit.Place{
			Region: "region",
			Zone:   zoneID(i),
		}); err != nil {
			return nil, nil, err
		}
		for _, a := range []*laceunit.Address{
			&x.CallerAddress, &x.ReadyAddress, &x.DirectoryAddress, &x.PeerAddress, &x.MetricsAddress,
		} {
			*a = t.freeAddress()
		}
		if err = t.proxyPeer(i, x.PeerAddress); err != nil {
			return nil, nil, err
		}
		x.Drain.GracePeriod, x.Drain.LameDuckPeriod = stopGracePeriod, lameDuckPeriod
	}
	for i, x := range settings {
		for n := 1; n <= min(maxSeedAddresses, len(settings)-1); n++ {
			x.Seeds = append(x.Seeds, t.advertised.lookup(settings[(i+n)%len(settings)].PeerAddress))
		}
		p := instanceSpec{
			settingsPath:  filepath.Join(dir, string(x.Instance)+".yaml"),
			logPath:       filepath.Join(dir, string(x.Instance)+".log"),
			callerAddress: x.CallerAddress,
			peerAddress:   x.PeerAddress,
		}
		if err = t.proxyCallersAndStore(i, &x); err != nil {
			return nil, nil, err
		}
		if err = lacestage.WriteSettings(p.settingsPath, x); err != nil {
			return nil, nil, err
		}
		specs = append(specs, p)
		instances = append(instances, lacestage.Instance{
			ID:            x.Instance,
			CallerAddress: t.advertised.lookup(x.CallerAddress),
		})
	}
	if t.slowLink != nil {
		// The last entry is the address for callers on the instance's own machine, which bypasses the slow link.
		instances = append(instances, lacestage.Instance{
			ID:            instanceID(t.slowLink.index),
			CallerAddress: specs[t.slowLink.index].callerAddress,
		})
	}
	return specs, instances, nil
}

// execute starts the instances, injects the planned events and collects the records of callers and backend servers.
func (t *testbed) execute(ctx context.Context, f *fleet, instances []lacestage.Instance, r *record) error {
	defer f.close()
	t.trackProcess(f)
	if err := f.startAll(ctx); err != nil {
		return err
	}
	for _, x := range f.sampleAll(ctx) {
		r.baseline = r.baseline.Max(x)
	}
	sampleCtx, cancel := context.WithCancel(ctx)
	var sampler sync.WaitGroup
	sampler.Go(func() { f.sampleLoop(sampleCtx) })
	c := &callers{
		testbed:   t,
		instances: instances,
		done:      make(chan struct{}),
	}
	c.start(0)
	crashing := t.startCrashing(ctx, c)
	defer crashing.stop()
	plan := newPlan(t.seed, t.options)
	observerCtx, stopObservers := context.WithCancel(ctx)
	defer stopObservers()
	c.startObservers(observerCtx, countOf(plan, eventObservedChange))
	j := &injector{
		testbed: t,
		fleet:   f,
		callers: c,
		started: time.Now(),
	}
	r.started = j.started
	err := j.run(ctx, plan)
	sleep(ctx, time.Until(j.started.Add(t.options.Duration-QuietPeriod)))
	r.faultsEnded = time.Now()
	if err == nil {
		c.probe(ctx)
		sleep(ctx, time.Until(r.faultsEnded.Add(QuietPeriod)))
	}
	stopObservers()
	if crashErr := crashing.finish(r); err == nil {
		err = crashErr
	}
	c.close()
	r.responses, r.injections, r.changes, r.observed = c.responses, j.injections, j.changes, j.observed
	f.awaitBaseline(ctx, r)
	cancel()
	sampler.Wait()
	for i := range f.specs {
		f.process(i, true)
	}
	r.exited, r.peak, r.peakTotalMemory = f.exited, f.peak, f.peakTotalMemory
	r.serverRecords, r.leavings = t.recorder.Records(), t.recorder.Leavings()
	r.paid = t.paid()
	return err
}

// crashingServices are the services whose servers crash without an event.
type crashingServices struct {
	fragile fragileService
	brittle brittleService
	stop    context.CancelFunc
	running bool
}

// startCrashing starts the services whose servers crash and their callers, except in runs with a slow link.
func (t *testbed) startCrashing(ctx context.Context, c *callers) *crashingServices {
	s := &crashingServices{
		fragile: fragileService{testbed: t},
		brittle: brittleService{testbed: t},
		running: t.slowLink == nil,
	}
	ctx, s.stop = context.WithCancel(ctx)
	if s.running {
		s.fragile.start(ctx, c)
		s.brittle.start(ctx, c)
	}
	return s
}

// finish stops the services and records their crashes.
func (s *crashingServices) finish(r *record) error {
	s.stop()
	var err, brittleErr error
	r.crashes, err = s.fragile.wait()
	r.falls, brittleErr = s.brittle.wait()
	r.brittle = s.running
	if err == nil {
		err = brittleErr
	}
	return err
}

// awaitBaseline samples the instances until their resource usage is close to the baseline or baselineTimeout has
// elapsed.
func (f *fleet) awaitBaseline(ctx context.Context, r *record) {
	deadline := time.Now().Add(baselineTimeout)
	for {
		r.final = f.sampleAll(ctx)
		c := &checker{record: r}
		c.checkResources()
		if len(c.violations) == 0 || time.Now().After(deadline) || !sleep(ctx, sampleInterval) {
			return
		}
	}
}
