// Package lacewire holds the protobuf messages that instances exchange or store, with handwritten mappings to the
// domain types: From functions map a domain value to its message, To functions map a message to a domain value.
package lacewire
