package laceexperiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/laceprocess"
	"lacewingcove/loadgen/laceworkload"
)

const (
	// readyTimeout bounds the start of a fleet; on a busy machine it takes seconds.
	readyTimeout = 60 * time.Second
	// readyEvery is how often a process is asked whether it is ready.
	readyEvery = 50 * time.Millisecond
	// stopPatience bounds the stop of a process before it is killed.
	stopPatience = 5 * time.Second
	// relaunchAfter is the pause before an instance that ended by itself is started again.
	relaunchAfter = time.Second
	// maxExits bounds these starts, so that a program that ends at once does not fill the disk with logs.
	maxExits = 100
	// portsEach is the distance of two instances' ports.
	portsEach = 10
)

// fleet is the processes of one run.
type fleet struct {
	experiment Experiment
	variant    Variant
	workload   laceworkload.Workload
	dir        string
	client     *http.Client
	standin    *laceprocess.Process
	operator   *operator

	mu        sync.Mutex
	instances []*laceprocess.Process
	// killed are the instances that were ended on purpose.
	killed  map[int]bool
	exits   int
	pause   time.Duration
	stopped bool
	ending  chan struct{}
	minders sync.WaitGroup
}

// files are the inputs of a run, copied into its directory with the ports moved.
type files struct {
	configuration string
	standin       string
}

// startFleet starts the stand-ins and the instances, and pays for the budgets.
func startFleet(ctx context.Context, e Experiment, v Variant, w laceworkload.Workload, dir, seed string, in files) (*fleet, error) {
	f := &fleet{
		experiment: e,
		variant:    v,
		workload:   w,
		dir:        dir,
		client:     &http.Client{Timeout: standinTimeout},
		killed:     map[int]bool{},
		pause:      relaunchAfter,
		ending:     make(chan struct{}),
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	err := f.start(ctx, seed, in)
	if err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, seed string, in files) error {
	platform := string(f.workload.Standin.Platform)
	if err := f.free(ctx, platform); err != nil {
		return err
	}
	var err error
	f.standin, err = laceprocess.Start(filepath.Join(f.dir, "standin.log"), f.experiment.Programs.Standin,
		"-config", in.standin, "-seed", seed)
	if err != nil {
		return err
	}
	if err = f.ready(ctx, f.standin, "http://"+platform+"/v1/counts"); err != nil {
		return err
	}
	shards, err := readShards(f.experiment.Settings, f.variant.Flags...)
	if err != nil {
		return err
	}
	if f.operator, err = newOperator(laceunit.Address(platform), shards); err != nil {
		return err
	}
	if err = f.operator.prepare(ctx, in.configuration, f.workload); err != nil {
		return err
	}
	started, err := f.launchAll()
	if err != nil {
		return err
	}
	for i, p := range started {
		if err = f.ready(ctx, p, "http://"+string(f.address(i))+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// launchAll starts every instance for the first time.
func (f *fleet) launchAll() ([]*laceprocess.Process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = make([]*laceprocess.Process, f.experiment.Instances)
	for i := range f.instances {
		if err := f.launch(i); err != nil {
			return nil, err
		}
	}
	return slices.Clone(f.instances), nil
}

// free fails when something answers at the platform's address: a run must not mix with another one's stand-ins.
func (f *fleet) free(ctx context.Context, platform string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+platform+"/v1/counts", http.NoBody)
	if err != nil {
		return errors.Wrap(err, "experiment")
	}
	a, err := f.client.Do(r)
	if err != nil {
		return nil
	}
	_ = a.Body.Close()
	return errors.Errorf("experiment: %s is in use", platform)
}

func (f *fleet) name(i int) string { return "router-" + strconv.Itoa(i+1) }

func (f *fleet) port(i, part int) string {
	return "127.0.0.1:" + strconv.Itoa(f.experiment.BasePort+i*portsEach+part)
}

func (f *fleet) address(i int) laceunit.Address { return laceunit.Address(f.port(i, 0)) }

// addresses are the instances that callers know before they have asked for a list.
func (f *fleet) addresses() []laceunit.Address {
	out := make([]laceunit.Address, f.experiment.Instances)
	for i := range out {
		out[i] = f.address(i)
	}
	return out
}

// launch starts an instance; the mutex must be held.
func (f *fleet) launch(i int) error {
	e := f.experiment
	program := e.Programs.Router
	if f.variant.Router != "" {
		program = f.variant.Router
	}
	list, err := listOf(f.workload.Standin.Platform)
	if err != nil {
		return err
	}
	args := append([]string{
		"-settings", e.Settings,
		"-instance", f.name(i),
		"-region", string(e.Region),
		"-zone", string(e.Zones[i%len(e.Zones)]),
		"-caller.listen", f.port(i, 0),
		"-peer.listen", f.port(i, 1),
		"-admin.listen", f.port(i, 2),
		"-platform.endpoints", "http://" + string(f.workload.Standin.Platform),
		"-list", "http://" + list,
		"-lean", string(e.Consistency),
	}, f.variant.Flags...)
	p, err := laceprocess.Start(filepath.Join(f.dir, f.name(i)+".log"), program, args...)
	if err != nil {
		return err
	}
	f.instances[i] = p
	f.minders.Add(1)
	go f.mind(i, p)
	return nil
}

// mind starts an instance again that ended by itself, as a process manager does; one that the membership removed while
// it was cut off ends so.
func (f *fleet) mind(i int, p *laceprocess.Process) {
	defer f.minders.Done()
	<-p.Done()
	timer := time.NewTimer(f.pause)
	defer timer.Stop()
	select {
	case <-f.ending:
		return
	case <-timer.C:
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped || f.killed[i] || f.instances[i] != p || f.exits >= maxExits {
		return
	}
	f.exits++
	// A program that can't be started shows as an instance that is missing, with the reason in its log.
	_ = f.launch(i)
}

// exited returns how many instances ended by themselves and were started again.
func (f *fleet) exited() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.exits
}

// listOf returns the address of the instance list, which the samples put on the port after the platform's.
func listOf(platform laceunit.Address) (string, error) {
	var port int
	if _, err := fmt.Sscanf(string(platform), "127.0.0.1:%d", &port); err != nil {
		return "", errors.Wrapf(err, "experiment: platform %s", platform)
	}
	return "127.0.0.1:" + strconv.Itoa(port+1), nil
}

// ready waits until a URL answers with 200.
func (f *fleet) ready(ctx context.Context, p *laceprocess.Process, url string) error {
	ticker := time.NewTicker(readyEvery)
	defer ticker.Stop()
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return errors.Wrap(err, "experiment")
		}
		if a, err := f.client.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxFaults))
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "experiment: %s", url)
		case <-p.Done():
			return errors.Errorf("experiment: the process of %s has ended, see the logs in %s", url, f.dir)
		case <-ticker.C:
		}
	}
}

// kill ends an instance without warning.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.stopped {
		f.killed[i] = true
		f.instances[i].Kill()
	}
}

// restart starts a killed instance again.
func (f *fleet) restart(i int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return nil
	}
	f.killed[i] = false
	return f.launch(i)
}

// stop ends all processes of the run and waits for them.
func (f *fleet) stop() {
	f.mu.Lock()
	f.stopped = true
	close(f.ending)
	f.mu.Unlock()
	var all sync.WaitGroup
	for _, p := range f.instances {
		if p == nil {
			continue
		}
		all.Add(1)
		go func() {
			defer all.Done()
			p.Stop(stopPatience)
		}()
	}
	all.Wait()
	f.minders.Wait()
	if f.operator != nil {
		f.operator.close()
	}
	if f.standin != nil {
		f.standin.Stop(stopPatience)
	}
	f.client.CloseIdleConnections()
}

// move copies a file with the loopback ports moved, so that runs on one machine don't meet.
func move(from, to string, offset int) error {
	text, err := os.ReadFile(from)
	if err != nil {
		return errors.Wrap(err, "experiment")
	}
	return errors.Wrap(os.WriteFile(to, movePorts(text, offset), 0o600), "experiment")
}
