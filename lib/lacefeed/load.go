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

type target struct {
	id      laceunit.ServerID
	address laceunit.Address
	wait    time.Duration
}

// pollLoads asks a sample of the engines for their reports, spread over the first half of the period so that the
// instances of a fleet don't ask in step and the answers still come within the period.
func (f *Feed) pollLoads(ctx context.Context) {
	started := time.Now()
	work := make(chan target)
	var wg sync.WaitGroup
	for range f.setting.MaxConcurrentPolls {
		wg.Go(func() {
			for t := range work {
				f.poll(ctx, t)
			}
		})
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for _, t := range f.sample() {
		timer.Reset(t.wait - time.Since(started))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		select {
		case <-ctx.Done():
		case work <- t:
		}
	}
	close(work)
	wg.Wait()
}

// sample draws the engines of one period and their times, in the order of the times.
func (f *Feed) sample() []target {
	var all []target
	for id, s := range f.servers() {
		if s.Kind == laceconfig.KindEngine {
			all = append(all, target{
				id:      id,
				address: s.Address,
			})
		}
	}
	// The order of a map is not that of the seed.
	slices.SortFunc(all, func(a, b target) int { return cmp.Compare(a.id, b.id) })
	f.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), f.setting.SampleSize)]
	for i := range all {
		all[i].wait = time.Duration(f.random.Int64N(int64(f.setting.PollInterval)/2 + 1))
	}
	slices.SortFunc(all, func(a, b target) int { return cmp.Compare(a.wait, b.wait) })
	return all
}

func (f *Feed) poll(ctx context.Context, t target) {
	if l, err := f.reporter.Load(ctx, t.address); err == nil {
		f.sink.Do(func(b *lacebalancer.Balancer, now time.Time) []lacebalancer.Decision {
			return b.Report(now, t.id, lacebalancer.Load{
				Running: l.Running,
				Waiting: l.Waiting,
				Slots:   l.Slots,
			}, l.Age)
		})
	}
	f.mu.Lock()
	after := f.sequences[t.id]
	f.mu.Unlock()
	events, err := f.reporter.Events(ctx, t.address, after)
	if err != nil || len(events.Events) == 0 {
		return
	}
	f.mu.Lock()
	f.sequences[t.id] = events.Events[len(events.Events)-1].Sequence
	f.mu.Unlock()
	f.sink.Do(func(b *lacebalancer.Balancer, _ time.Time) []lacebalancer.Decision {
		if events.HasGap {
			// A lost event may have dropped any prefix.
			b.ClearCached(t.id)
		}
		for _, e := range events.Events {
			b.SetCached(t.id, uint64(e.Prefix), e.Stored)
		}
		return nil
	})
}
