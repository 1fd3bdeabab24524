// Package lacegrant is the instance's wallet: the grants it holds and the reservations made against them.
//
// Wallet is a state machine without goroutines or a clock. Service runs it over a ledger.
package lacegrant
