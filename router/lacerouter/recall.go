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

// recallTimeout bounds the wait for instances that give tokens back; a request that needs them waits as long.
const recallTimeout = 500 * time.Millisecond

// errNobody means that no other instance holds tokens of the budget.
var errNobody = errors.New("router: no other instance holds tokens of the budget")

// recaller asks the holders of a budget's grants to give back what they can spare.
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
	asked := 0
	for _, m := range r.fleet.Peers() {
		if !holds(balance, m) {
			continue
		}
		asked++
		calls.Go(func() { r.ask(ctx, m, budget) })
	}
	calls.Wait()
	if asked == 0 {
		return errNobody
	}
	return nil
}

// ask asks one instance; one that does not answer in time keeps its tokens.
func (r *recaller) ask(ctx context.Context, m lacemember.Member, budget laceunit.BudgetID) {
	peer := lacewire.NewGrantProtobufClient(r.scheme+"://"+string(m.Address), r.client)
	_, _ = peer.Recall(ctx, &lacewire.RecallRequest{Budget: string(budget)})
}

func holds(balance laceledger.Balance, m lacemember.Member) bool {
	for _, g := range balance.Grants {
		if g.Holder == m.Holder && !g.Closed && g.Tokens > g.Reserved {
			return true
		}
	}
	return false
}

// recallServer answers the recalls of other instances.
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
