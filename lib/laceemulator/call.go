package laceemulator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
)

// errNoResponse means that the caller gets no response and can't tell whether the call was executed.
var errNoResponse = errors.New("emulator: no response")

// errRateLimited means that a call exceeded the rate limit.
var errRateLimited = errors.WithMessage(laceplatform.ErrUnavailable, "emulator: rate limit exceeded")

// callFaults are the faults drawn for one call.
type callFaults struct {
	rejection     error
	requestLost   bool
	responseLost  bool
	hang          bool
	latencyBefore time.Duration
	latencyAfter  time.Duration
}

// call executes a call of a client under the current faults.
func (p *Platform) call(
	ctx context.Context, client string, kind laceplatform.Kind, operation func(now time.Time) error,
) error {
	f := p.drawCallFaults(client, kind)
	if f.rejection != nil {
		return f.rejection
	}
	if f.requestLost {
		return failWithoutResponse(ctx, f.hang)
	}
	startedAt := time.Now()
	if err := sleep(ctx, f.latencyBefore); err != nil {
		p.executeLater(f.latencyBefore-time.Since(startedAt), operation)
		return errNoResponse
	}
	err := p.execute(operation)
	if f.responseLost {
		return failWithoutResponse(ctx, f.hang)
	}
	if sleep(ctx, f.latencyAfter) != nil {
		return errNoResponse
	}
	return err
}

// executeLater executes a call after its caller has given up: a delayed call is already in flight, so it still takes
// effect, only late.
func (p *Platform) executeLater(delay time.Duration, operation func(now time.Time) error) {
	p.tasks.Go(func() {
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-p.stop:
		case <-t.C:
			_ = p.execute(operation) // No caller is left to receive the result.
		}
	})
}

// execute applies a call to the state after expiring the leases whose deadline has passed.
func (p *Platform) execute(operation func(now time.Time) error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.expireDueLeases(now)
	before := p.state.Revision()
	err := operation(now)
	if p.state.Revision() != before {
		p.changed.notify()
	}
	return err
}

// drawCallFaults counts a call and draws its faults. A call that is rejected because the platform is down, or whose
// request is lost, is not counted, since it costs the platform nothing.
func (p *Platform) drawCallFaults(client string, kind laceplatform.Kind) callFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults
	if f.Partitions[client] == DropRequests {
		return callFaults{
			requestLost: true,
			hang:        f.Hang,
		}
	}
	if f.Down {
		return callFaults{
			rejection: laceplatform.ErrUnavailable,
		}
	}
	if !p.admit(kind) {
		return callFaults{
			rejection: errRateLimited,
		}
	}
	latency := f.Latency
	if f.Jitter > 0 {
		latency += time.Duration(p.random.Int64N(int64(f.Jitter) + 1))
	}
	return callFaults{
		responseLost:  f.Partitions[client] == DropResponses || p.losesResponse(kind),
		hang:          f.Hang,
		latencyBefore: latency / 2,
		latencyAfter:  latency - latency/2,
	}
}

// admit counts a call and applies the rate limits. Lease calls count against the read limit: nearly all of them are
// renewals, which change nothing that the service has to store.
func (p *Platform) admit(kind laceplatform.Kind) bool {
	limiter := p.reads
	switch kind {
	case laceplatform.KindRead:
		p.counts.Reads++
	case laceplatform.KindWatch:
		p.counts.Watches++
	case laceplatform.KindLease:
		p.counts.Leases++
	case laceplatform.KindWrite:
		p.counts.Writes++
		limiter = p.writes
	}
	ok := limiter.AllowN(p.now(), 1)
	if !ok {
		p.counts.RateLimited++
	}
	return ok
}

// losesResponse reports whether the response of a write or lease call is lost.
func (p *Platform) losesResponse(kind laceplatform.Kind) bool {
	if kind != laceplatform.KindWrite && kind != laceplatform.KindLease {
		return false
	}
	if p.faults.LoseNextResponses > 0 {
		p.faults.LoseNextResponses--
		return true
	}
	return p.faults.LossRate > 0 && p.random.Float64() < p.faults.LossRate
}

// waitForRenewals blocks while the lease renewals of a client are paused.
func (p *Platform) waitForRenewals(ctx context.Context, client string) error {
	for {
		p.mu.Lock()
		paused, changed := p.faults.PauseRenewals[client], p.changed.next()
		p.mu.Unlock()
		if !paused {
			return nil
		}
		if wait(ctx, changed) != nil {
			return errNoResponse
		}
	}
}

// failWithoutResponse fails a call with errNoResponse, immediately or at the caller's deadline.
func failWithoutResponse(ctx context.Context, hang bool) error {
	if hang {
		<-ctx.Done()
	}
	return errNoResponse
}

// sleep waits for a duration or until the context ends.
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
