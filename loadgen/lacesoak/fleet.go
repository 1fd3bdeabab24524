package lacesoak

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
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

// Place is where an instance runs.
type Place struct {
	Name      laceunit.InstanceID
	Settings  string
	Log       string
	Caller    laceunit.Address
	Directory laceunit.Address
	Peer      laceunit.Address
}

// Fleet runs the processes of the instances.
type Fleet struct {
	program string
	places  []Place
	// ready asks an instance whether it takes requests.
	ready func(ctx context.Context, p Place) bool
	http  http.Client

	mu        sync.Mutex
	processes []*laceprocess.Process
	// down is true while an instance is away on purpose.
	down  []bool
	peak  Sample
	total float64
}

// NewFleet returns a fleet without processes.
func NewFleet(program string, places []Place, ready func(context.Context, Place) bool) *Fleet {
	return &Fleet{
		program:   program,
		places:    places,
		ready:     ready,
		http:      http.Client{Timeout: sampleTimeout},
		processes: make([]*laceprocess.Process, len(places)),
		down:      make([]bool, len(places)),
	}
}

// Start starts an instance and waits until it takes requests.
func (f *Fleet) Start(ctx context.Context, i int) error {
	x := f.places[i]
	p, err := laceprocess.Start(x.Log, f.program, "-settings", x.Settings, "run")
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.processes[i], f.down[i] = p, false
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyEvery)
	defer ticker.Stop()
	for !f.ready(ctx, x) {
		select {
		case <-ticker.C:
		case <-p.Ended():
			return errors.Errorf("soak: %s ended by itself, see %s", x.Name, x.Log)
		case <-ctx.Done():
			return errors.Errorf("soak: %s is not ready after %s, see %s", x.Name, readyTimeout, x.Log)
		}
	}
	return nil
}

// StartAll starts all instances at once.
func (f *Fleet) StartAll(ctx context.Context) error {
	ended := make(chan error, len(f.places))
	for i := range f.places {
		go func() { ended <- f.Start(ctx, i) }()
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
func (f *Fleet) process(i int, ending bool) *laceprocess.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[i] = f.down[i] || ending
	return f.processes[i]
}

// Stop asks an instance to end and waits for it.
func (f *Fleet) Stop(i int) { f.process(i, true).Stop(DrainGrace + stopPatience) }

// Kill ends an instance at once.
func (f *Fleet) Kill(i int) { f.process(i, true).Kill() }

// Freeze stops an instance without ending it.
func (f *Fleet) Freeze(i int) error { return f.process(i, false).Freeze() }

// Wake lets a frozen instance go on.
func (f *Fleet) Wake(i int) error { return f.process(i, false).Wake() }

// Hangup tells an instance to read its settings again.
func (f *Fleet) Hangup(i int) error { return f.process(i, false).Hangup() }

// Exited returns the instances that ended by themselves.
func (f *Fleet) Exited() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []int
	for i, p := range f.processes {
		if p == nil || f.down[i] {
			continue
		}
		select {
		case <-p.Ended():
			all = append(all, i)
		default:
		}
	}
	return all
}

// Close ends all processes and waits for them.
func (f *Fleet) Close() {
	var all sync.WaitGroup
	for i := range f.places {
		p := f.process(i, true)
		if p == nil {
			continue
		}
		all.Go(func() {
			// A frozen process does not hear of its end; this fails only when the process has ended.
			_ = p.Wake()
			p.Kill()
		})
	}
	all.Wait()
	f.http.CloseIdleConnections()
}

// Sample asks an instance what it uses.
func (f *Fleet) Sample(ctx context.Context, i int) (Sample, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(f.places[i].Peer)+"/metrics", http.NoBody)
	if err != nil {
		return Sample{}, errors.Wrap(err, "soak")
	}
	r, err := f.http.Do(q)
	if err != nil {
		return Sample{}, errors.Wrap(err, "soak")
	}
	defer func() { _ = r.Body.Close() }() // Everything that is needed was read.
	return readSample(r.Body)
}

// readSample reads the process's own metrics.
func readSample(r io.Reader) (Sample, error) {
	var s Sample
	fields := map[string]*float64{
		"process_resident_memory_bytes": &s.Memory,
		"process_open_fds":              &s.Files,
		"go_goroutines":                 &s.Goroutines,
	}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		to := fields[name]
		if to == nil {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return s, errors.Wrap(err, "soak: "+name)
		}
		*to = n
		delete(fields, name)
	}
	if len(fields) > 0 {
		return s, errors.New("soak: the metrics of the process are missing")
	}
	return s, errors.Wrap(lines.Err(), "soak")
}

// SampleAll asks all instances and keeps the peaks.
func (f *Fleet) SampleAll(ctx context.Context) map[int]Sample {
	all := map[int]Sample{}
	var total float64
	for i := range f.places {
		s, err := f.Sample(ctx, i)
		if err != nil {
			// An instance that is down or frozen tells nothing.
			continue
		}
		all[i] = s
		total += s.Memory
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.total = max(f.total, total)
	for _, s := range all {
		f.peak = larger(f.peak, s)
	}
	return all
}

// Peaks returns the largest use of one instance and the most memory of all together.
func (f *Fleet) Peaks() (one Sample, memory float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peak, f.total
}

// Watch samples until the context ends.
func (f *Fleet) Watch(ctx context.Context) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.SampleAll(ctx)
		}
	}
}

func larger(a, b Sample) Sample {
	return Sample{
		Memory:     max(a.Memory, b.Memory),
		Files:      max(a.Files, b.Files),
		Goroutines: max(a.Goroutines, b.Goroutines),
	}
}
