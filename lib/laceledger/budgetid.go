package laceledger

import (
	"strings"

	"lacewingcove/lib/laceunit"
)

// JoinBudgetID returns the ledger's id of a budget that is configured under a client account. The account is the
// prefix, which places all budgets of an account in one shard.
func JoinBudgetID(account laceunit.AccountID, name laceunit.BudgetID) laceunit.BudgetID {
	return laceunit.BudgetID(string(account) + "/" + string(name))
}

// SplitBudgetID returns the client account and the configured name of a ledger budget id.
func SplitBudgetID(budget laceunit.BudgetID) (laceunit.AccountID, laceunit.BudgetID) {
	account, name, _ := strings.Cut(string(budget), "/")
	return laceunit.AccountID(account), laceunit.BudgetID(name)
}
