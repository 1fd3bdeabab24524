package laceload

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// sampleInterval is the initial time between two samples.
	sampleInterval = time.Second
	// maxSamples bounds the number of samples; at the bound, every second one is dropped and the interval doubled.
	maxSamples = 1200
	// samplesPerProgress is the number of samples between two progress lines.
	samplesPerProgress = 5
)

func newDialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }

// startSampling samples the run until the function that it returns is called.
func (r *Run) startSampling(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var worker sync.WaitGroup
	worker.Add(1)
	started := time.Now()
	go func() {
		defer worker.Done()
		interval := sampleInterval
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 1; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			r.takeSample(ctx, started)
			if r.balanceInterval > 0 && n%r.balanceInterval == 0 {
				r.refreshPaid(ctx)
			}
			if n%samplesPerProgress == 0 {
				r.printProgress()
			}
			if len(r.report.Samples) >= maxSamples {
				interval *= 2
				ticker.Reset(interval)
				r.halveSamples()
			}
		}
	}()
	return func() {
		cancel()
		worker.Wait()
	}
}

// halveSamples drops every second sample.
func (r *Run) halveSamples() {
	kept := r.report.Samples[:0]
	for i, s := range r.report.Samples {
		if i%2 == 1 {
			kept = append(kept, s)
		}
	}
	r.report.Samples = kept
}

// takeSample appends a sample of the run; if the platform's counts can't be read, it repeats their last values.
func (r *Run) takeSample(ctx context.Context, started time.Time) {
	s := Sample{Second: time.Since(started).Seconds()}
	if n := len(r.report.Samples); n > 0 {
		last := r.report.Samples[n-1]
		s.PlatformCalls, s.PlatformWrites = last.PlatformCalls, last.PlatformWrites
	}
	if address := r.workload.Standin.Platform; address != "" {
		var now wirePlatformCounts
		if fetchCounts(ctx, r.client, address, &now) == nil {
			used := now.sub(r.initialPlatform)
			s.PlatformCalls, s.PlatformWrites = used.total(), used.Writes
		}
	}
	r.tally.mu.Lock()
	s.Running, s.Done, s.NotRun = r.tally.inFlight, r.tally.counts.Done, r.tally.counts.NotRun
	for _, b := range r.tally.budgets {
		s.Paid += b.paid
		s.Spent += b.billed
	}
	r.tally.mu.Unlock()
	if ctx.Err() == nil {
		r.report.Samples = append(r.report.Samples, s)
	}
}

// refreshPaid updates what was paid into the budgets; if the balances can't be read, the last values stay.
func (r *Run) refreshPaid(ctx context.Context) {
	if balances, err := r.balances.Read(ctx); err == nil {
		r.tally.updatePaid(balances, r.initialBalances)
	}
}

// sumBalances returns what was paid and spent in total, both less what had been settled before the run.
func sumBalances(now, initial map[laceunit.BudgetID]Balance) (paid, spent laceunit.Tokens) {
	for id, b := range now {
		paid += b.Paid - initial[id].Settled
		spent += b.Settled - initial[id].Settled
	}
	return paid, spent
}

func (r *Run) printProgress() {
	s := r.report.Samples[len(r.report.Samples)-1]
	_, _ = fmt.Fprintf(r.progress, "%6.0f s  running %d  done %d  not run %d  spent %d of %d\n",
		s.Second, s.Running, s.Done, s.NotRun, s.Spent, s.Paid)
}
