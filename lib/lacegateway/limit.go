package lacegateway

import (
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceshare"
	"lacewingcove/lib/laceunit"
)

var _ laceshare.Enforcer = (*Selector)(nil)

// Share sets who is told of the limits that servers name.
func (s *Selector) SetLimitObserver(shares laceshare.LimitObserver) {
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
	s.shares = shares
}

// Limit implements laceshare.Enforcer.
func (s *Selector) Limit(server laceshare.Server, a lacebalancer.Allowance) {
	s.Do(func(b *lacebalancer.Balancer, now time.Time) []lacebalancer.Decision {
		return b.SetAllowance(now, server.ID, server.Born, a)
	})
}

// Unlimit implements laceshare.Enforcer.
func (s *Selector) Unlimit(server laceshare.Server) {
	s.Do(func(b *lacebalancer.Balancer, now time.Time) []lacebalancer.Decision {
		return b.ClearAllowance(now, server.ID, server.Born)
	})
}

// Demand implements laceshare.Enforcer.
func (s *Selector) Demand(server laceshare.Server) lacebalancer.Demand {
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
	return s.balancer.Demand(server.ID, server.Born)
}

// Listed reports whether the configuration has a server.
func (s *Selector) HasServer(id laceunit.ServerID) bool {
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
	_, ok := s.servers[id]
	return ok
}

// limit tells what an answer says about how many requests its server takes. The balancer must not be locked meanwhile, since
// the limits come back to it.
func (s *Selector) limit(ticket lacebalancer.Ticket, limit laceconn.RateLimit) {
	s.board.mu.Lock()
	shares := s.shares
	sending, ok := s.balancer.Assignment(ticket)
	s.board.mu.Unlock()
	if !ok || shares == nil {
		return
	}
	shares.ObserveLimit(laceshare.Server{
		ID:   sending.Server,
		Born: sending.StartTime,
	}, sending.At, limit)
}
