// Package laceshare divides the request rate limit that a backend server announces among the instances.
//
// The store holds one record for each server that announces a limit. The limit is divided into equal parts, and the
// record lists the holder of each part; records change by compare-and-swap only. Allocator is the deterministic
// state machine of one instance, without sockets, goroutines or clock; Service drives it.
package laceshare
