package laceledger

import (
	"math"
	"slices"

	"lacewingcove/lib/laceunit"
)

// MaxNameBytes bounds every id in a record, so that a record stays far below the size of an entry.
const MaxStringBytes = 256

// MaxWitnesses bounds the witnesses of a grant; two are in use.
const MaxWitnesses = 16

// apply decides on one record and notes its effect.
func (d *draft) apply(r Record) Verdict {
	if f, ok := r.(Fence); ok {
		return d.applyFence(f)
	}
	if !valid(r) {
		return Verdict{Result: Invalid}
	}
	if t, ok := r.(TopUp); ok {
		return d.applyTopUp(t)
	}
	b := d.budget(r.BudgetID())
	if b == nil {
		return Verdict{Result: Missing}
	}
	v := d.applyTo(b, r)
	v.Available = b.left()
	return v
}

func (d *draft) applyTo(b *budget, r Record) Verdict {
	switch r := r.(type) {
	case Open:
		return d.applyOpen(b, r)
	case Return:
		return d.applyReturn(b, r)
	case Close:
		return d.applyClose(b, r)
	case Release:
		return d.applyRelease(b, r)
	case Intent:
		return d.applyIntent(b, r)
	case Takeover:
		return d.applyTakeover(b, r)
	case Settle:
		return d.applySettle(b, r)
	case Void:
		return d.applyVoid(b, r)
	case Offline:
		return d.applyOffline(b, r)
	default:
		return Verdict{Result: Invalid}
	}
}

func (d *draft) applyTopUp(r TopUp) Verdict {
	b := d.budget(r.Budget)
	if b == nil {
		b = &budget{
			id:      r.Budget,
			account: r.Account,
		}
	}
	if b.account != r.Account {
		return Verdict{
			Result:    Conflict,
			Available: b.left(),
		}
	}
	if t, ok := d.topUp(b, r.ID); ok {
		v := Verdict{
			Result:    Repeated,
			Available: b.left(),
		}
		if t != r.Tokens {
			v.Result = Conflict
		}
		return v
	}
	if r.Tokens > math.MaxInt64-b.paid {
		return Verdict{
			Result:    Invalid,
			Available: b.left(),
		}
	}
	b.paid += r.Tokens
	d.budgets[r.Budget] = b
	d.topups[topUpKeyOf(b, r.ID)] = r.Tokens
	return Verdict{
		Result:    Accepted,
		Available: b.left(),
	}
}

func (d *draft) applyOpen(b *budget, r Open) Verdict {
	if d.fence.bars(r.Holder) {
		return Verdict{Result: Closed}
	}
	g := d.grant(b, r.Grant)
	if v, ok := checkOpen(g, r); !ok {
		return v
	}
	added := min(r.Tokens, b.left())
	if added < min(r.MinTokens, r.Tokens) || (added == 0 && r.Tokens > 0) {
		v := Verdict{Result: InsufficientTokens}
		if g != nil {
			v.Offline = g.Offline
		}
		return v
	}
	if g == nil {
		g = &grant{Grant: Grant{
			ID:     r.Grant,
			Holder: r.Holder,
		}}
		d.grants[keyOf(b, r.Grant)] = g
	}
	g.Tokens += added
	b.outstanding += added
	g.Offline = min(r.Offline, g.Tokens)
	g.Witnesses = slices.Clone(r.Witnesses)
	if r.Serial > 0 {
		g.serial, g.added = r.Serial, added
	}
	return Verdict{
		Result:  Accepted,
		Granted: added,
		Offline: g.Offline,
	}
}

func checkOpen(g *grant, r Open) (Verdict, bool) {
	switch {
	case g == nil && r.Serial > 1:
		// The grant was closed and emptied; creating it again would contradict what the holder believes it holds.
		return Verdict{Result: Closed}, false
	case g == nil && r.Tokens == 0:
		return Verdict{Result: Invalid}, false
	case g == nil:
		return Verdict{}, true
	case g.Holder != r.Holder:
		return Verdict{Result: Conflict}, false
	case g.Closed:
		return Verdict{
			Result:  Closed,
			Offline: g.Offline,
		}, false
	case r.Serial > 0 && r.Serial <= g.serial:
		v := Verdict{
			Result:  Repeated,
			Offline: g.Offline,
		}
		if r.Serial == g.serial {
			v.Granted = g.added
		}
		return v, false
	}
	return Verdict{}, true
}

func (d *draft) applyReturn(b *budget, r Return) Verdict {
	g := d.grant(b, r.Grant)
	switch {
	case g == nil || g.Closed:
		return Verdict{Result: Closed}
	case r.Serial > 0 && r.Serial <= g.serial:
		return Verdict{
			Result:  Repeated,
			Offline: g.Offline,
		}
	case r.Tokens > g.free():
		return Verdict{
			Result:  InsufficientTokens,
			Offline: g.Offline,
		}
	}
	g.Tokens -= r.Tokens
	b.outstanding -= r.Tokens
	g.Offline = min(g.Offline, r.Offline)
	if r.Serial > 0 {
		g.serial, g.added = r.Serial, 0
	}
	d.trim(b, g)
	return Verdict{
		Result:  Accepted,
		Offline: g.Offline,
	}
}

func (d *draft) applyClose(b *budget, r Close) Verdict {
	g := d.grant(b, r.Grant)
	if g == nil {
		return Verdict{Result: Closed}
	}
	if g.Closed {
		return Verdict{
			Result:  Repeated,
			Offline: g.Offline,
		}
	}
	g.Closed = true
	d.trim(b, g)
	return Verdict{
		Result:  Accepted,
		Offline: g.Offline,
	}
}

func (d *draft) applyRelease(b *budget, r Release) Verdict {
	g := d.grant(b, r.Grant)
	switch {
	case g == nil:
		return Verdict{Result: Closed}
	case !g.Closed:
		return Verdict{
			Result:  Invalid,
			Offline: g.Offline,
		}
	case g.released:
		return Verdict{Result: Repeated}
	}
	held := g.free()
	g.released = true
	g.Offline = 0
	d.trim(b, g)
	return Verdict{
		Result:  Accepted,
		Granted: held,
	}
}

func named[T ~string](ids ...T) bool {
	for _, id := range ids {
		if id == "" || len(id) > MaxStringBytes {
			return false
		}
	}
	return true
}

func sized(tokens ...laceunit.Tokens) bool {
	return !slices.ContainsFunc(tokens, func(t laceunit.Tokens) bool { return t < 0 })
}
