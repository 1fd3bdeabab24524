package laceledger

import (
	"math"
	"slices"

	"lacewingcove/lib/laceunit"
)

// MaxStringBytes limits the length of each string in a record, which keeps a record far smaller than an entry may be.
const MaxStringBytes = 256

// MaxWitnesses limits the number of witnesses of a grant; two are in use.
const MaxWitnesses = 16

// apply validates one record and adds its effect to the transaction.
func (tx *transaction) apply(r Record) Verdict {
	if f, ok := r.(Fence); ok {
		return tx.applyFence(f)
	}
	if !validRecord(r) {
		return Verdict{Result: Invalid}
	}
	if t, ok := r.(TopUp); ok {
		return tx.applyTopUp(t)
	}
	b := tx.budget(r.BudgetID())
	if b == nil {
		return Verdict{Result: Missing}
	}
	v := tx.applyTo(b, r)
	v.Available = b.available()
	return v
}

func (tx *transaction) applyTo(b *budget, r Record) Verdict {
	switch r := r.(type) {
	case Open:
		return tx.applyOpen(b, r)
	case Return:
		return tx.applyReturn(b, r)
	case Close:
		return tx.applyClose(b, r)
	case Release:
		return tx.applyRelease(b, r)
	case Intent:
		return tx.applyIntent(b, r)
	case Takeover:
		return tx.applyTakeover(b, r)
	case Settle:
		return tx.applySettle(b, r)
	case Void:
		return tx.applyVoid(b, r)
	case Offline:
		return tx.applyOffline(b, r)
	default:
		return Verdict{Result: Invalid}
	}
}

func (tx *transaction) applyTopUp(r TopUp) Verdict {
	b := tx.budget(r.Budget)
	if b == nil {
		b = &budget{
			id:      r.Budget,
			account: r.Account,
		}
	}
	if b.account != r.Account {
		return Verdict{
			Result:    Conflict,
			Available: b.available(),
		}
	}
	if t, ok := tx.topUp(b, r.ID); ok {
		v := Verdict{
			Result:    Repeated,
			Available: b.available(),
		}
		if t != r.Tokens {
			v.Result = Conflict
		}
		return v
	}
	if r.Tokens > math.MaxInt64-b.paid {
		return Verdict{
			Result:    Invalid,
			Available: b.available(),
		}
	}
	b.paid += r.Tokens
	tx.budgets[r.Budget] = b
	tx.topUps[topUpKeyOf(b, r.ID)] = r.Tokens
	return Verdict{
		Result:    Accepted,
		Available: b.available(),
	}
}

func (tx *transaction) applyOpen(b *budget, r Open) Verdict {
	if tx.fence.excludes(r.Holder) {
		return Verdict{Result: Closed}
	}
	g := tx.grant(b, r.Grant)
	if v, ok := checkOpen(g, r); !ok {
		return v
	}
	added := min(r.Tokens, b.available())
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
		tx.grants[grantKeyOf(b, r.Grant)] = g
	}
	g.Tokens += added
	b.outstanding += added
	g.Offline = min(r.Offline, g.Tokens)
	g.Witnesses = slices.Clone(r.Witnesses)
	if r.Serial > 0 {
		g.lastSerial, g.lastAdded = r.Serial, added
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
		// The grant was closed and deleted. Recreating it would be inconsistent with the tokens that the holder counts on.
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
	case r.Serial > 0 && r.Serial <= g.lastSerial:
		v := Verdict{
			Result:  Repeated,
			Offline: g.Offline,
		}
		if r.Serial == g.lastSerial {
			v.Granted = g.lastAdded
		}
		return v, false
	}
	return Verdict{}, true
}

func (tx *transaction) applyReturn(b *budget, r Return) Verdict {
	g := tx.grant(b, r.Grant)
	switch {
	case g == nil || g.Closed:
		return Verdict{Result: Closed}
	case r.Serial > 0 && r.Serial <= g.lastSerial:
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
		g.lastSerial, g.lastAdded = r.Serial, 0
	}
	tx.trim(b, g)
	return Verdict{
		Result:  Accepted,
		Offline: g.Offline,
	}
}

func (tx *transaction) applyClose(b *budget, r Close) Verdict {
	g := tx.grant(b, r.Grant)
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
	tx.trim(b, g)
	return Verdict{
		Result:  Accepted,
		Offline: g.Offline,
	}
}

func (tx *transaction) applyRelease(b *budget, r Release) Verdict {
	g := tx.grant(b, r.Grant)
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
	returned := g.free()
	g.released = true
	g.Offline = 0
	tx.trim(b, g)
	return Verdict{
		Result:  Accepted,
		Granted: returned,
	}
}

func validIDs[T ~string](ids ...T) bool {
	for _, id := range ids {
		if id == "" || len(id) > MaxStringBytes {
			return false
		}
	}
	return true
}

func nonNegative(tokens ...laceunit.Tokens) bool {
	return !slices.ContainsFunc(tokens, func(t laceunit.Tokens) bool { return t < 0 })
}
