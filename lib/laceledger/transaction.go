package laceledger

import (
	"cmp"

	"lacewingcove/lib/laceunit"
)

type grantKey struct {
	budget laceunit.BudgetID
	grant  laceunit.GrantID
}

func (k grantKey) compare(o grantKey) int {
	return cmp.Or(cmp.Compare(k.budget, o.budget), cmp.Compare(k.grant, o.grant))
}

type topUpKey struct {
	budget laceunit.BudgetID
	topUp  laceunit.TopUpID
}

func grantKeyOf(b *budget, id laceunit.GrantID) grantKey {
	return grantKey{
		budget: b.id,
		grant:  id,
	}
}

func topUpKeyOf(b *budget, id laceunit.TopUpID) topUpKey {
	return topUpKey{
		budget: b.id,
		topUp:  id,
	}
}

// transaction holds the uncommitted changes of one entry as a copy-on-write overlay of the state.
type transaction struct {
	state    *State
	now      int64
	cutoff   Cutoff
	fence    Fence
	sequence laceunit.Sequence
	budgets  map[laceunit.BudgetID]*budget
	topUps   map[topUpKey]laceunit.Tokens
	// grants maps a deleted grant to nil.
	grants   map[grantKey]*grant
	requests map[Request]*request
	// ended lists requests in the order in which they ended.
	ended []*request
}

func newTransaction(s *State, e Entry) *transaction {
	return &transaction{
		state:    s,
		now:      max(s.now, e.At),
		cutoff:   s.cutoff.later(e.Cutoff),
		fence:    s.fence,
		sequence: e.Sequence,
		budgets:  map[laceunit.BudgetID]*budget{},
		topUps:   map[topUpKey]laceunit.Tokens{},
		grants:   map[grantKey]*grant{},
		requests: map[Request]*request{},
	}
}

// budget returns a copy that may be modified, or nil.
func (tx *transaction) budget(id laceunit.BudgetID) *budget {
	if b, ok := tx.budgets[id]; ok {
		return b
	}
	b, ok := tx.state.budgets[id]
	if !ok {
		return nil
	}
	c := *b
	tx.budgets[id] = &c
	return &c
}

func (tx *transaction) topUp(b *budget, id laceunit.TopUpID) (laceunit.Tokens, bool) {
	if t, ok := tx.topUps[topUpKeyOf(b, id)]; ok {
		return t, true
	}
	t, ok := b.topUps[id]
	return t, ok
}

// grant returns a copy that may be modified, or nil.
func (tx *transaction) grant(b *budget, id laceunit.GrantID) *grant {
	k := grantKeyOf(b, id)
	if g, ok := tx.grants[k]; ok {
		return g
	}
	g, ok := b.grants[id]
	if !ok {
		return nil
	}
	c := *g
	tx.grants[k] = &c
	return &c
}

// request returns a request, or nil if it is unknown or past its retention; the result must not be modified.
func (tx *transaction) request(id Request) *request {
	if r, ok := tx.requests[id]; ok {
		return r
	}
	r, ok := tx.state.requests[id]
	if !ok || (r.Phase != PhaseOpen && r.At < tx.cutoff.forClass(r.class())) {
		return nil
	}
	return r
}

// putRequest inserts or replaces a request. An ended request is also queued for expiry.
func (tx *transaction) putRequest(r request) *request {
	r.At = tx.now
	tx.requests[r.Request] = &r
	if r.Phase != PhaseOpen {
		tx.ended = append(tx.ended, &r)
	}
	return &r
}

// trim returns the free tokens of a closed grant beyond its offline allowance to the budget and deletes a closed grant
// without tokens. It also caps the offline allowance of any grant at the grant's tokens.
func (tx *transaction) trim(b *budget, g *grant) {
	if g.Closed {
		if excess := g.free() - g.Offline; excess > 0 {
			g.Tokens -= excess
			b.outstanding -= excess
		}
	}
	g.Offline = min(g.Offline, g.Tokens)
	if g.Closed && g.Tokens == 0 {
		tx.grants[grantKeyOf(b, g.ID)] = nil
	}
}

// unreserve releases the reservation of an open request to its grant.
func (tx *transaction) unreserve(b *budget, r *request) {
	// A closed grant without tokens has been deleted; only requests with a ceiling of zero can outlive it.
	g := tx.grant(b, r.Grant)
	if g == nil {
		return
	}
	g.Reserved -= r.Ceiling
	if r.offline && !g.released {
		g.Offline += r.Ceiling
	}
	tx.trim(b, g)
}

// bill settles tokens of an open request from its reservation and releases the rest of the reservation to the grant.
func (tx *transaction) bill(b *budget, r *request, tokens laceunit.Tokens) {
	g := tx.grant(b, r.Grant)
	if g == nil {
		return
	}
	g.Reserved -= r.Ceiling
	if r.offline && !g.released {
		g.Offline += r.Ceiling - tokens
	}
	tx.charge(b, g, tokens)
}

// charge moves free tokens of a grant to the settled tokens of the budget.
func (tx *transaction) charge(b *budget, g *grant, tokens laceunit.Tokens) {
	g.Tokens -= tokens
	b.outstanding -= tokens
	b.settled += tokens
	tx.trim(b, g)
}

// commit writes the changes to the state and expires requests whose retention has passed.
func (tx *transaction) commit() {
	s := tx.state
	s.sequence, s.now, s.cutoff, s.fence = tx.sequence, tx.now, tx.cutoff, tx.fence
	if s.budgets == nil {
		s.budgets = map[laceunit.BudgetID]*budget{}
		s.requests = map[Request]*request{}
	}
	for id, b := range tx.budgets {
		if b.topUps == nil {
			b.topUps = map[laceunit.TopUpID]laceunit.Tokens{}
			b.grants = map[laceunit.GrantID]*grant{}
		}
		s.budgets[id] = b
	}
	for k, t := range tx.topUps {
		s.budgets[k.budget].topUps[k.topUp] = t
	}
	for k, g := range tx.grants {
		if g == nil {
			delete(s.budgets[k.budget].grants, k.grant)
			continue
		}
		s.budgets[k.budget].grants[k.grant] = g
	}
	for id, r := range tx.requests {
		s.requests[id] = r
	}
	for _, r := range tx.ended {
		s.ended[r.class()].push(r)
	}
	s.expireEnded()
}
