package laceemulator

import (
	"math/rand/v2"
	"sync"
	"time"
)

// ServerFaults are the faults of one emulated server; shares are drawn anew for each request.
type ServerFaults struct {
	// Down breaks every connection without an answer.
	Down bool
	// Refused is the share of requests that are answered with 503 and do not run.
	RejectionRate float64
	// Late is the share of answers that are complete but held back for LateBy.
	DelayRate float64
	Delay     time.Duration
	// Crossed is the share of requests that get the answer of another request.
	MisrouteRate float64
	// Cut is the share of answers that break off.
	TruncationRate float64
	// Length is the share of answers whose length is not what they say.
	LengthErrorRate float64
	// Slow is added to each token of an engine and to each call of a service.
	Latency time.Duration
	// Leaving adds a header to every answer which says that the server leaves.
	Leaving bool
	// Limit adds a header to every answer with how many requests a second the server takes; zero adds none.
	RateLimit float64
	// Pause is how long, from the moment that the faults are set, requests are refused with 503 and Retry-After.
	Pause time.Duration
}

// mishap is what the faults drew for one request.
type mishap struct {
	down    bool
	refused bool
	crossed bool
	cut     bool
	length  bool
	late    time.Duration
	slow    time.Duration
	// place says where in the answer it goes wrong, from 0 up to 1.
	place float64
}

// mishaps draws mishaps from faults that can be replaced at run time.
type mishaps struct {
	mu     sync.Mutex
	faults ServerFaults
	random *rand.Rand
	// since is when the faults were set.
	since time.Time
}

func newMishaps(seed uint64, faults ServerFaults) *mishaps {
	return &mishaps{
		faults: faults,
		since:  time.Now(),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetFaults replaces the faults.
func (m *mishaps) SetFaults(faults ServerFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults, m.since = faults, time.Now()
}

// paused returns how long requests are still refused.
func (m *mishaps) paused() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults.Pause - time.Since(m.since)
}

// Faults returns the faults.
func (m *mishaps) Faults() ServerFaults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// draw always takes the same number of random values, so that a seed gives the same run when one fault is changed.
func (m *mishaps) draw() mishap {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.faults
	d := mishap{
		down:    f.Down,
		refused: m.random.Float64() < f.RejectionRate,
		crossed: m.random.Float64() < f.MisrouteRate,
		cut:     m.random.Float64() < f.TruncationRate,
		length:  m.random.Float64() < f.LengthErrorRate,
		slow:    f.Latency,
	}
	if m.random.Float64() < f.DelayRate {
		d.late = f.Delay
	}
	d.place = m.random.Float64()
	return d
}

// chance reports whether an event of a probability happens.
func (m *mishaps) chance(probability float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64() < probability
}
