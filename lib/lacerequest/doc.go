// Package lacerequest is the life of one request: a state machine from the caller's call to its final answer.
//
// Inputs are what happened (a server was picked, a record is durable, a chunk arrived); effects are what the shell has
// to do. The machine has no sockets, goroutines or clock, so the same code runs in the gateway, in replays and in tests.
//
// Rules that it keeps: no byte of an answer leaves before the intent is durable or copied; a call that is not idempotent
// is sent only after that; the end of an answer leaves only after the settlement is durable or copied.
package lacerequest
