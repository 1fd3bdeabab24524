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

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/laceprocess"
	"lacewingcove/loadgen/laceworkload"
)

const (
	// readyTimeout bounds the start of a fleet, which takes seconds on a busy machine.
	readyTimeout = 60 * time.Second
	// readyPollInterval is the time between two readiness checks of a process.
	readyPollInterval = 50 * time.Millisecond
	// stopTimeout bounds the graceful stop of a process, which is then killed.
	stopTimeout = 5 * time.Second
	// defaultRestartDelay is the delay before an instance that exited unexpectedly is restarted.
	defaultRestartDelay = time.Second
	// maxRestarts bounds these restarts, so that a program that exits immediately does not fill the disk with logs.
	maxRestarts = 100
	// portStride is the difference between the base ports of two consecutive instances.
	portStride = 10
)

// fleet manages the processes of one run: the stand-ins (emulated platform and backend servers) and the instances.
type fleet struct {
	experiment  Experiment
	variant     Variant
	workload    laceworkload.Workload
	dir         string
	client      *http.Client
	standin     *laceprocess.Process
	provisioner *provisioner

	mu        sync.Mutex
	instances []*laceprocess.Process
	// killed are the instances that a fault killed and that are not restarted yet.
	killed          map[int]bool
	unexpectedExits int
	restartDelay    time.Duration
	stopped         bool
	stopping        chan struct{}
	supervisors     sync.WaitGroup
}

// inputFiles are the input files of a run, copied into its directory with offset ports.
type inputFiles struct {
	configuration string
	standin       string
}

// startFleet starts the stand-ins and the instances, applies the configuration and tops up the budgets.
func startFleet(
	ctx context.Context, e Experiment, v Variant, w laceworkload.Workload, dir, seed string, in inputFiles,
) (*fleet, error) {
	f := &fleet{
		experiment: e,
		variant:    v,
		workload:   w,
		dir:        dir,
		client: &http.Client{
			Timeout:   standinTimeout,
			Transport: laceconn.NewTransport(&http.Transport{}, maxBodyBytes),
		},
		killed:       map[int]bool{},
		restartDelay: defaultRestartDelay,
		stopping:     make(chan struct{}),
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

func (f *fleet) start(ctx context.Context, seed string, in inputFiles) error {
	platform := string(f.workload.Standin.Platform)
	if err := f.checkUnused(ctx, platform); err != nil {
		return err
	}
	var err error
	f.standin, err = laceprocess.Start(filepath.Join(f.dir, "standin.log"), f.experiment.Programs.Standin,
		"-config", in.standin, "-seed", seed)
	if err != nil {
		return err
	}
	if err = f.waitReady(ctx, f.standin, "http://"+platform+"/v1/counts"); err != nil {
		return err
	}
	shards, err := readShardCount(f.experiment.Settings, f.variant.Flags...)
	if err != nil {
		return err
	}
	if f.provisioner, err = newProvisioner(laceunit.Address(platform), shards); err != nil {
		return err
	}
	if err = f.provisioner.provision(ctx, in.configuration, f.workload); err != nil {
		return err
	}
	started, err := f.launchAll()
	if err != nil {
		return err
	}
	for i, p := range started {
		if err = f.waitReady(ctx, p, "http://"+string(f.address(i))+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// launchAll starts all instances.
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

// checkUnused fails if a server responds at the platform's address: a run must not use the stand-ins of another run.
func (f *fleet) checkUnused(ctx context.Context, platform string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+platform+"/v1/counts", http.NoBody)
	if err != nil {
		return errors.Wrap(err, "experiment")
	}
	response, err := f.client.Do(request)
	if err != nil {
		return nil
	}
	_ = response.Body.Close()
	return errors.Errorf("experiment: platform address %s is in use", platform)
}

func (f *fleet) name(i int) string { return "router-" + strconv.Itoa(i+1) }

func (f *fleet) listenAddress(i, offset int) string {
	return "127.0.0.1:" + strconv.Itoa(f.experiment.BasePort+i*portStride+offset)
}

func (f *fleet) address(i int) laceunit.Address { return laceunit.Address(f.listenAddress(i, 0)) }

// addresses returns the addresses that callers use until they have fetched an address list.
func (f *fleet) addresses() []laceunit.Address {
	addresses := make([]laceunit.Address, f.experiment.Instances)
	for i := range addresses {
		addresses[i] = f.address(i)
	}
	return addresses
}

// launch starts an instance; f.mu must be held.
func (f *fleet) launch(i int) error {
	e := f.experiment
	program := e.Programs.Router
	if f.variant.Router != "" {
		program = f.variant.Router
	}
	list, err := instanceListAddress(f.workload.Standin.Platform)
	if err != nil {
		return err
	}
	args := append([]string{
		"-settings", e.Settings,
		"-instance", f.name(i),
		"-region", string(e.Region),
		"-zone", string(e.Zones[i%len(e.Zones)]),
		"-caller.listen", f.listenAddress(i, 0),
		"-peer.listen", f.listenAddress(i, 1),
		"-admin.listen", f.listenAddress(i, 2),
		"-platform.endpoints", "http://" + string(f.workload.Standin.Platform),
		"-list", "http://" + list,
		"-lean", string(e.Consistency),
	}, f.variant.Flags...)
	p, err := laceprocess.Start(filepath.Join(f.dir, f.name(i)+".log"), program, args...)
	if err != nil {
		return err
	}
	f.instances[i] = p
	f.supervisors.Add(1)
	go f.supervise(i, p)
	return nil
}

// supervise restarts an instance that exited unexpectedly, as a process manager does. An instance exits this way after
// the membership removed it during a partition.
func (f *fleet) supervise(i int, p *laceprocess.Process) {
	defer f.supervisors.Done()
	<-p.Done()
	timer := time.NewTimer(f.restartDelay)
	defer timer.Stop()
	select {
	case <-f.stopping:
		return
	case <-timer.C:
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped || f.killed[i] || f.instances[i] != p || f.unexpectedExits >= maxRestarts {
		return
	}
	f.unexpectedExits++
	// If the program can't be started, the instance is missing from the run, with the reason in its log.
	_ = f.launch(i)
}

// exitCount returns the number of unexpected exits of instances that were followed by a restart.
func (f *fleet) exitCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unexpectedExits
}

// instanceListAddress returns the address of the instance list, which the samples serve on the port after the
// platform's.
func instanceListAddress(platform laceunit.Address) (string, error) {
	var port int
	if _, err := fmt.Sscanf(string(platform), "127.0.0.1:%d", &port); err != nil {
		return "", errors.Wrapf(err, "experiment: platform %s", platform)
	}
	return "127.0.0.1:" + strconv.Itoa(port+1), nil
}

// waitReady waits until a URL responds with status 200.
func (f *fleet) waitReady(ctx context.Context, p *laceprocess.Process, url string) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return errors.Wrap(err, "experiment")
		}
		if response, err := f.client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes))
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "experiment: %s", url)
		case <-p.Done():
			return errors.Errorf("experiment: the process that serves %s exited, see the logs in %s", url, f.dir)
		case <-ticker.C:
		}
	}
}

// kill kills an instance without a graceful stop.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.stopped {
		f.killed[i] = true
		f.instances[i].Kill()
	}
}

// restart restarts a killed instance.
func (f *fleet) restart(i int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return nil
	}
	f.killed[i] = false
	return f.launch(i)
}

// stop stops all processes of the run and waits for their exit.
func (f *fleet) stop() {
	f.mu.Lock()
	f.stopped = true
	close(f.stopping)
	f.mu.Unlock()
	var stops sync.WaitGroup
	for _, p := range f.instances {
		if p == nil {
			continue
		}
		stops.Add(1)
		go func() {
			defer stops.Done()
			p.Stop(stopTimeout)
		}()
	}
	stops.Wait()
	f.supervisors.Wait()
	if f.provisioner != nil {
		f.provisioner.close()
	}
	if f.standin != nil {
		f.standin.Stop(stopTimeout)
	}
	f.client.CloseIdleConnections()
}

// copyWithOffset copies a file and adds an offset to its loopback ports, so that concurrent runs on one machine don't
// conflict.
func copyWithOffset(from, to string, offset int) error {
	text, err := os.ReadFile(from)
	if err != nil {
		return errors.Wrap(err, "experiment")
	}
	return errors.Wrap(os.WriteFile(to, offsetPorts(text, offset), 0o600), "experiment")
}
