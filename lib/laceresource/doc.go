// Package laceresource decides which clients of an instance may hold memory and connections, and which are closed or
// refused when they are short.
//
// It starts no goroutines and reads no clock: callers pass in the current time. Its types are not safe for concurrent
// use.
package laceresource
