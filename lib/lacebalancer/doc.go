// Package lacebalancer selects the backend server for each request.
//
// It is a deterministic core: time and randomness are inputs, and it has no sockets, goroutines or locks. A call that
// frees capacity returns the decisions on the queued requests that were waiting for it.
package lacebalancer
