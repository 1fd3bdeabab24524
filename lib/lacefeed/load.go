package lacefeed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// pollTarget is a server to poll; delay counts from the start of the interval.
type pollTarget struct {
	id      laceunit.ServerID
	address laceunit.Address
	delay   time.Duration
}

// pollLoads polls a random sample of the engines for load reports and cache events. The polls are spread randomly over
// the first half of the interval, so that the instances of a fleet don't poll in step and the replies still arrive
// within the interval.
func (f *Feed) pollLoads(ctx context.Context) {
	startTime := time.Now()
	targets := make(chan pollTarget)
	var wg sync.WaitGroup
	for range f.settings.MaxConcurrentPolls {
		wg.Go(func() {
			for t := range targets {
				f.pollServer(ctx, t)
			}
		})
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for _, t := range f.sampleEngines() {
		timer.Reset(t.delay - time.Since(startTime))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		select {
		case <-ctx.Done():
		case targets <- t:
		}
	}
	close(targets)
	wg.Wait()
}

// sampleEngines returns the engines to poll in one interval with their delays, sorted by delay.
func (f *Feed) sampleEngines() []pollTarget {
	var targets []pollTarget
	for id, s := range f.servers() {
		if s.Kind == laceconfig.KindEngine {
			targets = append(targets, pollTarget{
				id:      id,
				address: s.Address,
			})
		}
	}
	// Map iteration order is random; sorting makes the sample depend on the seed alone.
	slices.SortFunc(targets, func(a, b pollTarget) int { return cmp.Compare(a.id, b.id) })
	f.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	targets = targets[:min(len(targets), f.settings.SampleSize)]
	for i := range targets {
		targets[i].delay = time.Duration(f.random.Int64N(int64(f.settings.PollInterval)/2 + 1))
	}
	slices.SortFunc(targets, func(a, b pollTarget) int { return cmp.Compare(a.delay, b.delay) })
	return targets
}

func (f *Feed) pollServer(ctx context.Context, t pollTarget) {
	if l, err := f.reports.Load(ctx, t.address); err == nil {
		f.sink.Do(func(b *lacebalancer.Balancer, now time.Time) []lacebalancer.Decision {
			return b.Report(now, t.id, lacebalancer.Load{
				Running: l.Running,
				Waiting: l.Waiting,
				Slots:   l.Slots,
			}, l.Age)
		})
	}
	f.mu.Lock()
	after := f.lastSequences[t.id]
	f.mu.Unlock()
	events, err := f.reports.Events(ctx, t.address, after)
	if err != nil || len(events.Events) == 0 {
		return
	}
	f.mu.Lock()
	f.lastSequences[t.id] = events.Events[len(events.Events)-1].Sequence
	f.mu.Unlock()
	f.sink.Do(func(b *lacebalancer.Balancer, _ time.Time) []lacebalancer.Decision {
		if events.HasGap {
			// The missed events may include the eviction of any prefix.
			b.ClearCached(t.id)
		}
		for _, e := range events.Events {
			b.SetCached(t.id, uint64(e.Prefix), e.Stored)
		}
		return nil
	})
}
