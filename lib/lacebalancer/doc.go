// Package lacebalancer selects the backend server for each request.
//
// It is deterministic and has no sockets, goroutines, clock or locks: callers pass in the time and the source of
// randomness. A call that frees capacity returns the decisions on the queued requests that were waiting for it.
package lacebalancer
