package lacenode

import (
	"context"
	"net/http"

	"lacewingcove/lib/lacequota"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// lender carries loans of tokens between instances.
type lender struct {
	node   *Node
	client *http.Client
}

func newLender(n *Node) *lender {
	return &lender{
		node:   n,
		client: newPeerClient(&n.vitals.control),
	}
}

// Lend implements lacequota.Lender: it asks another instance.
func (l *lender) Lend(ctx context.Context, instance laceunit.InstanceID, q lacequota.LoanQuery) laceunit.Tokens {
	address, ok := l.node.board.PeerAddress(instance)
	if !ok {
		return 0
	}
	answer, err := lacewire.NewLenderProtobufClient("http://"+string(address), l.client).Lend(ctx, &lacewire.LoanQuery{
		Instance: string(l.node.settings.Instance),
		Account:  string(q.Account),
		Least:    int64(q.MinTokens),
		Wish:     int64(q.MaxTokens),
		Paid:     int64(q.Paid),
		Version:  uint64(q.Version),
	})
	if err != nil {
		// The borrower's log line tells that nothing came; what the lender may have handed over counts as spent there.
		return 0
	}
	amount := laceunit.Tokens(answer.GetTokens())
	if amount < q.MinTokens || amount > q.MaxTokens {
		if amount != 0 {
			l.node.malformed("loan", string(instance))
		}
		return 0
	}
	return amount
}

// lenderServer answers other instances.
type lenderServer struct {
	node *Node
}

// Lend implements lacewire.Lender.
func (l lenderServer) Lend(_ context.Context, q *lacewire.LoanQuery) (*lacewire.Loan, error) {
	if q.GetLeast() <= 0 || q.GetWish() < q.GetLeast() || q.GetPaid() < 0 || q.GetAccount() == "" {
		l.node.malformed("loan query", q.GetInstance())
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
