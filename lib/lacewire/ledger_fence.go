package lacewire

import (
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

func fromFence(f laceledger.Fence) *LedgerFence {
	m := &LedgerFence{
		Epoch:  uint64(f.Epoch),
		Newest: uint64(f.MaxIncarnation),
	}
	for _, h := range f.Members {
		m.Members = append(m.Members, fromHolder(h))
	}
	return m
}

// toFence maps a message to a fence; a missing message is the state before the first fence.
func toFence(m *LedgerFence) laceledger.Fence {
	f := laceledger.Fence{
		Epoch:          laceunit.Epoch(m.GetEpoch()),
		MaxIncarnation: laceunit.Incarnation(m.GetNewest()),
	}
	for _, h := range m.GetMembers() {
		f.Members = append(f.Members, toHolder(h))
	}
	return f
}
