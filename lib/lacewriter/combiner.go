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
	// lingerSoon is the default of WithLinger: one shard then writes at most 33 times per second for UrgencyNormal
	// records. With 20 ms the co-operative's mix at 300 requests/s misses the target of 0.2 writes a request.
	lingerSoon = 30 * time.Millisecond
	// lingerLazy is how long a record of UrgencyLow waits for others.
	lingerLazy = 500 * time.Millisecond
	// batchRecords bounds the records of one entry; the entry's bytes are bounded apart from that.
	batchRecords = 256
	// allowanceBurst lets a quiet shard answer a burst without lingering.
	allowanceBurst = 5
	// allowanceDebt bounds how far urgent writes overdraw the allowance, so that others linger for a second at most.
	allowanceDebt = time.Second
	// lingerCompany is how many records have to be expected within one linger for it to be worth its delay. Without
	// it a single caller that sends one request after the other waits for others that do not come.
	lingerCompany = 5
	// arrivalDecay is the time constant of the rate of arrivals: long against the gaps at the rates that matter, short
	// enough to notice a burst.
	arrivalDecay = 50 * time.Millisecond
	// transferTimeout bounds the first load of a shard and one snapshot of it, which grow with its budgets and requests: a ring of
	// 1 MB takes 45 s at 30 kB/s. What a load has read is of use only to itself, so that it is not given up while it moves.
	transferTimeout = 2 * time.Minute
)

// Combiner commits the records of one shard in batches, with at most one append in flight.
type Combiner struct {
	options
	log     *Log
	limiter *rate.Limiter

	mu     sync.Mutex
	queue  []*item
	closed bool
	// arrivals is the decaying number of records that have arrived, as of the time arrived.
	arrivals float64
	arrived  time.Time
	wake     chan struct{}

	cancel context.CancelFunc
	done   chan struct{}
	snaps  sync.WaitGroup
	due    chan struct{}
}

// item is one record, or a read barrier when the record is nil.
type item struct {
	record  laceledger.Record
	urgency laceledger.Urgency
	since   time.Time
	taken   bool
	verdict laceledger.Verdict
	err     error
	done    chan struct{}
}

// NewCombiner starts the combiner of a log; Close stops it.
func NewCombiner(log *Log, list ...Option) *Combiner {
	o := newOptions(list)
	ctx, cancel := context.WithCancel(context.Background())
	c := &Combiner{
		options: o,
		log:     log,
		limiter: rate.NewLimiter(rate.Limit(o.writes), allowanceBurst),
		wake:    make(chan struct{}, 1),
		cancel:  cancel,
		done:    make(chan struct{}),
		due:     make(chan struct{}, 1),
	}
	c.snaps.Add(1)
	go c.snapshots(ctx)
	go c.run(ctx)
	return c
}

// SetWrites changes the allowance of writes per second.
func (c *Combiner) SetWriteRate(perSecond float64) {
	c.limiter.SetLimit(rate.Limit(perSecond))
}

// Append commits a record and returns the verdict on it.
func (c *Combiner) Append(ctx context.Context, record laceledger.Record, urgency laceledger.Urgency) (laceledger.Verdict, error) {
	if record == nil {
		return laceledger.Verdict{Result: laceledger.Invalid}, nil
	}
	it := &item{
		record:  record,
		urgency: urgency,
	}
	if err := c.submit(it); err != nil {
		return laceledger.Verdict{}, err
	}
	return c.wait(ctx, it)
}

// Refresh returns when the log's state is as new as the platform was at some moment during the call.
func (c *Combiner) Refresh(ctx context.Context) error {
	it := &item{urgency: laceledger.UrgencyImmediate}
	if err := c.submit(it); err != nil {
		return err
	}
	_, err := c.wait(ctx, it)
	return err
}

func (c *Combiner) submit(it *item) error {
	it.done = make(chan struct{})
	it.since = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errors.Wrap(laceplatform.ErrUnavailable, "writer: combiner is closed")
	}
	if len(c.queue) >= c.options.queue {
		return errors.Wrap(laceplatform.ErrUnavailable, "writer: queue is full")
	}
	c.queue = append(c.queue, it)
	c.arrivals, c.arrived = c.recent(it.since)+1, it.since
	c.signal()
	return nil
}

func (c *Combiner) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// wait returns the verdict; a record that is given up while it is queued is certainly not appended.
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
	if it.taken {
		return laceledger.Verdict{}, errors.Wrap(laceplatform.ErrUnknown, ctx.Err().Error())
	}
	for i, q := range c.queue {
		if q == it {
			c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
			break
		}
	}
	return laceledger.Verdict{}, errors.Wrap(laceplatform.ErrUnavailable, ctx.Err().Error())
}

// Close commits what is queued, as far as the platform answers, and waits.
func (c *Combiner) Close() error {
	c.mu.Lock()
	c.closed = true
	c.signal()
	c.mu.Unlock()
	<-c.done
	c.cancel()
	c.snaps.Wait()
	return nil
}

func (c *Combiner) run(ctx context.Context) {
	defer close(c.done)
	for {
		batch, wait, closed := c.next(time.Now())
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

// next takes the batch that is to be committed now, or says how long to wait for one; zero means until a record arrives.
func (c *Combiner) next(now time.Time) (batch []*item, wait time.Duration, closed bool) {
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
	n := min(len(c.queue), batchRecords)
	batch = append(batch, c.queue[:n]...)
	c.queue = append(c.queue[:0:0], c.queue[n:]...)
	for _, it := range batch {
		it.taken = true
	}
	return batch, 0, c.closed
}

// recent returns the decayed number of arrivals at a time.
func (c *Combiner) recent(now time.Time) float64 {
	return c.arrivals * math.Exp(-now.Sub(c.arrived).Seconds()/arrivalDecay.Seconds())
}

// short reports whether the allowance is short and a linger is likely to save writes.
func (c *Combiner) short(now time.Time) bool {
	expected := c.recent(now) * c.options.linger.Seconds() / arrivalDecay.Seconds()
	return c.limiter.TokensAt(now) < 1 && expected >= lingerCompany
}

// linger returns how long the queue may still wait for company.
func (c *Combiner) linger(now time.Time) time.Duration {
	short := c.short(now)
	if len(c.queue) >= batchRecords || (len(c.queue) == 1 && !short) {
		return 0
	}
	wait := lingerLazy
	for _, it := range c.queue {
		age := now.Sub(it.since)
		switch {
		case it.urgency >= laceledger.UrgencyImmediate:
			return 0
		case it.urgency == laceledger.UrgencyNormal && !short:
			return 0
		case it.urgency == laceledger.UrgencyNormal:
			wait = min(wait, c.options.linger-age, c.refill(now))
		default:
			wait = min(wait, lingerLazy-age)
		}
	}
	return wait
}

// refill returns the time until the allowance holds one write.
func (c *Combiner) refill(now time.Time) time.Duration {
	missing := 1 - c.limiter.TokensAt(now)
	if missing <= 0 || c.limiter.Limit() <= 0 {
		return c.options.linger
	}
	// A nanosecond more makes up for rounding down.
	return time.Duration(missing/float64(c.limiter.Limit())*float64(time.Second)) + 1
}

// spend takes one write from the allowance, into debt if need be.
func (c *Combiner) spend(now time.Time) {
	r := c.limiter.ReserveN(now, 1)
	if r.OK() && r.DelayFrom(now) > allowanceDebt {
		r.CancelAt(now)
	}
}

// commit appends a batch, in several entries if it is too large for one, and answers its items.
func (c *Combiner) commit(ctx context.Context, batch []*item) {
	loaded, err := c.load(ctx)
	if err != nil {
		c.answer(batch, nil, err)
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
		c.answer(barriers, nil, err)
		return
	}
	for len(items) > 0 {
		c.spend(time.Now())
		var verdicts []laceledger.Verdict
		if verdicts, err = c.log.Append(ctx, records); err != nil {
			c.answer(items, nil, err)
			break
		}
		n := len(verdicts)
		c.answer(items[:n], verdicts, nil)
		items, records = items[n:], records[n:]
	}
	c.answer(barriers, nil, err)
	if c.log.SnapshotDue() {
		select {
		case c.due <- struct{}{}:
		default:
		}
	}
}

// load reads the log before the first commit; it reports whether it has done so now.
func (c *Combiner) load(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return c.log.Load(ctx)
}

func (c *Combiner) answer(items []*item, verdicts []laceledger.Verdict, err error) {
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

// snapshots writes snapshots beside the appends, so that no record waits for one before the ring is half full.
func (c *Combiner) snapshots(ctx context.Context) {
	defer c.snaps.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.due:
		}
		if !c.log.SnapshotDue() {
			// The snapshot before this one was still being written when the append asked for it.
			continue
		}
		// A failure is tried again after the next append.
		one, cancel := context.WithTimeout(ctx, transferTimeout)
		_ = c.log.Snapshot(one)
		cancel()
	}
}
