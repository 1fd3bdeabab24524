// Package laceledger is the state machine of one shard of the budget ledger.
//
// It has no sockets, goroutines or clock: a log entry goes in, verdicts come out.
// The invariant paid >= settled + outstanding holds for every budget after every record.
package laceledger
