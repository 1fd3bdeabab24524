package lacefeed

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceunit"
)

// Sink runs a function on the balancer and delivers the decisions that it returns.
type Sink interface {
	Do(step func(b *lacebalancer.Balancer, now time.Time) []lacebalancer.Decision)
}

// ReportClient fetches load reports and cache events from servers; lacebackend.Client implements it.
type ReportClient interface {
	Load(ctx context.Context, server laceunit.Address) (lacebackend.Load, error)
	Events(ctx context.Context, server laceunit.Address, after uint64) (lacebackend.CacheEventPage, error)
}

// Servers returns the servers of the active configuration.
type Servers func() map[laceunit.ServerID]laceconfig.Server

// Settings configure a feed; zero fields take their defaults.
type Settings struct {
	// ListAddress is the base URL of the instance list; if it is empty, only the configuration determines which servers
	// are leaving.
	ListAddress laceunit.Address
	// PollInterval is the time between polls. It is also the timeout of a poll of loads, and the longest time without
	// data during a poll of the list. A leaving server is detected after at most two intervals, or three if one poll
	// fails, which meets the 3 s of guarantee 6.
	PollInterval time.Duration
	// SampleSize is how many servers are polled for their load in one interval; a larger fleet is sampled at random.
	SampleSize int
	// MaxConcurrentPolls bounds the concurrent polls of servers.
	MaxConcurrentPolls int
}

const (
	defaultPollInterval = time.Second
	// defaultSampleSize covers today's 12 engines each second. More would exceed the 4 KB/s of control traffic per
	// node, at an estimated 350 bytes for a request and its response.
	defaultSampleSize         = 12
	defaultMaxConcurrentPolls = 4
	// listTimeout bounds the transfer of a list while data keeps arriving; the list of 1,500 servers is 180 KB, 6 s at
	// 30 kB/s.
	listTimeout = 30 * time.Second
)

// Option configures a feed at construction.
type Option func(*Feed)

// WithSettings sets the settings.
func WithSettings(settings Settings) Option {
	return func(f *Feed) { f.settings = settings }
}

// WithRandom sets the source of randomness for sampling and jitter.
func WithRandom(random *rand.Rand) Option {
	return func(f *Feed) { f.random = random }
}

// Feed polls the instance list and the servers and updates the balancer.
type Feed struct {
	settings   Settings
	servers    Servers
	reports    ReportClient
	sink       Sink
	transport  *laceconn.Transport
	listClient *http.Client
	random     *rand.Rand

	mu      sync.Mutex
	leaving leavingServers
	etag    string
	// lastSequences are the sequence numbers of the last cache events received, by server.
	lastSequences map[laceunit.ServerID]uint64
}

// New returns a feed; Serve runs it.
func New(servers Servers, reports ReportClient, sink Sink, options ...Option) *Feed {
	f := &Feed{
		servers:       servers,
		reports:       reports,
		sink:          sink,
		transport:     laceconn.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1}, maxListBytes),
		leaving:       leavingServers{},
		lastSequences: map[laceunit.ServerID]uint64{},
	}
	for _, o := range options {
		o(f)
	}
	if f.random == nil {
		f.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if f.settings.PollInterval <= 0 {
		f.settings.PollInterval = defaultPollInterval
	}
	if f.settings.SampleSize <= 0 {
		f.settings.SampleSize = defaultSampleSize
	}
	if f.settings.MaxConcurrentPolls <= 0 {
		f.settings.MaxConcurrentPolls = defaultMaxConcurrentPolls
	}
	f.listClient = &http.Client{Transport: &laceconn.TimeoutTransport{
		Base:                  f.transport,
		ResponseHeaderTimeout: f.settings.PollInterval,
		BodyIdleTimeout:       f.settings.PollInterval,
	}}
	return f
}

// Serve polls until the context ends, and returns once all its goroutines have ended.
func (f *Feed) Serve(ctx context.Context) error {
	f.Refresh()
	var wg sync.WaitGroup
	defer f.transport.CloseIdleConnections()
	// The list has its own loop, so that slow servers can't delay the detection of a leaving server.
	wg.Go(func() { f.pollLoop(ctx, listTimeout, f.pollList) })
	wg.Go(func() { f.pollLoop(ctx, f.settings.PollInterval, f.pollLoads) })
	wg.Wait()
	return ctx.Err()
}

// Refresh updates the servers and the leaving servers in the balancer; call it when a new configuration becomes active.
func (f *Feed) Refresh() {
	servers := f.servers()
	f.mu.Lock()
	leaving := maps.Clone(f.leaving)
	f.mu.Unlock()
	f.sink.Do(func(b *lacebalancer.Balancer, now time.Time) []lacebalancer.Decision {
		return b.Update(now, servers, leaving)
	})
}

// pollLoop runs a poll once per interval, the first one immediately, each with a timeout.
func (f *Feed) pollLoop(ctx context.Context, timeout time.Duration, poll func(context.Context)) {
	ticker := time.NewTicker(f.settings.PollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		pollCtx, cancel := context.WithTimeout(ctx, timeout)
		poll(pollCtx)
		cancel()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (f *Feed) pollList(ctx context.Context) {
	if f.settings.ListAddress == "" {
		return
	}
	list, etag, err := fetchList(ctx, f.listClient, f.settings.ListAddress, f.etag)
	if err != nil {
		return
	}
	servers := f.servers()
	f.mu.Lock()
	f.etag = etag
	f.leaving.update(list, servers)
	for id := range f.lastSequences {
		if _, ok := servers[id]; !ok {
			delete(f.lastSequences, id)
		}
	}
	f.mu.Unlock()
	f.Refresh()
}
