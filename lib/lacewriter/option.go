package lacewriter

import (
	"math/rand/v2"
	"time"

	"lacewingcove/lib/laceledger"
)

// Option changes a log, a combiner or a ledger at construction.
type Option func(*options)

type options struct {
	clock     func() time.Time
	random    func() uint64
	retain    laceledger.Retention
	observer  Observer
	partBytes int
	queue     int
	writes    float64
	linger    time.Duration
	timeout   time.Duration
	lease     time.Duration
}

// Bounds and delays of the ledger.
const (
	// defaultPartBytes leaves room below the platform's limit on a value and keeps merged segments cheap to rewrite.
	defaultPartBytes = 256 << 10
	// defaultQueue bounds the records that wait for one shard; at 300 requests/s it holds several seconds.
	defaultQueue = 4096
	// defaultWrites is the platform writes per second of all shards: 0.2 per request at 300 requests/s leaves 60.
	defaultWrites = 50
	// defaultTimeout bounds one append with its retries, and one call to a peer.
	defaultTimeout = 2 * time.Second
	// defaultLease is the time to live of the writer keys.
	defaultLease = 10 * time.Second
)

func newOptions(list []Option) options {
	o := options{
		clock:     time.Now,
		random:    rand.Uint64,
		retain:    laceledger.DefaultRetention(),
		observer:  NopObserver{},
		partBytes: defaultPartBytes,
		queue:     defaultQueue,
		writes:    defaultWrites,
		linger:    lingerSoon,
		timeout:   defaultTimeout,
		lease:     defaultLease,
	}
	for _, f := range list {
		f(&o)
	}
	return o
}

// WithClock sets the wall clock that stamps entries.
func WithClock(clock func() time.Time) Option {
	return func(o *options) { o.clock = clock }
}

// WithRandom sets the source of entry tags and part names; two processes must not draw the same numbers.
func WithRandom(random func() uint64) Option {
	return func(o *options) { o.random = random }
}

// WithRetain sets how long ended requests are remembered.
func WithRetention(retain laceledger.Retention) Option {
	return func(o *options) { o.retain = retain }
}

// WithObserver sets the observer.
func WithObserver(observer Observer) Option {
	return func(o *options) { o.observer = observer }
}

// WithPartBytes sets the size above which a snapshot is split over several keys.
func WithMaxPartBytes(bytes int) Option {
	return func(o *options) { o.partBytes = bytes }
}

// WithQueue bounds the records that wait for one shard.
func WithQueueLimit(records int) Option {
	return func(o *options) { o.queue = records }
}

// WithWrites sets the platform writes per second that all shards together should stay within.
func WithWriteRate(perSecond float64) Option {
	return func(o *options) { o.writes = perSecond }
}

// WithLinger sets how long a record of UrgencyNormal waits for others when the write allowance is short.
func WithLinger(linger time.Duration) Option {
	return func(o *options) { o.linger = linger }
}

// WithTimeout bounds one append with its retries, and one call to a peer.
func WithTimeout(timeout time.Duration) Option {
	return func(o *options) { o.timeout = timeout }
}

// WithLease sets the time to live of the writer keys.
func WithLeaseTTL(ttl time.Duration) Option {
	return func(o *options) { o.lease = ttl }
}
