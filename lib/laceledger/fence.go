package laceledger

import (
	"slices"

	"lacewingcove/lib/laceunit"
)

// Fence excludes the holders that were removed from the membership: it closes their grants and rejects new ones.
// It applies to the whole shard, not to one budget.
//
// A process that is removed while it is paused is not aware of the removal. Without the fence it could open a grant
// when it resumes, and run a request that the other members consider never started.
type Fence struct {
	// Epoch is the membership epoch, which orders the fences. All fences of an epoch have the same content.
	Epoch laceunit.Epoch
	// Members are the holders that remain in the membership.
	Members []laceunit.Holder
	// MaxIncarnation is an upper bound of the incarnations of all processes that have joined so far. Processes with a
	// higher incarnation joined later, and the fence does not apply to them.
	MaxIncarnation laceunit.Incarnation
}

// BudgetID implements Record; a fence belongs to no budget.
func (r Fence) BudgetID() laceunit.BudgetID { return "" }

// excludes reports whether the fence excludes a holder.
func (r Fence) excludes(h laceunit.Holder) bool {
	return r.Epoch > 0 && h.Incarnation <= r.MaxIncarnation && !slices.Contains(r.Members, h)
}

// Fence returns the current fence.
func (s *State) Fence() Fence {
	return s.fence
}

func (tx *transaction) applyFence(r Fence) Verdict {
	switch {
	case r.Epoch == 0 || slices.ContainsFunc(r.Members, func(h laceunit.Holder) bool { return !validHolder(h) }):
		return Verdict{Result: Invalid}
	case r.Epoch == tx.fence.Epoch:
		return Verdict{Result: Repeated}
	case r.Epoch < tx.fence.Epoch:
		return Verdict{Result: Superseded}
	}
	r.MaxIncarnation = max(r.MaxIncarnation, tx.fence.MaxIncarnation)
	tx.fence = r
	for _, k := range tx.openGrants() {
		b := tx.budget(k.budget)
		if g := tx.grant(b, k.grant); r.excludes(g.Holder) {
			g.Closed = true
			tx.trim(b, g)
		}
	}
	return Verdict{Result: Accepted}
}

// openGrants returns the open grants of the state and of this transaction, in a deterministic order.
func (tx *transaction) openGrants() []grantKey {
	var keys []grantKey
	for id, b := range tx.state.budgets {
		for g := range b.grants {
			keys = append(keys, grantKey{budget: id, grant: g})
		}
	}
	for k := range tx.grants {
		if b, ok := tx.state.budgets[k.budget]; !ok || b.grants[k.grant] == nil {
			keys = append(keys, k)
		}
	}
	keys = slices.DeleteFunc(keys, func(k grantKey) bool {
		b := tx.budget(k.budget)
		g := tx.grant(b, k.grant)
		return g == nil || g.Closed
	})
	slices.SortFunc(keys, grantKey.compare)
	return keys
}
