package laceemulator

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lacewingcove/lib/laceplatform"
)

// Default rate limits in calls per second: the known limits of the platform in the deployments.
const (
	DefaultWriteRate = 400
	DefaultReadRate  = 2000
)

// leaseCheckInterval is how often the platform expires leases by the system clock in the absence of calls.
const leaseCheckInterval = 20 * time.Millisecond

// Counts are the calls that reached the platform, by kind; a watch counts as one call.
type Counts struct {
	Reads   int64
	Writes  int64
	Leases  int64
	Watches int64
	// RateLimited are those of the calls above that were rejected by the rate limits.
	RateLimited int64
}

// Platform is the emulated key-value store with its rate limits, faults and counts.
type Platform struct {
	mu      sync.Mutex
	now     func() time.Time
	state   State
	random  *rand.Rand
	faults  PlatformFaults
	counts  Counts
	writes  *rate.Limiter
	reads   *rate.Limiter
	changed notifier
	stop    chan struct{}
	// tasks are the background goroutines; Close waits for them.
	tasks sync.WaitGroup
}

// PlatformOption configures a new platform.
type PlatformOption func(*Platform)

// WithRateLimits sets the number of writes and reads accepted per second; zero means unlimited.
func WithRateLimits(writes, reads float64) PlatformOption {
	return func(p *Platform) {
		p.writes, p.reads = newLimiter(writes), newLimiter(reads)
	}
}

// WithClock sets the clock of leases and rate limits. Leases then expire only during calls and ExpireLeases. Injected
// latency always uses real time.
func WithClock(now func() time.Time) PlatformOption {
	return func(p *Platform) { p.now = now }
}

// WithSeed sets the seed of random faults.
func WithSeed(seed uint64) PlatformOption {
	return func(p *Platform) { p.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithHistory sets how many changes are kept for watches before the oldest are compacted.
func WithHistory(events int) PlatformOption {
	return func(p *Platform) { p.state.History = events }
}

// NewPlatform starts a platform.
func NewPlatform(options ...PlatformOption) *Platform {
	p := &Platform{
		stop: make(chan struct{}),
	}
	WithRateLimits(DefaultWriteRate, DefaultReadRate)(p)
	WithSeed(1)(p)
	for _, o := range options {
		o(p)
	}
	if p.now == nil {
		p.now = time.Now
		p.tasks.Go(p.runLeaseExpiry)
	}
	return p
}

// newLimiter returns a token bucket with a burst of one second's calls; zero means unlimited.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Close stops the platform's background goroutines. It must be called exactly once, after the last call.
func (p *Platform) Close() error {
	close(p.stop)
	p.tasks.Wait()
	return nil
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults.clone()
	p.changed.notify()
}

// Faults returns the current faults; LoseNextResponses is the remaining number.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.clone()
}

// Counts returns the counts of calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Compact discards the change history up to and including a revision.
func (p *Platform) Compact(through laceplatform.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Compact(through)
	p.changed.notify()
}

// ExpireLeases expires the leases whose deadline has passed, unless expiry is suspended.
func (p *Platform) ExpireLeases() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireDueLeases(p.now())
}

func (p *Platform) expireDueLeases(now time.Time) {
	if !p.faults.SuspendExpiry && p.state.ExpireLeases(now) {
		p.changed.notify()
	}
}

func (p *Platform) runLeaseExpiry() {
	t := time.NewTicker(leaseCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-t.C:
			p.ExpireLeases()
		}
	}
}
