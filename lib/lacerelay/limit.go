package lacerelay

import (
	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceshare"
)

var _ laceshare.Enforcer = (*Picker)(nil)

// Limit implements laceshare.Enforcer.
func (p *Picker) Limit(s laceshare.Server, a lacebalancer.Allowance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify(p.balancer.SetAllowance(p.now(), s.ID, s.StartTime, a))
}

// Unlimit implements laceshare.Enforcer.
func (p *Picker) Unlimit(s laceshare.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify(p.balancer.ClearAllowance(p.now(), s.ID, s.StartTime))
}

// Demand implements laceshare.Enforcer.
func (p *Picker) Demand(s laceshare.Server) lacebalancer.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Demand(s.ID, s.StartTime)
}

// Sending returns to which server and when a ticket was sent.
func (p *Picker) Sending(t lacebalancer.Ticket) (lacebalancer.Assignment, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Assignment(t)
}
