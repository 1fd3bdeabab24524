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
	// pleaTimeout bounds the wait of a request for other instances' tokens.
	pleaTimeout = 500 * time.Millisecond
	// pleaTimeoutOne leaves time for another giver when the first one does not answer.
	pleaTimeoutOne = 150 * time.Millisecond
	// pleaGivers bounds the instances that one plea goes to.
	pleaGivers = 3
	// pleaTries covers one lost answer; the giver knows the plea by its id.
	pleaTries = 2
)

// pleader asks other instances for tokens of their offline parts.
type pleader struct {
	fleet lacefleet.Fleet
	peer  *lacepeer.Client
}

// Plead implements lacegrant.Pleader.
func (p pleader) Plead(ctx context.Context, plea lacegrant.Plea) (lacegrant.Gift, bool) {
	ctx, cancel := context.WithTimeout(ctx, pleaTimeout)
	defer cancel()
	peers := slices.Clone(p.fleet.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, m := range peers[:min(len(peers), pleaGivers)] {
		if g, ok := p.ask(ctx, m, plea); ok {
			return g, true
		}
	}
	return lacegrant.Gift{}, false
}

func (p pleader) ask(ctx context.Context, m lacemember.Member, plea lacegrant.Plea) (lacegrant.Gift, bool) {
	for range pleaTries {
		inner, cancel := context.WithTimeout(ctx, pleaTimeoutOne)
		g, err := p.peer.Handover(inner, m, lacepeer.Plea(plea))
		cancel()
		if err != nil {
			continue
		}
		return lacegrant.Gift(g), g.Grant != "" && g.Holder == m.Holder && g.Tokens == plea.Tokens
	}
	return lacegrant.Gift{}, false
}

// giver answers the pleas of other instances once there is a wallet.
type giver struct {
	wallet atomic.Pointer[lacegrant.Service]
}

// Give implements lacepeer.Wallet; an empty gift means that there is nothing to give.
func (g *giver) Give(_ context.Context, plea lacepeer.Plea) (lacepeer.Gift, error) {
	wallet := g.wallet.Load()
	if wallet == nil {
		return lacepeer.Gift{}, nil
	}
	gift, _ := wallet.Give(lacegrant.Plea(plea))
	return lacepeer.Gift(gift), nil
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
