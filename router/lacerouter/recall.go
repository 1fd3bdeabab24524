package lacerouter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefleet"
	"lacewingcove/lib/lacegrant"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// recallTimeout bounds the wait for other instances to return tokens; a request that needs the tokens waits that long.
const recallTimeout = 500 * time.Millisecond

// errNoOtherHolder means that no other instance holds tokens of the budget.
var errNoOtherHolder = errors.New("router: no other instance holds tokens of the budget")

// recaller asks the holders of a budget's grants to return their spare tokens.
type recaller struct {
	ledger laceledger.Ledger
	fleet  lacefleet.Fleet
	client *http.Client
	scheme string
}

// Recall implements lacegrant.Recaller.
func (r *recaller) Recall(ctx context.Context, budget laceunit.BudgetID) error {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	balance, err := r.ledger.Balance(ctx, budget)
	if err != nil {
		return errors.Wrap(err, "recall")
	}
	var calls sync.WaitGroup
	called := 0
	for _, m := range r.fleet.Peers() {
		if !hasSpareTokens(balance, m) {
			continue
		}
		called++
		calls.Go(func() { r.recallFrom(ctx, m, budget) })
	}
	calls.Wait()
	if called == 0 {
		return errNoOtherHolder
	}
	return nil
}

// recallFrom sends a recall to one instance. An instance that does not respond in time keeps its tokens.
func (r *recaller) recallFrom(ctx context.Context, m lacemember.Member, budget laceunit.BudgetID) {
	peer := lacewire.NewGrantProtobufClient(r.scheme+"://"+string(m.Address), r.client)
	_, _ = peer.Recall(ctx, &lacewire.RecallRequest{Budget: string(budget)})
}

func hasSpareTokens(balance laceledger.Balance, m lacemember.Member) bool {
	for _, g := range balance.Grants {
		if g.Holder == m.Holder && !g.Closed && g.Tokens > g.Reserved {
			return true
		}
	}
	return false
}

// recallServer handles the recalls of other instances.
type recallServer struct {
	wallet *lacegrant.Service
}

// Recall implements lacewire.Grant.
func (s recallServer) Recall(ctx context.Context, q *lacewire.RecallRequest) (*lacewire.RecallResponse, error) {
	if err := s.wallet.ReturnSpare(ctx, laceunit.BudgetID(q.GetBudget())); err != nil {
		return nil, errors.Wrap(err, "recall")
	}
	return &lacewire.RecallResponse{}, nil
}
