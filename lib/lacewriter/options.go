package lacewriter

import (
	"math/rand/v2"
	"time"

	"lacewingcove/lib/laceledger"
)

// Option configures a log, a combiner or a ledger.
type Option func(*options)

type options struct {
	clock        func() time.Time
	random       func() uint64
	retention    laceledger.Retention
	observer     Observer
	maxPartBytes int
	queue        int
	writeRate    float64
	linger       time.Duration
	timeout      time.Duration
	lease        time.Duration
}

// Defaults of the options.
const (
	// defaultMaxPartBytes is well below the platform's limit on the size of a value and keeps merged segments cheap to
	// rewrite.
	defaultMaxPartBytes = 256 << 10
	// defaultQueueLimit bounds the queued records of one shard: several seconds of traffic at 300 requests/s.
	defaultQueueLimit = 4096
	// defaultWriteRate is the target for platform writes per second of all shards. It is below the 60 writes per second
	// that 0.2 writes per request allow at 300 requests/s.
	defaultWriteRate = 50
	// defaultTimeout bounds an append including its retries, and a call to a peer.
	defaultTimeout = 2 * time.Second
	// defaultLeaseTTL is the time to live of the lease on the writer keys.
	defaultLeaseTTL = 10 * time.Second
)

func newOptions(opts []Option) options {
	o := options{
		clock:        time.Now,
		random:       rand.Uint64,
		retention:    laceledger.DefaultRetention(),
		observer:     NopObserver{},
		maxPartBytes: defaultMaxPartBytes,
		queue:        defaultQueueLimit,
		writeRate:    defaultWriteRate,
		linger:       lingerNormal,
		timeout:      defaultTimeout,
		lease:        defaultLeaseTTL,
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// WithClock sets the wall clock for the timestamps of entries.
func WithClock(clock func() time.Time) Option {
	return func(o *options) { o.clock = clock }
}

// WithRandom sets the random source of entry tags and part names. Two processes must not draw the same sequence.
func WithRandom(random func() uint64) Option {
	return func(o *options) { o.random = random }
}

// WithRetention sets how long ended requests are retained.
func WithRetention(retention laceledger.Retention) Option {
	return func(o *options) { o.retention = retention }
}

// WithObserver sets the observer.
func WithObserver(observer Observer) Option {
	return func(o *options) { o.observer = observer }
}

// WithMaxPartBytes sets the size above which a snapshot is split into several keys.
func WithMaxPartBytes(bytes int) Option {
	return func(o *options) { o.maxPartBytes = bytes }
}

// WithQueueLimit bounds the queued records of one shard.
func WithQueueLimit(records int) Option {
	return func(o *options) { o.queue = records }
}

// WithWriteRate sets the target for platform writes per second of all shards together. Records are batched to meet it;
// writes beyond it are not rejected.
func WithWriteRate(perSecond float64) Option {
	return func(o *options) { o.writeRate = perSecond }
}

// WithLinger sets the maximum batching delay of an UrgencyNormal record when the write rate limit is exhausted.
func WithLinger(linger time.Duration) Option {
	return func(o *options) { o.linger = linger }
}

// WithTimeout bounds an append including its retries, and a call to a peer.
func WithTimeout(timeout time.Duration) Option {
	return func(o *options) { o.timeout = timeout }
}

// WithLeaseTTL sets the time to live of the lease on the writer keys.
func WithLeaseTTL(ttl time.Duration) Option {
	return func(o *options) { o.lease = ttl }
}
