package lacesoak

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/laceprocess"
)

const (
	// killDelay is how long after the grace period of a planned stop the process is killed.
	killDelay = time.Second
	// sampleInterval is the time between two samples of the resource usage of the processes. sampleTimeout bounds the
	// request to one of them, since a frozen process does not respond.
	sampleInterval = 500 * time.Millisecond
	sampleTimeout  = 300 * time.Millisecond
	// maxSampleBytes bounds the response with the metrics of a process.
	maxSampleBytes = 16 << 20
	// readyInterval is the time between two readiness checks of a started process, readyTimeout bounds its start.
	readyInterval = 20 * time.Millisecond
	readyTimeout  = 20 * time.Second
)

// instanceSpec holds the files and addresses of an instance.
type instanceSpec struct {
	settingsPath  string
	logPath       string
	callerAddress laceunit.Address
	peerAddress   laceunit.Address
}

// fleet runs the processes of the instances.
type fleet struct {
	program string
	specs   []instanceSpec
	// isReady reports whether an instance accepts requests.
	isReady func(ctx context.Context, x instanceSpec) bool
	client  http.Client

	mu        sync.Mutex
	processes []*laceprocess.Process
	// expectedDown is true while an instance is down because of an event.
	expectedDown []bool
	// exited are the indices of the instances that exited unexpectedly.
	exited []int
	// peak is the highest usage of any instance, peakTotalMemory the highest sum over all instances.
	peak            laceprocess.Usage
	peakTotalMemory float64
}

func newFleet(program string, specs []instanceSpec, isReady func(context.Context, instanceSpec) bool) *fleet {
	return &fleet{
		program: program,
		specs:   specs,
		isReady: isReady,
		client: http.Client{
			Timeout:   sampleTimeout,
			Transport: laceconn.NewTransport(&http.Transport{}, maxSampleBytes),
		},
		processes:    make([]*laceprocess.Process, len(specs)),
		expectedDown: make([]bool, len(specs)),
	}
}

// start starts an instance and waits until it is ready.
func (f *fleet) start(ctx context.Context, i int) error {
	x := f.specs[i]
	p, err := laceprocess.Start(x.logPath, f.program, "-settings", x.settingsPath, "run")
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.processes[i], f.expectedDown[i] = p, false
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !f.isReady(ctx, x) {
		select {
		case <-time.After(readyInterval):
		case <-p.Done():
			return errors.Errorf("instance %d exited unexpectedly, see %s", i, x.logPath)
		case <-ctx.Done():
			return errors.Errorf("instance %d is not ready after %s, see %s", i, readyTimeout, x.logPath)
		}
	}
	return nil
}

// startAll starts all instances concurrently and returns the first error.
func (f *fleet) startAll(ctx context.Context) error {
	started := make(chan error, len(f.specs))
	for i := range f.specs {
		go func() { started <- f.start(ctx, i) }()
	}
	var firstErr error
	for range f.specs {
		if err := <-started; firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// process returns the process of an instance, nil before its first start. The caller sets stopping before it ends the
// process; if the process has exited before that, it is recorded as an unexpected exit.
func (f *fleet) process(i int, stopping bool) *laceprocess.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.processes[i]
	if p != nil && stopping && !f.expectedDown[i] {
		f.expectedDown[i] = true
		select {
		case <-p.Done():
			f.exited = append(f.exited, i)
		default:
		}
	}
	return p
}

// close kills all processes, including frozen ones, and waits for them.
func (f *fleet) close() {
	var kills sync.WaitGroup
	for i := range f.specs {
		if p := f.process(i, true); p != nil {
			kills.Go(p.Kill)
		}
	}
	kills.Wait()
	f.client.CloseIdleConnections()
}

// sampleAll returns the resource usage of all instances that respond and updates the peaks.
func (f *fleet) sampleAll(ctx context.Context) map[int]laceprocess.Usage {
	usage := map[int]laceprocess.Usage{}
	for i := range f.specs {
		// An instance that is down or frozen does not respond. In the last sample, a missing response is a violation.
		if s, err := laceprocess.ScrapeUsage(
			ctx, &f.client, "http://"+string(f.specs[i].peerAddress)+"/metrics",
		); err == nil {
			usage[i] = s
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var memory float64
	for _, s := range usage {
		memory += s.ResidentBytes
		f.peak = f.peak.Max(s)
	}
	f.peakTotalMemory = max(f.peakTotalMemory, memory)
	return usage
}

// sampleLoop samples the instances periodically until the context is canceled.
func (f *fleet) sampleLoop(ctx context.Context) {
	for sleep(ctx, sampleInterval) {
		f.sampleAll(ctx)
	}
}
