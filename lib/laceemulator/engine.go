package laceemulator

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceunit"
)

// EngineOptions configure a model engine; a zero field selects its default.
type EngineOptions struct {
	Models []laceunit.ModelID
	// Slots is the number of requests that run concurrently; default 8.
	Slots int
	// TokenInterval is the time between two tokens of a request; default 20 ms.
	TokenInterval time.Duration
	// PrefillRate is the number of prompt tokens processed per second; default 8000.
	PrefillRate float64
	// CacheTokens is the capacity of the prefix cache in prompt tokens; default 65536.
	CacheTokens laceunit.Tokens
	// LoadReportLag is the minimum age of load reports. They are at most twice as old while the engine is busy or
	// polled. Default 500 ms.
	LoadReportLag time.Duration
	// EventLag is the delay before cache events are published, and EventLossRate the share that is never published.
	EventLag      time.Duration
	EventLossRate float64
	// EnforcesFencing makes the engine reject orders with a stale fencing token.
	EnforcesFencing bool
	// WeightStore is the base URL of the weight store; if empty, models load immediately.
	WeightStore laceunit.Address
	Seed        uint64
	Faults      ServerFaults
}

// Engine is an emulated model engine. A request whose client disconnects still runs to completion unless it is
// cancelled, so that its stream can be resumed by request id.
type Engine struct {
	*faultInjector
	options         EngineOptions
	client          *http.Client
	mu              sync.Mutex
	batch           batch
	orderState      orderState
	publishedReport loadReport
	latestReport    loadReport
	changed         notifier
	wake            chan struct{}
	stop            chan struct{}
	stopped         chan struct{}
}

// loadReport is the engine's load at a point in time.
type loadReport struct {
	time         time.Time
	running      int
	waiting      int
	cachedTokens int
}

// NewEngine starts an engine.
func NewEngine(options EngineOptions) *Engine {
	setDefault(&options.Slots, 8)
	setDefault(&options.TokenInterval, 20*time.Millisecond)
	setDefault(&options.PrefillRate, 8000)
	setDefault(&options.CacheTokens, 65536)
	setDefault(&options.LoadReportLag, 500*time.Millisecond)
	e := &Engine{
		faultInjector: newFaultInjector(options.Seed, options.Faults),
		options:       options,
		client:        &http.Client{Transport: laceconn.NewTransport(&http.Transport{}, 0)},
		batch: batch{
			slots:       options.Slots,
			prefillRate: options.PrefillRate,
			cache: prefixCache{
				capacity: int(options.CacheTokens / blockTokens),
			},
		},
		orderState: orderState{
			enforcesFencing: options.EnforcesFencing,
			models:          slices.Clone(options.Models),
		},
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	e.batch.cache.dropsEvent = func() bool { return e.chance(options.EventLossRate) }
	go e.run()
	return e
}

// setDefault sets a zero field to its default.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Close stops the engine; requests in progress generate no more tokens. It must be called exactly once.
func (e *Engine) Close() error {
	close(e.stop)
	<-e.stopped
	e.client.CloseIdleConnections()
	return nil
}

// run steps the batch at every tick, and waits while the batch is idle.
func (e *Engine) run() {
	defer close(e.stopped)
	t := time.NewTicker(e.options.TokenInterval)
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
		case <-e.wake:
			t.Reset(e.options.TokenInterval)
		}
	}
}

// step generates the next tokens and reports whether the engine is idle.
func (e *Engine) step(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.step(now)
	e.sampleLoad(now)
	e.changed.notify()
	return e.batch.idle()
}

// submit enqueues a request, or attaches to an existing one, and wakes the engine.
func (e *Engine) submit(j *job) (*job, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, err := e.batch.submit(j)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return j, err
}

// currentReport returns the published load report, which is stale by design.
func (e *Engine) currentReport(now time.Time) loadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sampleLoad(now)
	return e.publishedReport
}

// sampleLoad takes a report once per LoadReportLag and publishes the previous one; the caller holds the lock.
func (e *Engine) sampleLoad(now time.Time) {
	if now.Sub(e.latestReport.time) < e.options.LoadReportLag {
		return
	}
	e.publishedReport = e.latestReport
	e.latestReport = loadReport{
		time:         now,
		running:      len(e.batch.running),
		waiting:      len(e.batch.waiting),
		cachedTokens: e.batch.cache.lru.Len() * blockTokens,
	}
}
