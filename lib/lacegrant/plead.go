package lacegrant

import (
	"context"

	"lacewingcove/lib/laceunit"
)

// maxPleas bounds the pleas that one request makes or waits for; others may take a gift that it has asked for.
const maxPleas = 4

// Pleader carries a plea to other instances.
type Pleader interface {
	// Plead returns the gift of the first instance that gives.
	Plead(ctx context.Context, plea Plea) (Gift, bool)
}

// WithPleader sets the way to other instances' offline parts.
func WithPleader(p Pleader) Option {
	return func(s *Service) { s.pleader = p }
}

// ReserveOffline takes a ceiling from the offline part, or from what other instances give of theirs.
func (s *Service) ReserveOffline(ctx context.Context, budget laceunit.BudgetID, ceiling laceunit.Tokens) (Reservation, error) {
	for tries := 0; ; tries++ {
		s.mu.Lock()
		r, ok := s.wallet.ReserveOffline(s.now(), budget, ceiling)
		if ok || s.pleader == nil || s.closed || tries == maxPleas {
			s.mu.Unlock()
			if !ok {
				return Reservation{}, ErrUnreachable
			}
			return r, nil
		}
		plea, may := s.wallet.Plead(s.now(), budget, ceiling)
		done := s.pleading[budget]
		if may {
			done = make(chan struct{})
			s.pleading[budget] = done
		}
		s.mu.Unlock()
		switch {
		case may:
			s.plead(ctx, plea, done)
		case done == nil:
			return Reservation{}, ErrUnreachable
		default:
			select {
			case <-done:
			case <-ctx.Done():
				return Reservation{}, ErrUnreachable
			}
		}
	}
}

// plead carries one plea out and wakes those who wait for it.
func (s *Service) plead(ctx context.Context, plea Plea, done chan struct{}) {
	g, ok := s.pleader.Plead(ctx, plea)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.wallet.Received(plea, g)
	} else {
		s.wallet.Refused(s.now(), plea)
	}
	delete(s.pleading, plea.Budget)
	close(done)
}

// Give answers the plea of another instance; the tokens are deducted when it returns.
func (s *Service) Give(plea Plea) (Gift, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return Gift{}, false
	}
	return s.wallet.Give(plea)
}

// Giver returns who holds the grant that a gift is spent under, and the grant's witnesses.
func (s *Service) Giver(budget laceunit.BudgetID, grant laceunit.GrantID) (laceunit.Holder, []laceunit.Holder, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wallet.Giver(budget, grant)
}
