// Package lacejournal implements the offline journal: it stores the records of requests that ran while the platform was
// unreachable, those of this instance and copies of those of other instances, until they are in the ledger.
//
// State is a deterministic state machine without sockets, goroutines or clock; Service drives it and does the I/O.
package lacejournal
