package lacequota

import (
	"slices"
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// Restored is how far a budget covers the history that the store lost when an era began.
type Restored struct {
	Era laceplatform.Era
	// From is the revision of the restored budget, zero if there was none or an older build wrote it.
	From laceplatform.Revision
	// After is that of the newest lost budget that is merged, at first that of the restored one. ClosedCap and ClosedUsed
	// are the ones of that budget.
	After      laceplatform.Revision
	ClosedCap  laceunit.Tokens
	ClosedUsed laceunit.Tokens
}

// maxFormer bounds the copies of lost budgets that are kept until they are merged.
const maxFormer = 4

// cachedBudget is a stored budget with its revision.
type cachedBudget struct {
	budget   Budget
	revision laceplatform.Revision
	// former are copies from earlier eras. They are merged into budget, but not into the stored one yet.
	former []cachedBudget
}

// next returns the copy that follows when an entry was read, in whose era the store is. Copies of earlier eras are merged
// into it, since the store may have lost them.
func (c cachedBudget) next(era laceplatform.Era, e laceplatform.Entry) (cachedBudget, error) {
	b, err := Decode(e.Value)
	if err != nil {
		return c, err
	}
	if e.Revision != 0 {
		era = e.Revision.Era()
	}
	n := cachedBudget{
		budget:   b.beginEra(era, e.Revision),
		revision: e.Revision,
		former:   c.former,
	}
	if c.revision != 0 && c.revision.Era() < era {
		c.former = nil
		n.former = append(slices.Clone(n.former), c)
		n.former = n.former[max(len(n.former)-maxFormer, 0):]
	}
	if c.revision.Era() == era && len(c.former) == 0 && b.lacks(c.budget, era) {
		n.former = append(slices.Clone(n.former), c)
	}
	for _, f := range n.former {
		n.budget = n.budget.mergeLost(f.budget, f.revision.Era(), era)
	}
	return n, nil
}

// lacks reports whether a stored budget does not follow a former one of this era: the store executed a write of an earlier
// era late, whose revision it had given out again.
func (b Budget) lacks(former Budget, era laceplatform.Era) bool {
	switch {
	case former.Restored.Era != era:
		return false
	case b.Restored.Era < era:
		// Writes of older builds have no After.
		return b.After != 0 && b.After.Era() < era
	default:
		return b.Restored.From != 0 && b.Restored.From != former.Restored.From
	}
}

// withFormer returns a copy that has to be merged with another one of an earlier era.
func (c cachedBudget) withFormer(former cachedBudget) cachedBudget {
	if c.revision == 0 {
		return former
	}
	c.former = append(slices.Clone(c.former), former)
	if era := c.revision.Era(); era > former.revision.Era() {
		c.budget = c.budget.mergeLost(former.budget, former.revision.Era(), era)
	}
	return c
}

// isEmpty reports whether a budget has never been written.
func (b Budget) isEmpty() bool {
	return b.ClosedCap == 0 && len(b.Allocations) == 0 && b.Version == 0
}

// beginEra returns a copy that records what a budget with a revision covers.
func (b Budget) beginEra(era laceplatform.Era, revision laceplatform.Revision) Budget {
	if era <= b.Restored.Era {
		return b
	}
	c := b.clone()
	c.Restored = Restored{
		Era:        era,
		After:      b.After,
		ClosedCap:  b.ClosedCap,
		ClosedUsed: b.ClosedUsed,
	}
	if b.After != 0 {
		c.Restored.From = revision
	}
	if b.After.Era() == era {
		// It was written in this era without a copy of what was restored.
		c.Restored.After = 0
	}
	return c
}

// mergeLost returns a copy that covers a budget of an earlier era, which the store may have lost. Allocations that their
// holders have restated in this era are kept. The committed tokens never become less than those of the lost budget,
// apart from what holders have restated.
func (b Budget) mergeLost(lost Budget, lostEra, era laceplatform.Era) Budget {
	// Writes of older builds drop After; only a history of consecutive eras can be ordered.
	ordered := b.Restored.After != 0 && lost.After != 0 && lostEra+1 == era
	if ordered && lost.After < b.Restored.After {
		return b
	}
	c := b.clone()
	if lost.Version > c.Version {
		c.Paid, c.Version = lost.Paid, lost.Version
	}
	for h, a := range lost.Allocations {
		own, found := c.Allocations[h]
		switch {
		case !found:
			c.Allocations[h] = a
		case own.Era < era:
			c.Allocations[h] = own.atLeast(a)
		}
	}
	if ordered && lost.After > b.Restored.After {
		c.Restored.After = lost.After
		for h, a := range b.Allocations {
			if _, open := lost.Allocations[h]; !open && a.Era < era {
				// It was closed in the lost history, and counts in the closed tokens.
				delete(c.Allocations, h)
			}
		}
	}
	c.ClosedCap += max(lost.ClosedCap-c.Restored.ClosedCap, 0)
	c.ClosedUsed += max(lost.ClosedUsed-c.Restored.ClosedUsed, 0)
	if !ordered {
		// From now on it is not known which holders the lost history had closed.
		c.Restored.After = 0
	}
	c.Restored.ClosedCap = max(c.Restored.ClosedCap, lost.ClosedCap)
	c.Restored.ClosedUsed = max(c.Restored.ClosedUsed, lost.ClosedUsed)
	return c
}

// atLeast returns the newer of two allocations of a holder, with the greater cap.
func (a Allocation) atLeast(other Allocation) Allocation {
	newer := a
	if a.SentAt.before(other.SentAt) {
		newer = other
	}
	newer.Cap, newer.Used = max(a.Cap, other.Cap), max(a.Used, other.Used)
	newer.Ceiling = max(a.Ceiling, other.Ceiling)
	newer.Era = a.Era
	return newer
}

// charge is an addition to the tokens that are charged elsewhere.
type charge struct {
	at     time.Time
	tokens laceunit.Tokens
}

// charge changes the tokens that are charged elsewhere.
func (p *portion) charge(now time.Time, tokens laceunit.Tokens) {
	p.chargedElsewhere += tokens
	if tokens > 0 {
		p.charges = append(recent(p.charges, now), charge{
			at:     now,
			tokens: tokens,
		})
	}
}

// recent returns the charges that a backup may lack.
func recent(charges []charge, now time.Time) []charge {
	return slices.DeleteFunc(charges, func(c charge) bool { return now.Sub(c.at) > maxBackupAge })
}

// BeginEra makes the wallet restate its allocations in a new era of the store, and reports whether the era is new. Tokens
// that were charged elsewhere lately become part of the own allocation again, since the store may have lost the charge.
func (w *Wallet) BeginEra(now time.Time, era laceplatform.Era) bool {
	if era <= w.era {
		return false
	}
	w.era = era
	for _, p := range w.portions {
		for _, c := range recent(p.charges, now) {
			p.chargedElsewhere -= min(c.tokens, p.chargedElsewhere)
		}
		p.charges = nil
	}
	return true
}

// mustRestate reports whether the store may lack what this instance holds or has spent.
func (w *Wallet) mustRestate(p *portion) bool { return p.era < w.era && !p.updatedAt.IsZero() }

// restate returns a copy of a budget whose allocation of this instance covers what it may spend, and in which it is not
// closed.
func (w *Wallet) restate(b Budget, p *portion) Budget {
	own := b.Allocations[w.self]
	own.Cap = max(own.Cap, p.cap-p.chargedElsewhere)
	return b.withAllocation(w.self, own)
}
