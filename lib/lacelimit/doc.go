// Package lacelimit decides which requests an instance admits: rates and concurrency of client accounts, the
// instance's concurrency, and the queue of what waits.
//
// It has no goroutines and no clock; time is an input. Its types are not safe for concurrent use.
package lacelimit
