package laceledger

import (
	"slices"

	"lacewingcove/lib/laceunit"
)

// Fence shuts out the holders that a membership has removed: their grants are closed and they open no new ones.
// It belongs to the shard and not to a budget.
//
// A process that was removed while it was paused does not know it. Without the fence it could open a grant when it
// wakes, and run a request that others believe never started.
type Fence struct {
	// Epoch orders the fences; an epoch has one content.
	Epoch laceunit.Epoch
	// Members are the holders that stay.
	Members []laceunit.Holder
	// Newest is at least the incarnation of every process that has joined so far; later ones are not concerned.
	MaxIncarnation laceunit.Incarnation
}

// BudgetID implements Record; a fence names no budget.
func (r Fence) BudgetID() laceunit.BudgetID { return "" }

// bars reports whether a holder is shut out.
func (r Fence) bars(h laceunit.Holder) bool {
	return r.Epoch > 0 && h.Incarnation <= r.MaxIncarnation && !slices.Contains(r.Members, h)
}

// Fence returns the fence in force.
func (s *State) Fence() Fence {
	return s.fence
}

func (d *draft) applyFence(r Fence) Verdict {
	switch {
	case r.Epoch == 0 || slices.ContainsFunc(r.Members, func(h laceunit.Holder) bool { return !holder(h) }):
		return Verdict{Result: Invalid}
	case r.Epoch == d.fence.Epoch:
		return Verdict{Result: Repeated}
	case r.Epoch < d.fence.Epoch:
		return Verdict{Result: Superseded}
	}
	r.MaxIncarnation = max(r.MaxIncarnation, d.fence.MaxIncarnation)
	d.fence = r
	for _, k := range d.openGrants() {
		b := d.budget(k.budget)
		if g := d.grant(b, k.grant); r.bars(g.Holder) {
			g.Closed = true
			d.trim(b, g)
		}
	}
	return Verdict{Result: Accepted}
}

// openGrants returns the open grants of the state and of this draft, in a fixed order.
func (d *draft) openGrants() []grantKey {
	var keys []grantKey
	for id, b := range d.state.budgets {
		for g := range b.grants {
			keys = append(keys, grantKey{budget: id, grant: g})
		}
	}
	for k := range d.grants {
		if b, ok := d.state.budgets[k.budget]; !ok || b.grants[k.grant] == nil {
			keys = append(keys, k)
		}
	}
	keys = slices.DeleteFunc(keys, func(k grantKey) bool {
		b := d.budget(k.budget)
		g := d.grant(b, k.grant)
		return g == nil || g.Closed
	})
	slices.SortFunc(keys, grantKey.compare)
	return keys
}
