// Package lacegrant manages the grants of one instance: token allocations that the ledger has granted from budgets, and
// the reservations that requests make against them.
//
// Wallet is a deterministic state machine without goroutines or clock. Service drives it and appends its records to
// the ledger.
package lacegrant
