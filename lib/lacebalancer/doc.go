// Package lacebalancer chooses the backend server of each request.
//
// It is a decision core: time and randomness are inputs, and it has no sockets, goroutines or locks. A call that frees
// capacity returns the decisions of the requests that waited for it.
package lacebalancer
