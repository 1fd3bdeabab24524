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

	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/lacecaller"
	"lacewingcove/loadgen/laceworkload"
)

const (
	// maxIdle bounds the kept connections to one instance.
	maxIdle = 512
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
	// every is how many samples lie between two reads of the balances; 0 means none while requests arrive.
	every   int
	tally   *tally
	callers map[laceunit.AccountID]*lacecaller.Caller
	tag     string
	// before are the balances at the start.
	before   map[laceunit.BudgetID]Balance
	platform wirePlatform
	report   Report
}

// Option changes a run at construction.
type Option func(*Run)

// WithProgress writes a line about the run every few seconds.
func WithProgress(w io.Writer) Option {
	return func(r *Run) { r.progress = w }
}

// WithBalances reads balances from a source other than the callers' own knowledge, before and after the run and once
// every so many samples; 0 means not in between. Reads cost platform calls, which the run counts.
func WithBalanceSource(b BalanceSource, every int) Option {
	return func(r *Run) { r.balances, r.every = b, every }
}

// WithTag sets the begin of the request ids; without it each run has its own.
func WithIDPrefix(tag string) Option {
	return func(r *Run) { r.tag = tag }
}

// New returns a run against instances.
func New(w laceworkload.Workload, seed uint64, addresses []laceunit.Address, options ...Option) *Run {
	r := &Run{
		workload:  w,
		seed:      seed,
		addresses: addresses,
		progress:  io.Discard,
		client:    NewClient(),
		tally:     newTally(w),
		callers:   map[laceunit.AccountID]*lacecaller.Caller{},
		tag:       ulid.Make().String(),
		report: Report{
			Workload: w.Name,
			Seed:     seed,
		},
	}
	r.balances = knownBalances{tally: r.tally}
	for _, o := range options {
		o(r)
	}
	return r
}

// NewClient returns an HTTP client that keeps connections to every instance.
func NewClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer().DialContext,
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
	}
}

// Do plays the workload, checks what came of it and returns the report.
func (r *Run) Do(ctx context.Context) (Report, error) {
	defer r.client.CloseIdleConnections()
	if len(r.addresses) == 0 {
		return Report{}, errors.New("load: no address of an instance")
	}
	r.connect()
	if err := r.open(ctx); err != nil {
		return Report{}, err
	}
	watch := r.watch(ctx)
	began := time.Now()
	r.play(ctx, began)
	r.report.Seconds = time.Since(began).Seconds()
	watch()
	if ctx.Err() != nil {
		return Report{}, ctx.Err()
	}
	r.close(ctx)
	return r.report, nil
}

// connect gives each client account its own caller, and each of them another instance to ask first.
func (r *Run) connect() {
	accounts := make([]laceunit.AccountID, 0, len(r.workload.Accounts))
	for id := range r.workload.Accounts {
		accounts = append(accounts, id)
	}
	slices.Sort(accounts)
	for i, id := range accounts {
		at := i % len(r.addresses)
		seeds := append(slices.Clone(r.addresses[at:]), r.addresses[:at]...)
		directory := lacecaller.NewDirectory(r.client, seeds, rand.New(rand.NewPCG(r.seed, uint64(i))))
		r.callers[id] = lacecaller.New(r.client, directory, r.workload.Retry, r.tally)
	}
}

// open reads the balances and counts from which the run starts.
func (r *Run) open(ctx context.Context) error {
	before, err := r.balances.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "load: balances at the start")
	}
	r.before = before
	r.tally.paid(before, before)
	if address := r.workload.Standin.Platform; address != "" {
		if err := readCounts(ctx, r.client, address, &r.platform); err != nil {
			return err
		}
	}
	return nil
}

// paid takes over what was paid, less what had been spent before the run.
func (t *tally) paid(now, before map[laceunit.BudgetID]Balance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, b := range t.budgets {
		if balance, ok := now[id]; ok {
			b.paid = balance.Paid - before[id].Settled
		}
	}
}

// play sends the requests at their times and waits for all of them.
func (r *Run) play(ctx context.Context, began time.Time) {
	source := laceworkload.NewGenerator(r.workload, r.seed, r.tag)
	slots := make(chan struct{}, r.workload.Limits.MaxConcurrent)
	var requests sync.WaitGroup
	defer requests.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		q, ok := source.Next()
		if !ok {
			return
		}
		timer.Reset(time.Until(began.Add(q.Arrival)))
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
		r.tally.begin(&q)
		requests.Add(1)
		go func() {
			defer requests.Done()
			defer func() { <-slots }()
			r.tally.end(&q, r.callers[q.Account].Do(ctx, lacecaller.CallOf(&q), began.Add(q.Arrival)))
		}()
	}
}
