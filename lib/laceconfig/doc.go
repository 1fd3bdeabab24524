// Package laceconfig implements the operators' configuration document: its sections, validation, merges, versions and
// deltas, and the state machine of an instance's replica of it.
//
// It has no sockets, goroutines or clock; other packages transport its messages.
package laceconfig
