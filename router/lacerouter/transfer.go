package lacerouter

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"lacewingcove/lib/lacefleet"
	"lacewingcove/lib/lacegrant"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/lacepeer"
	"lacewingcove/lib/laceunit"
)

const (
	// transferTimeout bounds the wait of a request for tokens of other instances.
	transferTimeout = 500 * time.Millisecond
	// transferAttemptTimeout leaves time to ask another instance if the first one does not respond.
	transferAttemptTimeout = 150 * time.Millisecond
	// maxTransferPeers bounds the number of instances that one transfer request is sent to.
	maxTransferPeers = 3
	// transferAttempts allows for one lost response; the receiver deduplicates transfer requests by their id.
	transferAttempts = 2
)

// transferSource requests tokens from the offline allowances of other instances.
type transferSource struct {
	fleet lacefleet.Fleet
	peer  *lacepeer.Client
}

// RequestTransfer implements lacegrant.TransferSource.
func (s transferSource) RequestTransfer(ctx context.Context, request lacegrant.TransferRequest) (lacegrant.Transfer, bool) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	peers := slices.Clone(s.fleet.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, m := range peers[:min(len(peers), maxTransferPeers)] {
		if transfer, ok := s.requestFrom(ctx, m, request); ok {
			return transfer, true
		}
	}
	return lacegrant.Transfer{}, false
}

func (s transferSource) requestFrom(ctx context.Context, m lacemember.Member, request lacegrant.TransferRequest) (lacegrant.Transfer, bool) {
	for range transferAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, transferAttemptTimeout)
		transfer, err := s.peer.Handover(attemptCtx, m, lacepeer.TransferRequest(request))
		cancel()
		if err != nil {
			continue
		}
		return lacegrant.Transfer(transfer), transfer.Grant != "" && transfer.Holder == m.Holder &&
			transfer.Tokens == request.Tokens
	}
	return lacegrant.Transfer{}, false
}

// transferServer handles the transfer requests of other instances once the wallet is set.
type transferServer struct {
	wallet atomic.Pointer[lacegrant.Service]
}

// HandleTransferRequest implements lacepeer.Wallet. An empty transfer means that no tokens are available.
func (s *transferServer) HandleTransferRequest(
	_ context.Context, request lacepeer.TransferRequest,
) (lacepeer.Transfer, error) {
	wallet := s.wallet.Load()
	if wallet == nil {
		return lacepeer.Transfer{}, nil
	}
	transfer, _ := wallet.HandleTransferRequest(lacegrant.TransferRequest(request))
	return lacepeer.Transfer(transfer), nil
}

// selectMembers returns the members with the given holders, except one.
func selectMembers(
	members []lacemember.Member, holders []laceunit.Holder, excluded laceunit.Holder,
) []lacemember.Member {
	var list []lacemember.Member
	for _, m := range members {
		if m.Holder != excluded && slices.Contains(holders, m.Holder) {
			list = append(list, m)
		}
	}
	return list
}
