// Package laceledger implements the state machine of one shard of the budget ledger.
//
// It is deterministic and has no sockets, goroutines or clock: it applies log entries and returns a verdict for each
// proposed record. The invariant paid >= settled + outstanding holds for every budget after every record.
package laceledger
