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
	// transferTimeout bounds the wait of a request for other instances' tokens.
	transferTimeout = 500 * time.Millisecond
	// transferTryTimeout leaves time for another giver when the first one does not answer.
	transferTryTimeout = 150 * time.Millisecond
	// transferGivers bounds the instances that one transfer request goes to.
	transferGivers = 3
	// transferTries covers one lost answer; the giver knows the transfer request by its id.
	transferTries = 2
)

// transferSource asks other instances for tokens of their offline parts.
type transferSource struct {
	fleet lacefleet.Fleet
	peer  *lacepeer.Client
}

// RequestTransfer implements lacegrant.TransferSource.
func (p transferSource) RequestTransfer(ctx context.Context, transferRequest lacegrant.TransferRequest) (lacegrant.Transfer, bool) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	peers := slices.Clone(p.fleet.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, m := range peers[:min(len(peers), transferGivers)] {
		if g, ok := p.ask(ctx, m, transferRequest); ok {
			return g, true
		}
	}
	return lacegrant.Transfer{}, false
}

func (p transferSource) ask(ctx context.Context, m lacemember.Member, transferRequest lacegrant.TransferRequest) (lacegrant.Transfer, bool) {
	for range transferTries {
		inner, cancel := context.WithTimeout(ctx, transferTryTimeout)
		g, err := p.peer.Handover(inner, m, lacepeer.TransferRequest(transferRequest))
		cancel()
		if err != nil {
			continue
		}
		return lacegrant.Transfer(g), g.Grant != "" && g.Holder == m.Holder && g.Tokens == transferRequest.Tokens
	}
	return lacegrant.Transfer{}, false
}

// giver answers the transfer requests of other instances once there is a wallet.
type giver struct {
	wallet atomic.Pointer[lacegrant.Service]
}

// Give implements lacepeer.Wallet; an empty transfer means that there is nothing to give.
func (g *giver) Give(_ context.Context, transferRequest lacepeer.TransferRequest) (lacepeer.Transfer, error) {
	wallet := g.wallet.Load()
	if wallet == nil {
		return lacepeer.Transfer{}, nil
	}
	transfer, _ := wallet.HandleTransferRequest(lacegrant.TransferRequest(transferRequest))
	return lacepeer.Transfer(transfer), nil
}

// among returns the members with the given holders, without one.
func among(members []lacemember.Member, holders []laceunit.Holder, without laceunit.Holder) []lacemember.Member {
	var list []lacemember.Member
	for _, m := range members {
		if m.Holder != without && slices.Contains(holders, m.Holder) {
			list = append(list, m)
		}
	}
	return list
}
