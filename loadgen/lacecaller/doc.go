// Package lacecaller implements a client of a fleet: it sends requests as the programs of a client account do, selects
// the instance for each attempt and retries with backoff.
package lacecaller
