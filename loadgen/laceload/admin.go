package laceload

import (
	"context"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// adminBalances asks the administration API of the instances.
type adminBalances struct {
	client *laceadmin.Client
}

// NewAdminBalances returns the balances that instances tell operators.
func NewAdminBalanceSource(client *laceadmin.Client) BalanceSource {
	return adminBalances{client: client}
}

// Name implements Balances.
func (adminBalances) Name() string { return "administration API" }

// Read implements Balances.
func (a adminBalances) Read(ctx context.Context) (map[laceunit.BudgetID]Balance, error) {
	all, err := a.client.Budgets(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "load: balances")
	}
	out := make(map[laceunit.BudgetID]Balance, len(all.Budgets))
	for _, b := range all.Budgets {
		out[laceledger.JoinBudgetID(laceunit.AccountID(b.Account), laceunit.BudgetID(b.ID))] = Balance{
			Paid:    laceunit.Tokens(b.Paid),
			Settled: laceunit.Tokens(b.Settled),
		}
	}
	return out, nil
}
