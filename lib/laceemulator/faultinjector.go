package laceemulator

import (
	"math/rand/v2"
	"sync"
	"time"
)

// ServerFaults are the injected faults of an emulated server. A rate is the share of requests that are affected, drawn
// independently for each request.
type ServerFaults struct {
	// Down aborts every connection without a response.
	Down bool
	// RejectionRate is the share of requests that are rejected with 503 and not executed.
	RejectionRate float64
	// DelayRate is the share of responses that are complete but delayed by Delay.
	DelayRate float64
	Delay     time.Duration
	// MisrouteRate is the share of requests that get the response of another request.
	MisrouteRate float64
	// TruncationRate is the share of responses whose connection is aborted before their end.
	TruncationRate float64
	// LengthErrorRate is the share of responses whose actual length differs from the declared one.
	LengthErrorRate float64
	// Latency is added to each token of an engine and to each call of a service.
	Latency time.Duration
	// Leaving adds a header to every response which announces that the server is leaving (draining).
	Leaving bool
	// RateLimit adds a header to every response with the number of requests per second that the server accepts. Zero
	// adds none.
	RateLimit float64
	// Pause is how long requests are rejected with 503 and Retry-After, counted from when the faults were set.
	Pause time.Duration
}

// requestFaults are the faults drawn for one request.
type requestFaults struct {
	down        bool
	rejected    bool
	misrouted   bool
	truncated   bool
	wrongLength bool
	delay       time.Duration
	latency     time.Duration
	// position is where in the response the fault occurs, as a fraction in [0, 1).
	position float64
}

// faultInjector draws the faults of requests. Their rates can be replaced at run time.
type faultInjector struct {
	mu     sync.Mutex
	faults ServerFaults
	random *rand.Rand
	// setAt is when the faults were set.
	setAt time.Time
}

func newFaultInjector(seed uint64, faults ServerFaults) *faultInjector {
	return &faultInjector{
		faults: faults,
		setAt:  time.Now(),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetFaults replaces the faults.
func (i *faultInjector) SetFaults(faults ServerFaults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults, i.setAt = faults, time.Now()
}

// remainingPause returns how long requests will still be rejected; zero or less means that there is no pause.
func (i *faultInjector) remainingPause() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.Pause - time.Since(i.setAt)
}

// Faults returns the current faults.
func (i *faultInjector) Faults() ServerFaults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// drawFaults draws the faults of the next request. It always consumes the same number of random values, so that
// changing one fault does not change how the others are drawn from the same seed.
func (i *faultInjector) drawFaults() requestFaults {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := i.faults
	d := requestFaults{
		down:        f.Down,
		rejected:    i.random.Float64() < f.RejectionRate,
		misrouted:   i.random.Float64() < f.MisrouteRate,
		truncated:   i.random.Float64() < f.TruncationRate,
		wrongLength: i.random.Float64() < f.LengthErrorRate,
		latency:     f.Latency,
	}
	if i.random.Float64() < f.DelayRate {
		d.delay = f.Delay
	}
	d.position = i.random.Float64()
	return d
}

// chance returns true with the given probability.
func (i *faultInjector) chance(probability float64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.random.Float64() < probability
}
