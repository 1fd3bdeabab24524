package laceledger

import (
	"strings"

	"lacewingcove/lib/laceunit"
)

// Scope returns the ledger's id of a budget that the configuration lists under a client account. The account comes
// first, so that all budgets of an account fall into one shard.
func JoinBudgetID(account laceunit.AccountID, name laceunit.BudgetID) laceunit.BudgetID {
	return laceunit.BudgetID(string(account) + "/" + string(name))
}

// Unscope returns the client account and the name of a budget of the ledger.
func SplitBudgetID(budget laceunit.BudgetID) (laceunit.AccountID, laceunit.BudgetID) {
	account, name, _ := strings.Cut(string(budget), "/")
	return laceunit.AccountID(account), laceunit.BudgetID(name)
}
