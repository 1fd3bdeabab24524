// Package laceplatform is the narrow interface to the platform's key-value service.
//
// Only single-key compare-and-swap is used, so that any service with that much can stand behind it.
package laceplatform
