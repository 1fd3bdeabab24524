package laceorder

import (
	"context"
	"slices"

	"lacewingcove/lib/laceunit"
)

// Kind says what an order asks for.
type Kind string

// The kinds of orders.
const (
	KindLoad    Kind = "load"
	KindUnload  Kind = "unload"
	KindAdapter Kind = "adapter"
	KindVersion Kind = "version"
	KindRole    Kind = "role"
)

// Order tells an engine what to load or which role to take.
type Order struct {
	Fence   laceunit.Fence
	Kind    Kind
	Model   laceunit.ModelID
	Adapter string
	Version string
	Role    string
}

// Condition is what an engine holds and the highest fencing token it has seen.
type EngineState struct {
	Fence    laceunit.Fence
	Role     string
	Models   []laceunit.ModelID
	Adapters []string
	Versions map[laceunit.ModelID]string
}

// Outcome tells what became of an order.
type Outcome int

// The outcomes; the zero value is the careful one.
const (
	// OutcomeUnknown means that the order may have been carried out, now or later within the delivery bound.
	OutcomeUnknown Outcome = iota
	// OutcomeApplied means that the server has carried out the order.
	OutcomeApplied
	// OutcomeRefused means that the server certainly did not carry out the order.
	OutcomeNotApplied
	// OutcomeStale means that the server refused the fencing token: somebody else holds the lease.
	OutcomeFenced
)

// Commander sends orders to engines and reads their condition back.
type EngineClient interface {
	// Order sends one order; the error says more about an outcome other than OutcomeApplied.
	SendOrder(ctx context.Context, server laceunit.Address, order Order) (Outcome, error)
	// Condition reads back what the engine holds.
	ReadState(ctx context.Context, server laceunit.Address) (EngineState, error)
}

// Meets reports whether the condition is what an order asks for.
func (c EngineState) Satisfies(o Order) bool {
	switch o.Kind {
	case KindLoad:
		return slices.Contains(c.Models, o.Model)
	case KindUnload:
		return !slices.Contains(c.Models, o.Model)
	case KindAdapter:
		return slices.Contains(c.Adapters, o.Adapter)
	case KindVersion:
		return c.Versions[o.Model] == o.Version
	case KindRole:
		return c.Role == o.Role
	}
	return false
}
