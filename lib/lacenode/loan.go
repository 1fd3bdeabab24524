package lacenode

import (
	"context"
	"net/http"

	"lacewingcove/lib/lacequota"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// lenderClient sends loan queries to other instances.
type lenderClient struct {
	node   *Node
	client *http.Client
}

func newLenderClient(n *Node) *lenderClient {
	return &lenderClient{
		node:   n,
		client: newPeerClient(&n.monitor.controlTraffic),
	}
}

// Lend implements lacequota.Lender.
func (l *lenderClient) Lend(ctx context.Context, instance laceunit.InstanceID, q lacequota.LoanQuery) laceunit.Tokens {
	address, ok := l.node.directory.PeerAddress(instance)
	if !ok {
		return 0
	}
	loan, err := lacewire.NewLenderProtobufClient("http://"+string(address), l.client).Lend(ctx, &lacewire.LoanQuery{
		Instance: string(l.node.settings.Instance),
		Account:  string(q.Account),
		Least:    int64(q.MinTokens),
		Wish:     int64(q.MaxTokens),
		Paid:     int64(q.Paid),
		Version:  uint64(q.Version),
	})
	if err != nil {
		// lacequota logs that no tokens were lent. If the lender has lent tokens, they count as spent there.
		return 0
	}
	amount := laceunit.Tokens(loan.GetTokens())
	if amount < q.MinTokens || amount > q.MaxTokens {
		if amount != 0 {
			l.node.rejectMessage("loan", string(instance))
		}
		return 0
	}
	return amount
}

// lenderServer serves loan queries of other instances.
type lenderServer struct {
	node *Node
}

// Lend implements lacewire.Lender.
func (l lenderServer) Lend(_ context.Context, q *lacewire.LoanQuery) (*lacewire.Loan, error) {
	if q.GetLeast() <= 0 || q.GetWish() < q.GetLeast() || q.GetPaid() < 0 || q.GetAccount() == "" {
		l.node.rejectMessage("loan query", q.GetInstance())
		return &lacewire.Loan{}, nil
	}
	amount := l.node.quota.Lend(laceunit.InstanceID(q.GetInstance()), lacequota.LoanQuery{
		Account:   laceunit.AccountID(q.GetAccount()),
		MinTokens: laceunit.Tokens(q.GetLeast()),
		MaxTokens: laceunit.Tokens(q.GetWish()),
		Paid:      laceunit.Tokens(q.GetPaid()),
		Version:   laceunit.Version(q.GetVersion()),
	})
	return &lacewire.Loan{Tokens: int64(amount)}, nil
}
