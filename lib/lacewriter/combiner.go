package lacewriter

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
)

const (
	// lingerNormal is the default of WithLinger. It limits a shard to 33 writes per second for UrgencyNormal records.
	// With 20 ms, the co-operative's workload at 300 requests/s exceeds the target of 0.2 writes per request.
	lingerNormal = 30 * time.Millisecond
	// lingerLow is the maximum batching delay of an UrgencyLow record.
	lingerLow = 500 * time.Millisecond
	// maxBatchRecords bounds the records of one entry; maxEntryBytes bounds its size.
	maxBatchRecords = 256
	// writeBurst is the burst size of the write rate limit: an idle shard commits a burst without batching delay.
	writeBurst = 5
	// maxWriteDebt bounds how far immediate writes overdraw the write rate limit, so that they delay other records by
	// a second at most.
	maxWriteDebt = time.Second
	// minExpectedArrivals is the number of records that must be expected within one batching delay to justify it.
	// Without it, a single caller that sends its requests sequentially is delayed although there is nothing to batch.
	minExpectedArrivals = 5
	// arrivalDecayTime is the time constant of the exponential decay of the arrival count. It is long compared with the
	// intervals between records at relevant rates, and short enough to detect a burst.
	arrivalDecayTime = 50 * time.Millisecond
	// transferTimeout bounds the initial load of a shard and the writing of one snapshot. Their size grows with the
	// shard's budgets and requests: a ring of 1 MB takes 45 s at 30 kB/s. What a load has read is of no use to anything
	// else, so a load that makes progress must not be cut short.
	transferTimeout = 2 * time.Minute
)

// Combiner implements group commit for one shard: it commits the queued records in batches, with at most one append in
// flight.
type Combiner struct {
	options
	log          *Log
	writeLimiter *rate.Limiter

	mu     sync.Mutex
	queue  []*item
	closed bool
	// arrivals is the exponentially decayed number of enqueued records at the time lastArrival.
	arrivals    float64
	lastArrival time.Time
	wake        chan struct{}

	cancel       context.CancelFunc
	done         chan struct{}
	snapshotLoop sync.WaitGroup
	snapshotDue  chan struct{}
}

// item is a queued record, or a read barrier if the record is nil.
type item struct {
	record     laceledger.Record
	urgency    laceledger.Urgency
	enqueuedAt time.Time
	dequeued   bool
	verdict    laceledger.Verdict
	err        error
	done       chan struct{}
}

// NewCombiner starts the combiner of a log; Close stops it.
func NewCombiner(log *Log, opts ...Option) *Combiner {
	o := newOptions(opts)
	ctx, cancel := context.WithCancel(context.Background())
	c := &Combiner{
		options:      o,
		log:          log,
		writeLimiter: rate.NewLimiter(rate.Limit(o.writeRate), writeBurst),
		wake:         make(chan struct{}, 1),
		cancel:       cancel,
		done:         make(chan struct{}),
		snapshotDue:  make(chan struct{}, 1),
	}
	c.snapshotLoop.Add(1)
	go c.runSnapshots(ctx)
	go c.run(ctx)
	return c
}

// SetWriteRate changes the target for platform writes per second.
func (c *Combiner) SetWriteRate(perSecond float64) {
	c.writeLimiter.SetLimit(rate.Limit(perSecond))
}

// Append commits a record and returns its verdict.
func (c *Combiner) Append(
	ctx context.Context, record laceledger.Record, urgency laceledger.Urgency,
) (laceledger.Verdict, error) {
	if record == nil {
		return laceledger.Verdict{Result: laceledger.Invalid}, nil
	}
	it := &item{
		record:  record,
		urgency: urgency,
	}
	if err := c.enqueue(it); err != nil {
		return laceledger.Verdict{}, err
	}
	return c.wait(ctx, it)
}

// Refresh is a read barrier: after it, the log's state includes every entry that was committed before the call.
func (c *Combiner) Refresh(ctx context.Context) error {
	it := &item{urgency: laceledger.UrgencyImmediate}
	if err := c.enqueue(it); err != nil {
		return err
	}
	_, err := c.wait(ctx, it)
	return err
}

func (c *Combiner) enqueue(it *item) error {
	it.done = make(chan struct{})
	it.enqueuedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errors.Wrap(laceplatform.ErrUnavailable, "writer: combiner is closed")
	}
	if len(c.queue) >= c.options.queue {
		return errors.Wrap(laceplatform.ErrUnavailable, "writer: queue is full")
	}
	c.queue = append(c.queue, it)
	c.arrivals, c.lastArrival = c.decayedArrivals(it.enqueuedAt)+1, it.enqueuedAt
	c.signal()
	return nil
}

func (c *Combiner) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// wait returns the verdict of an item. If the context ends while the item is still queued, the item is removed and the
// error is ErrUnavailable: its record is never appended.
func (c *Combiner) wait(ctx context.Context, it *item) (laceledger.Verdict, error) {
	select {
	case <-it.done:
		return it.verdict, it.err
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-it.done:
		return it.verdict, it.err
	default:
	}
	if it.dequeued {
		return laceledger.Verdict{}, errors.Wrap(laceplatform.ErrUnknown, ctx.Err().Error())
	}
	for i, queued := range c.queue {
		if queued == it {
			c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
			break
		}
	}
	return laceledger.Verdict{}, errors.Wrap(laceplatform.ErrUnavailable, ctx.Err().Error())
}

// Close commits the queued records if the platform is reachable, and waits for the goroutines to stop.
func (c *Combiner) Close() error {
	c.mu.Lock()
	c.closed = true
	c.signal()
	c.mu.Unlock()
	<-c.done
	c.cancel()
	c.snapshotLoop.Wait()
	return nil
}

func (c *Combiner) run(ctx context.Context) {
	defer close(c.done)
	for {
		batch, wait, closed := c.nextBatch(time.Now())
		switch {
		case len(batch) > 0:
			c.commit(ctx, batch)
			continue
		case closed:
			return
		}
		var timer <-chan time.Time
		if wait > 0 {
			timer = time.After(wait)
		}
		select {
		case <-c.wake:
		case <-timer:
		}
	}
}

// nextBatch dequeues the batch to commit now, or returns how long to wait; a wait of zero means until a record is
// enqueued.
func (c *Combiner) nextBatch(now time.Time) (batch []*item, wait time.Duration, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return nil, 0, c.closed
	}
	if !c.closed {
		if wait = c.linger(now); wait > 0 {
			return nil, wait, false
		}
	}
	n := min(len(c.queue), maxBatchRecords)
	batch = append(batch, c.queue[:n]...)
	c.queue = append(c.queue[:0:0], c.queue[n:]...)
	for _, it := range batch {
		it.dequeued = true
	}
	return batch, 0, c.closed
}

// decayedArrivals returns the exponentially decayed arrival count at the given time.
func (c *Combiner) decayedArrivals(now time.Time) float64 {
	return c.arrivals * math.Exp(-now.Sub(c.lastArrival).Seconds()/arrivalDecayTime.Seconds())
}

// lingerWorthwhile reports whether the write rate limit is exhausted and a batching delay is likely to save writes.
func (c *Combiner) lingerWorthwhile(now time.Time) bool {
	expected := c.decayedArrivals(now) * c.options.linger.Seconds() / arrivalDecayTime.Seconds()
	return c.writeLimiter.TokensAt(now) < 1 && expected >= minExpectedArrivals
}

// linger returns how long the queued records may still be delayed to form a larger batch.
func (c *Combiner) linger(now time.Time) time.Duration {
	worthwhile := c.lingerWorthwhile(now)
	if len(c.queue) >= maxBatchRecords || (len(c.queue) == 1 && !worthwhile) {
		return 0
	}
	wait := lingerLow
	for _, it := range c.queue {
		age := now.Sub(it.enqueuedAt)
		switch {
		case it.urgency >= laceledger.UrgencyImmediate:
			return 0
		case it.urgency == laceledger.UrgencyNormal && !worthwhile:
			return 0
		case it.urgency == laceledger.UrgencyNormal:
			wait = min(wait, c.options.linger-age, c.nextTokenDelay(now))
		default:
			wait = min(wait, lingerLow-age)
		}
	}
	return wait
}

// nextTokenDelay returns the time until the write rate limit permits the next write.
func (c *Combiner) nextTokenDelay(now time.Time) time.Duration {
	deficit := 1 - c.writeLimiter.TokensAt(now)
	if deficit <= 0 || c.writeLimiter.Limit() <= 0 {
		return c.options.linger
	}
	// The extra nanosecond compensates for rounding down.
	return time.Duration(deficit/float64(c.writeLimiter.Limit())*float64(time.Second)) + 1
}

// consumeWriteToken charges one write to the rate limit. It may overdraw the limit, by at most maxWriteDebt.
func (c *Combiner) consumeWriteToken(now time.Time) {
	r := c.writeLimiter.ReserveN(now, 1)
	if r.OK() && r.DelayFrom(now) > maxWriteDebt {
		r.CancelAt(now)
	}
}

// commit appends a batch, in several entries if it is too large for one, and completes its items.
func (c *Combiner) commit(ctx context.Context, batch []*item) {
	loaded, err := c.loadLog(ctx)
	if err != nil {
		c.complete(batch, nil, err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var records []laceledger.Record
	var items, barriers []*item
	for _, it := range batch {
		if it.record == nil {
			barriers = append(barriers, it)
			continue
		}
		records, items = append(records, it.record), append(items, it)
	}
	if len(items) == 0 {
		if !loaded {
			err = c.log.Refresh(ctx)
		}
		c.complete(barriers, nil, err)
		return
	}
	for len(items) > 0 {
		c.consumeWriteToken(time.Now())
		var verdicts []laceledger.Verdict
		if verdicts, err = c.log.Append(ctx, records); err != nil {
			c.complete(items, nil, err)
			break
		}
		n := len(verdicts)
		c.complete(items[:n], verdicts, nil)
		items, records = items[n:], records[n:]
	}
	c.complete(barriers, nil, err)
	if c.log.SnapshotDue() {
		select {
		case c.snapshotDue <- struct{}{}:
		default:
		}
	}
}

// loadLog loads the log before the first commit; it reports whether this call loaded it.
func (c *Combiner) loadLog(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return c.log.Load(ctx)
}

// complete sets the results of items and wakes their callers.
func (c *Combiner) complete(items []*item, verdicts []laceledger.Verdict, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, it := range items {
		it.err = err
		if i < len(verdicts) {
			it.verdict = verdicts[i]
		}
		close(it.done)
	}
}

// runSnapshots writes snapshots concurrently with appends, so that no record waits for one until the ring is half full.
func (c *Combiner) runSnapshots(ctx context.Context) {
	defer c.snapshotLoop.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.snapshotDue:
		}
		if !c.log.SnapshotDue() {
			// The append signaled this while the previous snapshot was still being written.
			continue
		}
		// A failed snapshot is retried after the next append.
		snapshotCtx, cancel := context.WithTimeout(ctx, transferTimeout)
		_ = c.log.Snapshot(snapshotCtx)
		cancel()
	}
}
