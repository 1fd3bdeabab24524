package lacegrant

import (
	"context"

	"lacewingcove/lib/laceunit"
)

// maxTransferRequests limits the transfer requests that one ReserveOffline call sends or waits for. It may need
// several, because concurrent requests may reserve from the transfer that it requested.
const maxTransferRequests = 4

// TransferSource sends transfer requests to other instances.
type TransferSource interface {
	// RequestTransfer returns the transfer of the first instance that grants the request.
	RequestTransfer(ctx context.Context, request TransferRequest) (Transfer, bool)
}

// WithTransferSource sets how to request tokens from the offline allowances of other instances.
func WithTransferSource(source TransferSource) Option {
	return func(s *Service) { s.transferSource = source }
}

// ReserveOffline reserves a ceiling from the offline allowance of the grant, or from tokens that other instances
// transfer from theirs.
func (s *Service) ReserveOffline(
	ctx context.Context,
	budget laceunit.BudgetID,
	ceiling laceunit.Tokens,
) (Reservation, error) {
	for attempts := 0; ; attempts++ {
		s.mu.Lock()
		r, ok := s.wallet.ReserveOffline(s.now(), budget, ceiling)
		if ok || s.transferSource == nil || s.closed || attempts == maxTransferRequests {
			s.mu.Unlock()
			if !ok {
				return Reservation{}, ErrUnreachable
			}
			return r, nil
		}
		request, allowed := s.wallet.RequestTransfer(s.now(), budget, ceiling)
		done := s.transferWaiters[budget]
		if allowed {
			done = make(chan struct{})
			s.transferWaiters[budget] = done
		}
		s.mu.Unlock()
		switch {
		case allowed:
			s.requestTransfer(ctx, request, done)
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

// requestTransfer sends one transfer request, applies its result and unblocks the callers that wait for it.
func (s *Service) requestTransfer(ctx context.Context, request TransferRequest, done chan struct{}) {
	transfer, ok := s.transferSource.RequestTransfer(ctx, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.wallet.TransferReceived(request, transfer)
	} else {
		s.wallet.TransferFailed(s.now(), request)
	}
	delete(s.transferWaiters, request.Budget)
	close(done)
}

// HandleTransferRequest handles a transfer request of another instance. The transferred tokens are deducted before it
// returns.
func (s *Service) HandleTransferRequest(request TransferRequest) (Transfer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return Transfer{}, false
	}
	return s.wallet.HandleTransferRequest(request)
}

// TransferOrigin returns the holder and the witnesses of the grant from which a received transfer was deducted.
func (s *Service) TransferOrigin(
	budget laceunit.BudgetID,
	grant laceunit.GrantID,
) (laceunit.Holder, []laceunit.Holder, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wallet.TransferOrigin(budget, grant)
}
