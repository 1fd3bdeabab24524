package laceload

import (
	"context"

	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/laceworkload"
)

// Balance is what was paid into a budget and what was settled against it.
type Balance struct {
	Paid    laceunit.Tokens
	Settled laceunit.Tokens
}

// Balances reads the balances of budgets by the ledger's ids.
type BalanceSource interface {
	Read(ctx context.Context) (map[laceunit.BudgetID]Balance, error)
	// Name says in reports where the balances come from.
	Name() string
}

// knownBalances sums up what the callers of this run know was billed. It can't see what was billed to nobody's
// knowledge, so a source that asks the fleet is better wherever there is one.
type knownBalances struct {
	tally *tally
}

// Name implements Balances.
func (knownBalances) Name() string { return "callers" }

// Read implements Balances.
func (k knownBalances) Read(context.Context) (map[laceunit.BudgetID]Balance, error) {
	k.tally.mu.Lock()
	defer k.tally.mu.Unlock()
	out := make(map[laceunit.BudgetID]Balance, len(k.tally.budgets))
	for id, b := range k.tally.budgets {
		out[id] = Balance{
			Paid:    b.paid,
			Settled: b.billed,
		}
	}
	return out, nil
}

// budget is what the callers know of one budget.
type budget struct {
	paid laceunit.Tokens
	// billed is the usage of whole answers and of requests that the ledger is known to have settled.
	billed laceunit.Tokens
	// doubtful are the ceilings of requests whose outcome is not known.
	doubtful laceunit.Tokens
	// running are the ceilings of requests in progress.
	running laceunit.Tokens
}

// left is what the budget certainly has for a request that is itself among the running ones.
func (b *budget) left(own laceunit.Tokens) laceunit.Tokens {
	return b.paid - b.billed - b.doubtful - (b.running - own)
}

func budgetsOf(w laceworkload.Workload) map[laceunit.BudgetID]*budget {
	out := map[laceunit.BudgetID]*budget{}
	for account, a := range w.Accounts {
		for _, b := range a.Budgets {
			r := laceworkload.Request{
				Account: account,
				Budget:  b.Name,
			}
			out[r.ScopedBudget()] = &budget{paid: b.Paid}
		}
	}
	return out
}
