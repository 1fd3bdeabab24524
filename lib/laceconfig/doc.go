// Package laceconfig is the operators' configuration document: its sections, validation, merge, versions and deltas.
//
// It has no sockets, goroutines or clock; other packages carry its messages.
package laceconfig
