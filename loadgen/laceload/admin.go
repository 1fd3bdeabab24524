package laceload

import (
	"context"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// adminBalances reads balances from the administration API of the instances.
type adminBalances struct {
	client *laceadmin.Client
}

// NewAdminBalanceSource returns a source that reads balances from the administration API of the instances.
func NewAdminBalanceSource(client *laceadmin.Client) BalanceSource {
	return adminBalances{client: client}
}

// Name implements BalanceSource.
func (adminBalances) Name() string { return "administration API" }

// Read implements BalanceSource.
func (a adminBalances) Read(ctx context.Context) (map[laceunit.BudgetID]Balance, error) {
	list, err := a.client.Budgets(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "load: balances")
	}
	out := make(map[laceunit.BudgetID]Balance, len(list.Budgets))
	for _, b := range list.Budgets {
		out[laceledger.JoinBudgetID(laceunit.AccountID(b.Account), laceunit.BudgetID(b.ID))] = Balance{
			Paid:    laceunit.Tokens(b.Paid),
			Settled: laceunit.Tokens(b.Settled),
		}
	}
	return out, nil
}
