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

// Sink runs a step on the balancer and delivers the decisions that come out of it.
type Sink interface {
	Do(step func(b *lacebalancer.Balancer, now time.Time) []lacebalancer.Decision)
}

// Reporter asks servers for their reports; lacebackend.Client is one.
type ReportClient interface {
	Load(ctx context.Context, server laceunit.Address) (lacebackend.Load, error)
	Events(ctx context.Context, server laceunit.Address, after uint64) (lacebackend.CacheEventPage, error)
}

// Servers returns the servers of the configuration that is in force.
type Servers func() map[laceunit.ServerID]laceconfig.Server

// Setting configures a feed; zero fields take their defaults.
type Settings struct {
	// List is the base URL of the instance list; without one only the configuration tells what is leaving.
	ListAddress laceunit.Address
	// Period is the time between polls, and bounds a poll of loads and the silence of one of the list. A mark is seen after two
	// periods at the latest, or three when one poll fails, which keeps to the 3 s of guarantee 6.
	PollInterval time.Duration
	// Subset is how many servers are asked for their load in one period; a larger fleet is sampled.
	SampleSize int
	// Parallel bounds the polls at one time.
	MaxConcurrentPolls int
}

const (
	defaultPeriod = time.Second
	// defaultSubset covers today's 12 engines each second. More would exceed the 4 KB/s of control traffic per node,
	// at an estimated 350 bytes for a request and its answer.
	defaultSubset   = 12
	defaultParallel = 4
	// listTimeout bounds a list that moves; the list of 1,500 servers is 180 KB, 6 s at 30 kB/s.
	listTimeout = 30 * time.Second
)

// Option changes a feed at construction.
type Option func(*Feed)

// WithSetting sets the setting.
func WithSettings(setting Settings) Option {
	return func(f *Feed) { f.setting = setting }
}

// WithRandom sets the source of randomness for sampling and jitter.
func WithRandom(random *rand.Rand) Option {
	return func(f *Feed) { f.random = random }
}

// Feed polls the instance list and the servers and tells the balancer.
type Feed struct {
	setting  Settings
	servers  Servers
	reporter ReportClient
	sink     Sink
	base     *http.Transport
	client   *http.Client
	random   *rand.Rand

	mu    sync.Mutex
	marks marks
	tag   string
	// sequences are the last cache events seen, by server.
	sequences map[laceunit.ServerID]uint64
}

// New returns a feed; Serve runs it.
func New(servers Servers, reporter ReportClient, sink Sink, options ...Option) *Feed {
	f := &Feed{
		servers:   servers,
		reporter:  reporter,
		sink:      sink,
		base:      &http.Transport{MaxIdleConnsPerHost: 1},
		marks:     marks{},
		sequences: map[laceunit.ServerID]uint64{},
	}
	for _, o := range options {
		o(f)
	}
	if f.random == nil {
		f.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if f.setting.PollInterval <= 0 {
		f.setting.PollInterval = defaultPeriod
	}
	if f.setting.SampleSize <= 0 {
		f.setting.SampleSize = defaultSubset
	}
	if f.setting.MaxConcurrentPolls <= 0 {
		f.setting.MaxConcurrentPolls = defaultParallel
	}
	f.client = &http.Client{Transport: &laceconn.TimeoutTransport{
		Base:                  f.base,
		ResponseHeaderTimeout: f.setting.PollInterval,
		BodyIdleTimeout:       f.setting.PollInterval,
	}}
	return f
}

// Serve polls until the context ends, and returns when all its goroutines have.
func (f *Feed) Serve(ctx context.Context) error {
	f.Refresh()
	var wg sync.WaitGroup
	defer f.base.CloseIdleConnections()
	// The list has its own loop, so that slow servers can't delay a leaving mark.
	wg.Go(func() { f.every(ctx, listTimeout, f.pollList) })
	wg.Go(func() { f.every(ctx, f.setting.PollInterval, f.pollLoads) })
	wg.Wait()
	return ctx.Err()
}

// Refresh gives the servers and the leaving marks to the balancer; call it when a new configuration is in force.
func (f *Feed) Refresh() {
	servers := f.servers()
	f.mu.Lock()
	leaving := maps.Clone(f.marks)
	f.mu.Unlock()
	f.sink.Do(func(b *lacebalancer.Balancer, now time.Time) []lacebalancer.Decision {
		return b.Update(now, servers, leaving)
	})
}

// every runs a poll once per period, the first one at once; a timeout bounds it.
func (f *Feed) every(ctx context.Context, timeout time.Duration, poll func(context.Context)) {
	t := time.NewTicker(f.setting.PollInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		inner, cancel := context.WithTimeout(ctx, timeout)
		poll(inner)
		cancel()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

func (f *Feed) pollList(ctx context.Context) {
	if f.setting.ListAddress == "" {
		return
	}
	list, tag, err := fetch(ctx, f.client, f.setting.ListAddress, f.tag)
	if err != nil {
		return
	}
	servers := f.servers()
	f.mu.Lock()
	f.tag = tag
	f.marks.apply(list, servers)
	for id := range f.sequences {
		if _, ok := servers[id]; !ok {
			delete(f.sequences, id)
		}
	}
	f.mu.Unlock()
	f.Refresh()
}
