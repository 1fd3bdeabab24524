package lacerelay

import (
	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceshare"
)

var _ laceshare.Enforcer = (*Placer)(nil)

// Limit implements laceshare.Enforcer.
func (p *Placer) Limit(s laceshare.Server, a lacebalancer.Allowance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.balancer.Limit(p.now(), s.ID, s.Born, a))
}

// Unlimit implements laceshare.Enforcer.
func (p *Placer) Unlimit(s laceshare.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.balancer.Unlimit(p.now(), s.ID, s.Born))
}

// Demand implements laceshare.Enforcer.
func (p *Placer) Demand(s laceshare.Server) lacebalancer.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Demand(s.ID, s.Born)
}

// Sending returns where and when a ticket was sent.
func (p *Placer) Sending(t lacebalancer.Ticket) (lacebalancer.Sending, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Sending(t)
}
