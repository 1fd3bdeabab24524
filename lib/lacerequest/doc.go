// Package lacerequest implements the state machine of one request, from its admission to the final response.
//
// Inputs are events (a server was picked, a record is durable, a chunk arrived). Effects are the actions that the
// driver must perform. The machine has no sockets, goroutines or clock, so the same code runs in the gateway, in
// replays and in tests.
//
// Invariants: no part of a response is sent to the caller before the intent is durable in the ledger or copied to
// another instance. A non-idempotent request is dispatched only after that. The end of a response is sent only after
// the settlement is durable or copied.
package lacerequest
