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

// placeTick is how often requests that wait for a server are looked at again without news of one.
const placeTick = 10 * time.Millisecond

// Placer shares a balancer between requests.
type Picker struct {
	mu       sync.Mutex
	balancer *lacebalancer.Balancer
	waiting  map[lacebalancer.Ticket]chan lacebalancer.Decision
	now      func() time.Time
}

// PlacerOption changes a placer at construction.
type PickerOption func(*Picker)

// WithClock sets the clock of all decisions. One that runs on while the machine is suspended keeps pauses and rests from
// being lengthened by a suspension.
func WithClock(now func() time.Time) PickerOption {
	return func(p *Picker) { p.now = now }
}

// NewPlacer returns a placer over a balancer.
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
	return lacekernel.Every(ctx, placeTick, func(context.Context) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(p.waiting) > 0 {
			p.deliver(p.balancer.Tick(p.now()))
		}
	})
}

// Update sets the servers.
func (p *Picker) Update(servers map[laceunit.ServerID]laceconfig.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.balancer.Update(p.now(), servers, nil))
}

// Pick waits for a server until the request's deadline or until the context ends.
func (p *Picker) Pick(ctx context.Context, r lacebalancer.Request) lacebalancer.Decision {
	p.mu.Lock()
	now := p.now()
	if !r.Deadline.IsZero() {
		// What is left counts: the two clocks differ once the machine was suspended.
		r.Deadline = now.Add(time.Until(r.Deadline))
	}
	d, others := p.balancer.Pick(now, r)
	p.deliver(others)
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
		return p.withdraw(d.Ticket, decided)
	}
}

// withdraw takes a request back whose caller has gone.
func (p *Picker) withdraw(t lacebalancer.Ticket, decided chan lacebalancer.Decision) lacebalancer.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case d := <-decided:
		if d.Verdict == lacebalancer.Assigned {
			p.deliver(p.balancer.Done(p.now(), t, lacebalancer.Neutral, 0))
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

// Done ends an attempt.
func (p *Picker) Done(t lacebalancer.Ticket, result lacebalancer.Result, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.balancer.Done(p.now(), t, result, took))
}

// Report takes in the load that a server tells in an answer.
func (p *Picker) ReportLoad(id laceunit.ServerID, load lacebalancer.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.balancer.Report(p.now(), id, load, 0))
}

// Answered notes that a server has begun to answer and asks for no pause.
func (p *Picker) MarkResponseStarted(t lacebalancer.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.balancer.ResponseStarted(p.now(), t))
}

// Pause takes in that a server wants nothing for a time, and reports whether it did take requests until now.
func (p *Picker) MarkPaused(t lacebalancer.Ticket, length time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	news, decisions := p.balancer.Pause(p.now(), t, length)
	p.deliver(decisions)
	return news
}

// Leave takes in that a server says that it leaves, and reports whether this is news.
func (p *Picker) MarkLeaving(t lacebalancer.Ticket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	news, decisions := p.balancer.MarkLeaving(p.now(), t)
	p.deliver(decisions)
	return news
}

// Left reports whether a server has said that it leaves.
func (p *Picker) IsLeaving(id laceunit.ServerID, born int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.IsLeaving(id, born)
}

// Hold tells whether a request may still be sent to the server that it was given.
func (p *Picker) Hold(t lacebalancer.Ticket) lacebalancer.BlockReason {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.BlockReason(p.now(), t)
}

// Resting returns when a caller may come back while all servers of a service are in a pause, and zero otherwise.
func (p *Picker) RetryAfter(service laceunit.ServiceID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.RetryAfter(p.now(), pool(service))
}

func (p *Picker) deliver(decisions []lacebalancer.Decision) {
	for _, d := range decisions {
		c := p.waiting[d.Ticket]
		delete(p.waiting, d.Ticket)
		if c != nil {
			c <- d
		}
	}
}
