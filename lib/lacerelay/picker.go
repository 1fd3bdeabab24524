package lacerelay

import (
	"context"
	"sync"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/laceunit"
)

// pickInterval is how often queued requests are re-evaluated when no other event triggers it.
const pickInterval = 10 * time.Millisecond

// Picker makes a balancer safe for concurrent use and blocks requests while they are queued for a server.
type Picker struct {
	mu       sync.Mutex
	balancer *lacebalancer.Balancer
	waiting  map[lacebalancer.Ticket]chan lacebalancer.Decision
	now      func() time.Time
}

// PickerOption configures a new picker.
type PickerOption func(*Picker)

// WithClock sets the clock of all decisions. With a clock that also counts the time in which the machine is suspended,
// pauses and ejections of servers are not prolonged by a suspension.
func WithClock(now func() time.Time) PickerOption {
	return func(p *Picker) { p.now = now }
}

// NewPicker returns a picker that uses a balancer.
func NewPicker(b *lacebalancer.Balancer, options ...PickerOption) *Picker {
	p := &Picker{
		balancer: b,
		waiting:  map[lacebalancer.Ticket]chan lacebalancer.Decision{},
		now:      time.Now,
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Serve implements suture.Service.
func (p *Picker) Serve(ctx context.Context) error {
	return lacekernel.RunEvery(ctx, pickInterval, func(context.Context) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(p.waiting) > 0 {
			p.notify(p.balancer.Tick(p.now()))
		}
	})
}

// Update replaces the set of servers.
func (p *Picker) Update(servers map[laceunit.ServerID]laceconfig.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify(p.balancer.Update(p.now(), servers, nil))
}

// Pick waits for a server until the request's deadline or until the context is done.
func (p *Picker) Pick(ctx context.Context, r lacebalancer.Request) lacebalancer.Decision {
	p.mu.Lock()
	now := p.now()
	if !r.Deadline.IsZero() {
		// The remaining time is converted, since the two clocks differ after the machine was suspended.
		r.Deadline = now.Add(time.Until(r.Deadline))
	}
	d, decisions := p.balancer.Pick(now, r)
	p.notify(decisions)
	if d.Verdict != lacebalancer.Waiting {
		p.mu.Unlock()
		return d
	}
	decided := make(chan lacebalancer.Decision, 1)
	p.waiting[d.Ticket] = decided
	p.mu.Unlock()
	select {
	case d = <-decided:
		return d
	case <-ctx.Done():
		return p.cancelPick(d.Ticket, decided)
	}
}

// cancelPick removes a request whose context is done from the queue. If a server was picked in the meantime, its slot
// is released.
func (p *Picker) cancelPick(t lacebalancer.Ticket, decided chan lacebalancer.Decision) lacebalancer.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case d := <-decided:
		if d.Verdict == lacebalancer.Assigned {
			p.notify(p.balancer.Done(p.now(), t, lacebalancer.Neutral, 0))
		}
	default:
		p.balancer.Cancel(t)
		delete(p.waiting, t)
	}
	return lacebalancer.Decision{
		Ticket:  t,
		Verdict: lacebalancer.Refused,
		Reason:  lacebalancer.DeadlineExceeded,
	}
}

// Done reports the result of an attempt.
func (p *Picker) Done(t lacebalancer.Ticket, result lacebalancer.Result, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify(p.balancer.Done(p.now(), t, result, latency))
}

// Progress records how many events of a response have arrived.
func (p *Picker) Progress(t lacebalancer.Ticket, events int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Progress(p.now(), t, events)
}

// ReportLoad updates the load of a server from the report in a response.
func (p *Picker) ReportLoad(id laceunit.ServerID, load lacebalancer.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify(p.balancer.Report(p.now(), id, load, 0))
}

// ObserveBrittle records what a response shows of the brittleness of its server. It reports whether that has changed.
func (p *Picker) ObserveBrittle(t lacebalancer.Ticket, o lacebalancer.BrittleObservation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed, decisions := p.balancer.ObserveBrittle(p.now(), t, o)
	p.notify(decisions)
	return changed
}

// MarkResponseStarted records that a server sent a response header that asks for no pause.
func (p *Picker) MarkResponseStarted(t lacebalancer.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify(p.balancer.ResponseStarted(p.now(), t))
}

// MarkPaused records that a server asks for no requests for some time. It reports whether the server was not paused
// before.
func (p *Picker) MarkPaused(t lacebalancer.Ticket, duration time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed, decisions := p.balancer.Pause(p.now(), t, duration)
	p.notify(decisions)
	return changed
}

// MarkLeaving records that a server announced that it is leaving. It reports whether this was not known before.
func (p *Picker) MarkLeaving(t lacebalancer.Ticket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed, decisions := p.balancer.MarkLeaving(p.now(), t)
	p.notify(decisions)
	return changed
}

// MarkIncarnationLeaving is MarkLeaving for a server that has announced it to another instance.
func (p *Picker) MarkIncarnationLeaving(id laceunit.ServerID, startTime int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed, decisions := p.balancer.MarkIncarnationLeaving(p.now(), id, startTime)
	p.notify(decisions)
	return changed
}

// IsLeaving reports whether an incarnation of a server has announced that it is leaving.
func (p *Picker) IsLeaving(id laceunit.ServerID, startTime int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.IsLeaving(id, startTime)
}

// Hold returns why a request must not be sent to its picked server any more, or BlockNone.
func (p *Picker) Hold(t lacebalancer.Ticket) lacebalancer.BlockReason {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.BlockReason(p.now(), t)
}

// Reinstate undoes what failures have done to servers whose failures began within an age, since they were not to blame.
func (p *Picker) Reinstate(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.notify(p.balancer.Reinstate(now, now.Add(-age)))
}

// RetryAfter returns when a caller may retry while no server of a service accepts requests because of pauses or rate
// limits, and zero otherwise.
func (p *Picker) RetryAfter(service laceunit.ServiceID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.RetryAfter(p.now(), servicePool(service))
}

func (p *Picker) notify(decisions []lacebalancer.Decision) {
	for _, d := range decisions {
		c := p.waiting[d.Ticket]
		delete(p.waiting, d.Ticket)
		if c != nil {
			c <- d
		}
	}
}
