package laceemulator

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lacewingcove/lib/laceplatform"
)

// Defaults of the platform: what the deployments' platform is known to take.
const (
	DefaultWriteRate = 400
	DefaultReadRate  = 2000
)

// tick is how often leases are checked against the system clock when no call does so.
const tick = 20 * time.Millisecond

// Counts are the calls that reached the platform, by kind; a waiting watch is one call.
type Counts struct {
	Reads   int64
	Writes  int64
	Leases  int64
	Watches int64
	// Refused are the calls among them that were over the rate.
	RateLimited int64
}

// Platform is the key-value service with its rates, faults and counts.
type Platform struct {
	mu      sync.Mutex
	now     func() time.Time
	state   State
	random  *rand.Rand
	faults  PlatformFaults
	counts  Counts
	writes  *rate.Limiter
	reads   *rate.Limiter
	changed signal
	stop    chan struct{}
	// tasks are the goroutines that Close waits for.
	tasks sync.WaitGroup
}

// PlatformOption changes a platform at construction.
type PlatformOption func(*Platform)

// WithRates sets the writes and reads accepted per second; zero means no limit.
func WithRateLimits(writes, reads float64) PlatformOption {
	return func(p *Platform) {
		p.writes, p.reads = limiter(writes), limiter(reads)
	}
}

// WithClock sets the clock of leases and rates; leases then expire on calls and on Tick only. Latency passes in real
// time in any case.
func WithClock(now func() time.Time) PlatformOption {
	return func(p *Platform) { p.now = now }
}

// WithSeed sets the seed of the random faults.
func WithSeed(seed uint64) PlatformOption {
	return func(p *Platform) { p.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithHistory sets how many changes are kept for watches.
func WithHistory(events int) PlatformOption {
	return func(p *Platform) { p.state.History = events }
}

// NewPlatform returns a running platform.
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
		p.tasks.Go(p.expire)
	}
	return p
}

// limiter returns a token bucket that holds one second's worth of calls.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Close stops the platform's own goroutines; it must be called once, after the last call.
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
	p.changed.fire()
}

// Faults returns the faults; LoseNext is what is left of it.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.clone()
}

// Counts returns the calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Compact forgets the changes up to a revision.
func (p *Platform) Compact(through laceplatform.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Compact(through)
	p.changed.fire()
}

// Tick expires the leases that are due.
func (p *Platform) ExpireLeases() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tick(p.now())
}

func (p *Platform) tick(now time.Time) {
	if !p.faults.SuspendExpiry && p.state.ExpireLeases(now) {
		p.changed.fire()
	}
}

func (p *Platform) expire() {
	t := time.NewTicker(tick)
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
