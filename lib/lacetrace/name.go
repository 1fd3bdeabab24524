package lacetrace

import (
	"lacewingcove/lib/laceledger"
)

// nameTable maps values to their names in traces and back.
type nameTable[T comparable] []struct {
	value T
	name  string
}

func (n nameTable[T]) name(value T) string {
	for _, x := range n {
		if x.value == value {
			return x.name
		}
	}
	return ""
}

// value returns the value with a name. An empty name is the zero value.
func (n nameTable[T]) value(name string) (T, bool) {
	for _, x := range n {
		if x.name == name {
			return x.value, true
		}
	}
	var zero T
	return zero, name == ""
}

func resultNames() nameTable[laceledger.Result] {
	return nameTable[laceledger.Result]{
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

func phaseNames() nameTable[laceledger.Phase] {
	return nameTable[laceledger.Phase]{
		{value: laceledger.PhaseOpen, name: "open"},
		{value: laceledger.PhaseSettled, name: "settled"},
		{value: laceledger.PhaseVoid, name: "void"},
	}
}
