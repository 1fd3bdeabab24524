package laceload

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/lacecaller"
	"lacewingcove/loadgen/laceworkload"
)

const (
	// maxIdleConns bounds the idle connections to one instance.
	maxIdleConns = 512
	// dialTimeout bounds a connection attempt; on the networks of the deployments one takes milliseconds.
	dialTimeout = time.Second
)

// Run is one run of a workload.
type Run struct {
	workload  laceworkload.Workload
	seed      uint64
	addresses []laceunit.Address
	progress  io.Writer
	client    *http.Client
	balances  BalanceSource
	// balanceInterval is the number of samples between two reads of the balances; 0 means no reads during the run.
	balanceInterval int
	tally           *tally
	callers         map[laceunit.AccountID]*lacecaller.Caller
	idPrefix        string
	initialBalances map[laceunit.BudgetID]Balance
	initialPlatform wirePlatformCounts
	report          Report
}

// Option configures a run.
type Option func(*Run)

// WithProgress writes a progress line every few seconds.
func WithProgress(w io.Writer) Option {
	return func(r *Run) { r.progress = w }
}

// WithBalanceSource reads balances from the source instead of deriving them from the usage that callers saw: before and
// after the run, and at an interval given in samples; 0 means no reads in between. Reads cost platform calls, which the
// run counts.
func WithBalanceSource(b BalanceSource, interval int) Option {
	return func(r *Run) { r.balances, r.balanceInterval = b, interval }
}

// WithIDPrefix sets the prefix of the request ids; by default each run has a unique one.
func WithIDPrefix(prefix string) Option {
	return func(r *Run) { r.idPrefix = prefix }
}

// New returns a run of a workload against the instances at these addresses.
func New(w laceworkload.Workload, seed uint64, addresses []laceunit.Address, options ...Option) *Run {
	r := &Run{
		workload:  w,
		seed:      seed,
		addresses: addresses,
		progress:  io.Discard,
		client:    NewClient(),
		tally:     newTally(w),
		callers:   map[laceunit.AccountID]*lacecaller.Caller{},
		idPrefix:  ulid.Make().String(),
		report: Report{
			Workload: w.Name,
			Seed:     seed,
		},
	}
	r.balances = callerBalances{tally: r.tally}
	for _, o := range options {
		o(r)
	}
	return r
}

// NewClient returns an HTTP client that keeps idle connections to every instance.
func NewClient() *http.Client {
	return &http.Client{
		Transport: laceconn.NewTransport(&http.Transport{
			DialContext:         newDialer().DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}, 0),
	}
}

// Do sends the requests of the workload, checks the results and returns the report.
func (r *Run) Do(ctx context.Context) (Report, error) {
	defer r.client.CloseIdleConnections()
	if len(r.addresses) == 0 {
		return Report{}, errors.New("load: no instance address given")
	}
	r.createCallers()
	if err := r.readBaseline(ctx); err != nil {
		return Report{}, err
	}
	stopSampling := r.startSampling(ctx)
	started := time.Now()
	r.sendRequests(ctx, started)
	r.report.Seconds = time.Since(started).Seconds()
	stopSampling()
	if ctx.Err() != nil {
		return Report{}, ctx.Err()
	}
	r.close(ctx)
	return r.report, nil
}

// createCallers creates a caller for each client account and rotates the seed addresses between them, so that their
// first requests go to different instances.
func (r *Run) createCallers() {
	accounts := make([]laceunit.AccountID, 0, len(r.workload.Accounts))
	for id := range r.workload.Accounts {
		accounts = append(accounts, id)
	}
	slices.Sort(accounts)
	for i, id := range accounts {
		offset := i % len(r.addresses)
		seeds := append(slices.Clone(r.addresses[offset:]), r.addresses[:offset]...)
		directory := lacecaller.NewDirectory(r.client, seeds, rand.New(rand.NewPCG(r.seed, uint64(i))))
		r.callers[id] = lacecaller.New(r.client, directory, r.workload.Retry, r.tally)
	}
}

// readBaseline reads the balances and the platform's counts at the start of the run.
func (r *Run) readBaseline(ctx context.Context) error {
	initial, err := r.balances.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "load: initial balances")
	}
	r.initialBalances = initial
	r.tally.updatePaid(initial, initial)
	if address := r.workload.Standin.Platform; address != "" {
		if err := fetchCounts(ctx, r.client, address, &r.initialPlatform); err != nil {
			return err
		}
	}
	return nil
}

// updatePaid sets what was paid into each budget, less what had been settled before the run.
func (t *tally) updatePaid(now, initial map[laceunit.BudgetID]Balance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, b := range t.budgets {
		if balance, ok := now[id]; ok {
			b.paid = balance.Paid - initial[id].Settled
		}
	}
}

// sendRequests sends each request at its arrival time and waits for all of them to finish.
func (r *Run) sendRequests(ctx context.Context, started time.Time) {
	generator := laceworkload.NewGenerator(r.workload, r.seed, r.idPrefix)
	slots := make(chan struct{}, r.workload.Limits.MaxConcurrent)
	var requests sync.WaitGroup
	defer requests.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		q, ok := generator.Next()
		if !ok {
			return
		}
		timer.Reset(time.Until(started.Add(q.Arrival)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		select {
		case slots <- struct{}{}:
		default:
			r.tally.skip()
			continue
		}
		r.tally.start(&q)
		requests.Add(1)
		go func() {
			defer requests.Done()
			defer func() { <-slots }()
			r.tally.finish(&q, r.callers[q.Account].Do(ctx, lacecaller.CallOf(&q), started.Add(q.Arrival)))
		}()
	}
}
