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
	// sampleEvery is the time between two samples at the start of a run.
	sampleEvery = time.Second
	// maxSamples bounds the samples; when they are full, every second one is dropped and the time between them doubled.
	maxSamples = 1200
	// progressEvery is how many samples lie between two progress lines.
	progressEvery = 5
)

func dialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }

// watch samples the run until the function that it returns is called.
func (r *Run) watch(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	done.Add(1)
	began := time.Now()
	go func() {
		defer done.Done()
		every := sampleEvery
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for n := 1; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			r.sample(ctx, began)
			if r.every > 0 && n%r.every == 0 {
				r.refresh(ctx)
			}
			if n%progressEvery == 0 {
				r.line()
			}
			if len(r.report.Samples) >= maxSamples {
				every *= 2
				ticker.Reset(every)
				r.thin()
			}
		}
	}()
	return func() {
		cancel()
		done.Wait()
	}
}

// thin drops every second sample.
func (r *Run) thin() {
	kept := r.report.Samples[:0]
	for i, s := range r.report.Samples {
		if i%2 == 1 {
			kept = append(kept, s)
		}
	}
	r.report.Samples = kept
}

// sample notes the state of the run; what can't be read now keeps its last value.
func (r *Run) sample(ctx context.Context, began time.Time) {
	s := Sample{Second: time.Since(began).Seconds()}
	if n := len(r.report.Samples); n > 0 {
		last := r.report.Samples[n-1]
		s.PlatformCalls, s.PlatformWrites = last.PlatformCalls, last.PlatformWrites
	}
	if address := r.workload.Standin.Platform; address != "" {
		var now wirePlatform
		if readCounts(ctx, r.client, address, &now) == nil {
			used := now.minus(r.platform)
			s.PlatformCalls, s.PlatformWrites = used.calls(), used.Writes
		}
	}
	r.tally.mu.Lock()
	s.Running, s.Done, s.NotRun = r.tally.running, r.tally.counts.Done, r.tally.counts.NotRun
	for _, b := range r.tally.budgets {
		s.Paid += b.paid
		s.Spent += b.billed
	}
	r.tally.mu.Unlock()
	if ctx.Err() == nil {
		r.report.Samples = append(r.report.Samples, s)
	}
}

// refresh takes over what was paid meanwhile; what can't be read now keeps its last value.
func (r *Run) refresh(ctx context.Context) {
	if balances, err := r.balances.Read(ctx); err == nil {
		r.tally.paid(balances, r.before)
	}
}

// total returns what was paid and spent, counted from the balances before.
func total(now, before map[laceunit.BudgetID]Balance) (paid, spent laceunit.Tokens) {
	for id, b := range now {
		paid += b.Paid - before[id].Settled
		spent += b.Settled - before[id].Settled
	}
	return paid, spent
}

func (r *Run) line() {
	s := r.report.Samples[len(r.report.Samples)-1]
	_, _ = fmt.Fprintf(r.progress, "%6.0f s  running %d  done %d  not run %d  spent %d of %d\n",
		s.Second, s.Running, s.Done, s.NotRun, s.Spent, s.Paid)
}
