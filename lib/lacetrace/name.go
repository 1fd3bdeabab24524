package lacetrace

import (
	"lacewingcove/lib/laceledger"
)

// names is a two-way table between values and their names in traces.
type names[T comparable] []struct {
	value T
	name  string
}

func (n names[T]) name(value T) string {
	for _, x := range n {
		if x.value == value {
			return x.name
		}
	}
	return ""
}

func (n names[T]) value(name string) (T, bool) {
	for _, x := range n {
		if x.name == name {
			return x.value, true
		}
	}
	var none T
	return none, name == ""
}

func results() names[laceledger.Result] {
	return names[laceledger.Result]{
		{value: laceledger.Accepted, name: "accepted"},
		{value: laceledger.Repeated, name: "repeated"},
		{value: laceledger.Duplicate, name: "duplicate"},
		{value: laceledger.Conflict, name: "conflict"},
		{value: laceledger.Closed, name: "closed"},
		{value: laceledger.InsufficientTokens, name: "short"},
		{value: laceledger.Superseded, name: "superseded"},
		{value: laceledger.Missing, name: "missing"},
		{value: laceledger.Invalid, name: "invalid"},
	}
}

func phases() names[laceledger.Phase] {
	return names[laceledger.Phase]{
		{value: laceledger.PhaseOpen, name: "open"},
		{value: laceledger.PhaseSettled, name: "settled"},
		{value: laceledger.PhaseVoid, name: "void"},
	}
}
