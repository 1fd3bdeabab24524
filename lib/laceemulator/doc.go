// Package laceemulator emulates the systems around the fleet: the platform's key-value service, the
// instance list, model engines, plain services and the weight store.
//
// The emulators serve published protocols on loopback and take faults at run time with a seed.
package laceemulator
