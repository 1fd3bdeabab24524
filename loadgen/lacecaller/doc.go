// Package lacecaller sends requests to a fleet as the programs of a client account do, with choice of addresses and
// retries.
package lacecaller
