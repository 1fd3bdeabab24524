// Package lacelimit implements the admission control of an instance: rate and concurrency limits for each client
// account, the concurrency limit of the instance, the queue of waiting requests, the bandwidth of the machine's link,
// and the budget for retries.
//
// It starts no goroutines and reads no clock: callers pass in the current time. Its types are not safe for concurrent
// use.
package lacelimit
