// Package lacewire holds the protobuf messages and maps them to domain types by hand.
package lacewire
