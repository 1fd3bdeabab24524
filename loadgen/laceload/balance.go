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

// BalanceSource reads the balances of budgets, keyed by the ledger's ids.
type BalanceSource interface {
	Read(ctx context.Context) (map[laceunit.BudgetID]Balance, error)
	// Name identifies the source in reports.
	Name() string
}

// callerBalances derives balances from the usage that the callers of this run saw. It misses tokens that were billed
// without any caller seeing it, so a source that reads from the fleet is better where there is one.
type callerBalances struct {
	tally *tally
}

// Name implements BalanceSource.
func (callerBalances) Name() string { return "callers" }

// Read implements BalanceSource.
func (c callerBalances) Read(context.Context) (map[laceunit.BudgetID]Balance, error) {
	c.tally.mu.Lock()
	defer c.tally.mu.Unlock()
	out := make(map[laceunit.BudgetID]Balance, len(c.tally.budgets))
	for id, b := range c.tally.budgets {
		out[id] = Balance{
			Paid:    b.paid,
			Settled: b.billed,
		}
	}
	return out, nil
}

// budget is one budget as seen by the callers.
type budget struct {
	paid laceunit.Tokens
	// billed is the usage of complete responses and of requests that the ledger reported as settled.
	billed laceunit.Tokens
	// uncertain is the sum of the ceilings of requests whose usage is unknown.
	uncertain laceunit.Tokens
	// inFlight is the sum of the ceilings of requests in progress.
	inFlight laceunit.Tokens
}

// available returns the tokens that the budget certainly has for a request whose own ceiling is part of inFlight.
func (b *budget) available(ceiling laceunit.Tokens) laceunit.Tokens {
	return b.paid - b.billed - b.uncertain - (b.inFlight - ceiling)
}

func newBudgets(w laceworkload.Workload) map[laceunit.BudgetID]*budget {
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
