package laceplatform

import "time"

// Kind groups the calls of a store by what they cost the platform.
type Kind string

// The kinds of calls.
const (
	KindRead  Kind = "read"
	KindWrite Kind = "write"
	KindLease Kind = "lease"
	KindWatch Kind = "watch"
)

// Call describes one finished call; for a watch it is the opening of the stream.
type Call struct {
	Kind     Kind
	Duration time.Duration
	Err      error
}

// Observer is told of every call to the platform, each repetition included; it must not block.
type Observer interface {
	Observe(call Call)
}

// ObserverFunc makes an Observer of a function.
type ObserverFunc func(call Call)

// Observe implements Observer.
func (f ObserverFunc) Observe(call Call) {
	f(call)
}
