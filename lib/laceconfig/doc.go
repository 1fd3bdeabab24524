// Package laceconfig is the operators' configuration document: its sections, validation, merge, versions and deltas.
//
// It is free of network I/O, goroutines and clocks; other packages transport its messages.
package laceconfig
