package lacegrant

import (
	"context"

	"lacewingcove/lib/laceunit"
)

// maxTransferRequests bounds the transfer requests that one request makes or waits for; others may take a transfer that
// it has asked for.
const maxTransferRequests = 4

// TransferSource carries a transfer request to other instances.
type TransferSource interface {
	// RequestTransfer returns the transfer of the first instance that gives.
	RequestTransfer(ctx context.Context, transferRequest TransferRequest) (Transfer, bool)
}

// WithTransferSource sets the way to other instances' offline parts.
func WithTransferSource(p TransferSource) Option {
	return func(s *Service) { s.transferSource = p }
}

// ReserveOffline takes a ceiling from the offline part, or from what other instances give of theirs.
func (s *Service) ReserveOffline(ctx context.Context, budget laceunit.BudgetID, ceiling laceunit.Tokens) (Reservation, error) {
	for tries := 0; ; tries++ {
		s.mu.Lock()
		r, ok := s.wallet.ReserveOffline(s.now(), budget, ceiling)
		if ok || s.transferSource == nil || s.closed || tries == maxTransferRequests {
			s.mu.Unlock()
			if !ok {
				return Reservation{}, ErrUnreachable
			}
			return r, nil
		}
		transferRequest, may := s.wallet.RequestTransfer(s.now(), budget, ceiling)
		done := s.requesting[budget]
		if may {
			done = make(chan struct{})
			s.requesting[budget] = done
		}
		s.mu.Unlock()
		switch {
		case may:
			s.requestTransfer(ctx, transferRequest, done)
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

// requestTransfer carries one transfer request out and wakes those who wait for it.
func (s *Service) requestTransfer(ctx context.Context, transferRequest TransferRequest, done chan struct{}) {
	g, ok := s.transferSource.RequestTransfer(ctx, transferRequest)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.wallet.TransferReceived(transferRequest, g)
	} else {
		s.wallet.TransferFailed(s.now(), transferRequest)
	}
	delete(s.requesting, transferRequest.Budget)
	close(done)
}

// Give answers the transfer request of another instance; the tokens are deducted when it returns.
func (s *Service) HandleTransferRequest(transferRequest TransferRequest) (Transfer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return Transfer{}, false
	}
	return s.wallet.HandleTransferRequest(transferRequest)
}

// Giver returns who holds the grant that a transfer is spent under, and the grant's witnesses.
func (s *Service) TransferOrigin(budget laceunit.BudgetID, grant laceunit.GrantID) (laceunit.Holder, []laceunit.Holder, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wallet.TransferOrigin(budget, grant)
}
