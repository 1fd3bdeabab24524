package laceplatform

import "time"

// Kind classifies the calls of a store by their cost to the platform.
type Kind string

// The kinds of calls.
const (
	KindRead  Kind = "read"
	KindWrite Kind = "write"
	KindLease Kind = "lease"
	KindWatch Kind = "watch"
)

// Call describes one completed call; for a watch, it describes the opening of the stream.
type Call struct {
	Kind     Kind
	Duration time.Duration
	Err      error
}

// Observer receives every call to the platform, including each retry; it must not block.
type Observer interface {
	Observe(call Call)
}

// ObserverFunc adapts a function to an Observer.
type ObserverFunc func(call Call)

// Observe implements Observer.
func (f ObserverFunc) Observe(call Call) {
	f(call)
}
