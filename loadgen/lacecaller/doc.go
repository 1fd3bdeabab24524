// Package lacecaller sends requests to a fleet as a client account's programs do: it chooses addresses and retries.
package lacecaller
