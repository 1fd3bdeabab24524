package laceemulator

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"lacewingcove/lib/laceunit"
)

// EngineSetting describes a model engine; a zero field takes its default.
type EngineOptions struct {
	Models []laceunit.ModelID
	// Slots is how many requests run at once; default 8.
	Slots int
	// Step is the time between two tokens of a request; default 20 ms.
	TokenInterval time.Duration
	// Prefill is how many prompt tokens are read in a second; default 8000.
	PrefillRate float64
	// Cache is how many prompt tokens the prefix cache holds; default 65536.
	CacheTokens laceunit.Tokens
	// Lag is how old load reports are at least, and at most twice that while the engine works or is asked; default
	// 500 ms.
	LoadReportLag time.Duration
	// EventLag is how late cache events are published, and EventLoss the share that never is.
	EventLag      time.Duration
	EventLossRate float64
	// Fencing engines refuse orders with an old fencing token.
	EnforcesFencing bool
	// Weights is the base URL of the weight store; without it, models load at once.
	WeightStore laceunit.Address
	Seed        uint64
	Faults      ServerFaults
}

// Engine is an emulated model engine. A request runs to its end when its client leaves, unless it is cancelled, so
// that it can be resumed by its id.
type Engine struct {
	*mishaps
	setting EngineOptions
	client  *http.Client
	mu      sync.Mutex
	batch   batch
	orders  orders
	shown   loadReport
	taken   loadReport
	changed signal
	work    chan struct{}
	stop    chan struct{}
	stopped chan struct{}
}

// loadReport is the engine's load at some time.
type loadReport struct {
	at      time.Time
	running int
	waiting int
	cached  int
}

// NewEngine returns a running engine.
func NewEngine(setting EngineOptions) *Engine {
	fill(&setting.Slots, 8)
	fill(&setting.TokenInterval, 20*time.Millisecond)
	fill(&setting.PrefillRate, 8000)
	fill(&setting.CacheTokens, 65536)
	fill(&setting.LoadReportLag, 500*time.Millisecond)
	e := &Engine{
		mishaps: newMishaps(setting.Seed, setting.Faults),
		setting: setting,
		client:  &http.Client{},
		batch: batch{
			slots:   setting.Slots,
			prefill: setting.PrefillRate,
			cache: prefixCache{
				limit: int(setting.CacheTokens / blockTokens),
			},
		},
		orders: orders{
			fencing: setting.EnforcesFencing,
			models:  slices.Clone(setting.Models),
		},
		work:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	e.batch.cache.dropped = func() bool { return e.chance(setting.EventLossRate) }
	go e.run()
	return e
}

// fill sets a field that is zero to its default.
func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Close stops the engine; requests in progress yield no more tokens. It must be called once.
func (e *Engine) Close() error {
	close(e.stop)
	<-e.stopped
	e.client.CloseIdleConnections()
	return nil
}

// run steps the batch while there is work.
func (e *Engine) run() {
	defer close(e.stopped)
	t := time.NewTicker(e.setting.TokenInterval)
	defer t.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-t.C:
		}
		if !e.step(time.Now()) {
			continue
		}
		select {
		case <-e.stop:
			return
		case <-e.work:
			t.Reset(e.setting.TokenInterval)
		}
	}
}

// step yields the next tokens and reports whether the engine is idle.
func (e *Engine) step(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.step(now)
	e.sample(now)
	e.changed.fire()
	return e.batch.idle()
}

// submit adds or joins a request and wakes the engine.
func (e *Engine) submit(j *job) (*job, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, err := e.batch.submit(j)
	select {
	case e.work <- struct{}{}:
	default:
	}
	return j, err
}

// load returns a report of the past.
func (e *Engine) load(now time.Time) loadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sample(now)
	return e.shown
}

// sample takes a report each lag and shows the one before it; the caller holds the lock.
func (e *Engine) sample(now time.Time) {
	if now.Sub(e.taken.at) < e.setting.LoadReportLag {
		return
	}
	e.shown = e.taken
	e.taken = loadReport{
		at:      now,
		running: len(e.batch.running),
		waiting: len(e.batch.waiting),
		cached:  e.batch.cache.order.Len() * blockTokens,
	}
}
