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
type Placer struct {
	mu       sync.Mutex
	balancer *lacebalancer.Balancer
	waiting  map[lacebalancer.Ticket]chan lacebalancer.Decision
}

// NewPlacer returns a placer over a balancer.
func NewPlacer(b *lacebalancer.Balancer) *Placer {
	return &Placer{
		balancer: b,
		waiting:  map[lacebalancer.Ticket]chan lacebalancer.Decision{},
	}
}

// Serve implements suture.Service.
func (p *Placer) Serve(ctx context.Context) error {
	return lacekernel.Every(ctx, placeTick, func(context.Context) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(p.waiting) > 0 {
			p.deliver(p.balancer.Tick(time.Now()))
		}
	})
}

// Update sets the servers.
func (p *Placer) Update(now time.Time, servers map[laceunit.ServerID]laceconfig.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.balancer.Update(now, servers, nil))
}

// Pick waits for a server until the request's deadline or until the context ends.
func (p *Placer) Pick(ctx context.Context, r lacebalancer.Request) lacebalancer.Decision {
	p.mu.Lock()
	d, others := p.balancer.Pick(time.Now(), r)
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
func (p *Placer) withdraw(t lacebalancer.Ticket, decided chan lacebalancer.Decision) lacebalancer.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case d := <-decided:
		if d.Verdict == lacebalancer.Sent {
			p.deliver(p.balancer.Done(time.Now(), t, lacebalancer.Neutral, 0))
		}
	default:
		p.balancer.Cancel(t)
		delete(p.waiting, t)
	}
	return lacebalancer.Decision{
		Ticket:  t,
		Verdict: lacebalancer.Refused,
		Reason:  lacebalancer.Late,
	}
}

// Done ends an attempt.
func (p *Placer) Done(t lacebalancer.Ticket, result lacebalancer.Result, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.balancer.Done(time.Now(), t, result, took))
}

// Report takes in the load that a server tells in an answer.
func (p *Placer) Report(id laceunit.ServerID, load lacebalancer.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.balancer.Report(time.Now(), id, load, 0))
}

func (p *Placer) deliver(decisions []lacebalancer.Decision) {
	for _, d := range decisions {
		c := p.waiting[d.Ticket]
		delete(p.waiting, d.Ticket)
		if c != nil {
			c <- d
		}
	}
}
