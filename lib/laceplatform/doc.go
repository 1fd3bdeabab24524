// Package laceplatform is a minimal interface to the platform's key-value service.
//
// It requires only single-key compare-and-swap, so that any service that provides it can serve as the backend.
package laceplatform
