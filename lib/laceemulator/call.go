package laceemulator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
)

// errSilent means that the caller gets no answer; whether the call was carried out can't be seen from outside.
var errSilent = errors.New("emulator: no answer")

// errBusy means that a call was over the rate.
var errBusy = errors.WithMessage(laceplatform.ErrUnavailable, "emulator: over the rate")

// fate is what the faults decided for one call.
type fate struct {
	refused error
	dropped bool
	lost    bool
	hang    bool
	before  time.Duration
	after   time.Duration
}

// call carries out one call of a client under the current faults.
func (p *Platform) call(ctx context.Context, client string, kind laceplatform.Kind, run func(now time.Time) error) error {
	f := p.decide(client, kind)
	if f.refused != nil {
		return f.refused
	}
	if f.dropped {
		return silence(ctx, f.hang)
	}
	began := time.Now()
	if err := sleep(ctx, f.before); err != nil {
		p.finish(f.before-time.Since(began), run)
		return errSilent
	}
	err := p.run(run)
	if f.lost {
		return silence(ctx, f.hang)
	}
	if sleep(ctx, f.after) != nil {
		return errSilent
	}
	return err
}

// finish carries out a call whose caller has given up: a slow call is already on its way, so it takes effect late.
func (p *Platform) finish(after time.Duration, run func(now time.Time) error) {
	p.tasks.Go(func() {
		t := time.NewTimer(after)
		defer t.Stop()
		select {
		case <-p.stop:
		case <-t.C:
			_ = p.run(run) // Nobody waits for the outcome.
		}
	})
}

// run carries out a call on the state, after the leases that are due.
func (p *Platform) run(run func(now time.Time) error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.tick(now)
	before := p.state.Revision()
	err := run(now)
	if p.state.Revision() != before {
		p.changed.fire()
	}
	return err
}

// decide counts a call and draws its fate. A call that is refused as down or dropped on its way is not counted,
// since it costs the platform nothing.
func (p *Platform) decide(client string, kind laceplatform.Kind) fate {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults
	if f.Partitions[client] == DropRequests {
		return fate{
			dropped: true,
			hang:    f.Hang,
		}
	}
	if f.Down {
		return fate{
			refused: laceplatform.ErrUnavailable,
		}
	}
	if !p.admit(kind) {
		return fate{
			refused: errBusy,
		}
	}
	d := f.Latency
	if f.Jitter > 0 {
		d += time.Duration(p.random.Int64N(int64(f.Jitter) + 1))
	}
	return fate{
		lost:   f.Partitions[client] == DropResponses || p.lose(kind),
		hang:   f.Hang,
		before: d / 2,
		after:  d - d/2,
	}
}

// admit counts a call and checks it against the rates. Lease calls draw on the rate of reads: nearly all of them
// are renewals, which change nothing that the service has to store.
func (p *Platform) admit(kind laceplatform.Kind) bool {
	l := p.reads
	switch kind {
	case laceplatform.KindRead:
		p.counts.Reads++
	case laceplatform.KindWatch:
		p.counts.Watches++
	case laceplatform.KindLease:
		p.counts.Leases++
	case laceplatform.KindWrite:
		p.counts.Writes++
		l = p.writes
	}
	ok := l.AllowN(p.now(), 1)
	if !ok {
		p.counts.RateLimited++
	}
	return ok
}

// lose reports whether the answer of a call with an effect is lost.
func (p *Platform) lose(kind laceplatform.Kind) bool {
	if kind != laceplatform.KindWrite && kind != laceplatform.KindLease {
		return false
	}
	if p.faults.LoseNextResponses > 0 {
		p.faults.LoseNextResponses--
		return true
	}
	return p.faults.LossRate > 0 && p.random.Float64() < p.faults.LossRate
}

// renewable waits while the renewals of a client are paused.
func (p *Platform) renewable(ctx context.Context, client string) error {
	for {
		p.mu.Lock()
		paused, changed := p.faults.PauseRenewals[client], p.changed.next()
		p.mu.Unlock()
		if !paused {
			return nil
		}
		if wait(ctx, changed) != nil {
			return errSilent
		}
	}
}

// silence fails a call without an answer, at once or at the caller's deadline.
func silence(ctx context.Context, hang bool) error {
	if hang {
		<-ctx.Done()
	}
	return errSilent
}

// sleep waits for a time or for the end of the context.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
