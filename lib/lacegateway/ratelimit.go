package lacegateway

import (
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceshare"
	"lacewingcove/lib/laceunit"
)

var _ laceshare.Enforcer = (*Selector)(nil)

// SetLimitObserver sets the observer of the rate limits that servers announce in their responses.
func (s *Selector) SetLimitObserver(observer laceshare.LimitObserver) {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	s.limitObserver = observer
}

// Limit implements laceshare.Enforcer.
func (s *Selector) Limit(server laceshare.Server, a lacebalancer.Allowance) {
	s.Do(func(b *lacebalancer.Balancer, now time.Time) []lacebalancer.Decision {
		return b.SetAllowance(now, server.ID, server.StartTime, a)
	})
}

// Unlimit implements laceshare.Enforcer.
func (s *Selector) Unlimit(server laceshare.Server) {
	s.Do(func(b *lacebalancer.Balancer, now time.Time) []lacebalancer.Decision {
		return b.ClearAllowance(now, server.ID, server.StartTime)
	})
}

// Demand implements laceshare.Enforcer.
func (s *Selector) Demand(server laceshare.Server) lacebalancer.Demand {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	return s.balancer.Demand(server.ID, server.StartTime)
}

// HasServer reports whether the configuration contains a server.
func (s *Selector) HasServer(id laceunit.ServerID) bool {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	_, ok := s.servers[id]
	return ok
}

// reportLimit passes the rate limit in a response to the observer. The mutex must not be held, since the observer calls
// Limit and Unlimit before it returns.
func (s *Selector) reportLimit(ticket lacebalancer.Ticket, limit laceconn.RateLimit) {
	s.runner.mu.Lock()
	observer := s.limitObserver
	assignment, ok := s.balancer.Assignment(ticket)
	s.runner.mu.Unlock()
	if !ok || observer == nil {
		return
	}
	observer.ObserveLimit(laceshare.Server{
		ID:        assignment.Server,
		StartTime: assignment.StartTime,
	}, assignment.At, limit)
}
