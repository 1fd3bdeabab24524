// Package laceplatform defines a minimal interface to the platform's key-value store and implements a client for the
// JSON gateway of the etcd v3 API.
//
// It requires only single-key compare-and-swap, so that any store that provides it can serve as the backend.
package laceplatform
