package laceorder

import (
	"context"
	"slices"

	"lacewingcove/lib/laceunit"
)

// Kind is the type of an order.
type Kind string

// The order kinds.
const (
	KindLoad    Kind = "load"
	KindUnload  Kind = "unload"
	KindAdapter Kind = "adapter"
	KindVersion Kind = "version"
	KindRole    Kind = "role"
)

// Order is a command to an engine: load or unload a model, load an adapter, or change a model version or the role.
type Order struct {
	Fence   laceunit.Fence
	Kind    Kind
	Model   laceunit.ModelID
	Adapter string
	Version string
	Role    string
}

// EngineState is what an engine has loaded, its role, and the highest fencing token that it has received.
type EngineState struct {
	Fence    laceunit.Fence
	Role     string
	Models   []laceunit.ModelID
	Adapters []string
	Versions map[laceunit.ModelID]string
}

// Outcome is the result of sending an order.
type Outcome int

// The outcomes. The zero value is OutcomeUnknown because it is the safe assumption.
const (
	// OutcomeUnknown means that the order may have been applied or may still be applied within the delivery timeout.
	OutcomeUnknown Outcome = iota
	// OutcomeApplied means that the server has applied the order.
	OutcomeApplied
	// OutcomeNotApplied means that the server certainly has not applied the order.
	OutcomeNotApplied
	// OutcomeFenced means that the server rejected the fencing token as stale: another instance holds the lease.
	OutcomeFenced
)

// EngineClient sends orders to engines and reads their state.
type EngineClient interface {
	// SendOrder sends one order. For any outcome except OutcomeApplied, the error gives the cause.
	SendOrder(ctx context.Context, server laceunit.Address, order Order) (Outcome, error)
	// ReadState returns the current state of the engine.
	ReadState(ctx context.Context, server laceunit.Address) (EngineState, error)
}

// Satisfies reports whether the engine is already in the state that the order requests.
func (s EngineState) Satisfies(o Order) bool {
	switch o.Kind {
	case KindLoad:
		return slices.Contains(s.Models, o.Model)
	case KindUnload:
		return !slices.Contains(s.Models, o.Model)
	case KindAdapter:
		return slices.Contains(s.Adapters, o.Adapter)
	case KindVersion:
		return s.Versions[o.Model] == o.Version
	case KindRole:
		return s.Role == o.Role
	}
	return false
}
