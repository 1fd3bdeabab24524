package lacesoak

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/laceprocess"
)

const (
	// stopPatience bounds the end of a process beyond its grace.
	stopPatience = time.Second
	// sampleEvery is how often processes are asked what they use, sampleTimeout bounds one answer: a frozen one gives none.
	sampleEvery   = 500 * time.Millisecond
	sampleTimeout = 300 * time.Millisecond
	// readyEvery is how often a started process is asked whether it takes requests, readyTimeout bounds its start.
	readyEvery   = 20 * time.Millisecond
	readyTimeout = 20 * time.Second
)

// place is where an instance runs.
type place struct {
	settings string
	log      string
	caller   laceunit.Address
	peer     laceunit.Address
}

// fleet runs the processes of the instances.
type fleet struct {
	program string
	places  []place
	// ready asks an instance whether it takes requests.
	ready func(ctx context.Context, p place) bool
	http  http.Client

	mu        sync.Mutex
	processes []*laceprocess.Process
	// down is true while an instance is away on purpose, exited are those that ended by themselves.
	down   []bool
	exited []int
	peak   laceprocess.Usage
	memory float64
}

func newFleet(program string, places []place, ready func(context.Context, place) bool) *fleet {
	return &fleet{
		program:   program,
		places:    places,
		ready:     ready,
		http:      http.Client{Timeout: sampleTimeout},
		processes: make([]*laceprocess.Process, len(places)),
		down:      make([]bool, len(places)),
	}
}

// start starts an instance and waits until it takes requests.
func (f *fleet) start(ctx context.Context, i int) error {
	x := f.places[i]
	p, err := laceprocess.Start(x.log, f.program, "-settings", x.settings, "run")
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.processes[i], f.down[i] = p, false
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !f.ready(ctx, x) {
		select {
		case <-time.After(readyEvery):
		case <-p.Done():
			return errors.Errorf("instance %d ended by itself, see %s", i, x.log)
		case <-ctx.Done():
			return errors.Errorf("instance %d is not ready after %s, see %s", i, readyTimeout, x.log)
		}
	}
	return nil
}

// startAll starts all instances at once.
func (f *fleet) startAll(ctx context.Context) error {
	ended := make(chan error, len(f.places))
	for i := range f.places {
		go func() { ended <- f.start(ctx, i) }()
	}
	var first error
	for range f.places {
		if err := <-ended; first == nil {
			first = err
		}
	}
	return first
}

// process returns the process of an instance; ending means that its end is meant.
func (f *fleet) process(i int, ending bool) *laceprocess.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.processes[i]
	if p != nil && ending && !f.down[i] {
		f.down[i] = true
		select {
		case <-p.Done():
			f.exited = append(f.exited, i)
		default:
		}
	}
	return p
}

// close ends all processes, frozen ones as well, and waits for them.
func (f *fleet) close() {
	var all sync.WaitGroup
	for i := range f.places {
		if p := f.process(i, true); p != nil {
			all.Go(p.Kill)
		}
	}
	all.Wait()
	f.http.CloseIdleConnections()
}

// sampleAll asks all instances and keeps the peaks.
func (f *fleet) sampleAll(ctx context.Context) map[int]laceprocess.Usage {
	all := map[int]laceprocess.Usage{}
	for i := range f.places {
		// An instance that is down or frozen tells nothing; one that tells nothing at the end is a finding.
		if s, err := laceprocess.ScrapeUsage(ctx, &f.http, "http://"+string(f.places[i].peer)+"/metrics"); err == nil {
			all[i] = s
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var memory float64
	for _, s := range all {
		memory += s.ResidentBytes
		f.peak = f.peak.Max(s)
	}
	f.memory = max(f.memory, memory)
	return all
}

// watch samples until the context ends.
func (f *fleet) watch(ctx context.Context) {
	for sleep(ctx, sampleEvery) {
		f.sampleAll(ctx)
	}
}
