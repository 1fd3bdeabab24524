// Package laceemulator emulates the external systems that the fleet depends on: the platform's key-value store, the
// instance list, model engines, plain services and the weight store.
//
// The emulators serve the published protocols on loopback addresses. Faults can be injected at run time; random faults
// are drawn from a seeded generator.
package laceemulator
