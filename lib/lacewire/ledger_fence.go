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
		m.Members = append(m.Members, holderToLedger(h))
	}
	return m
}

// toFence maps a fence; a missing message is the zero fence, the state before the first one.
func toFence(m *LedgerFence) laceledger.Fence {
	f := laceledger.Fence{
		Epoch:          laceunit.Epoch(m.GetEpoch()),
		MaxIncarnation: laceunit.Incarnation(m.GetNewest()),
	}
	for _, h := range m.GetMembers() {
		f.Members = append(f.Members, holderFromLedger(h))
	}
	return f
}
