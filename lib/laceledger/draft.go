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

func keyOf(b *budget, id laceunit.GrantID) grantKey {
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

// draft holds the changes of one entry apart from the state that they are based on.
type draft struct {
	state    *State
	now      int64
	forget   Cutoff
	fence    Fence
	sequence laceunit.Sequence
	budgets  map[laceunit.BudgetID]*budget
	topups   map[topUpKey]laceunit.Tokens
	// grants holds nil for a grant that was removed.
	grants   map[grantKey]*grant
	requests map[Request]*request
	// ended lists requests in the order in which they ended.
	ended []*request
}

func newDraft(s *State, e Entry) *draft {
	return &draft{
		state:    s,
		now:      max(s.now, e.At),
		forget:   s.forget.later(e.Cutoff),
		fence:    s.fence,
		sequence: e.Sequence,
		budgets:  map[laceunit.BudgetID]*budget{},
		topups:   map[topUpKey]laceunit.Tokens{},
		grants:   map[grantKey]*grant{},
		requests: map[Request]*request{},
	}
}

// budget returns a copy that may be changed, or nil.
func (d *draft) budget(id laceunit.BudgetID) *budget {
	if b, ok := d.budgets[id]; ok {
		return b
	}
	b, ok := d.state.budgets[id]
	if !ok {
		return nil
	}
	c := *b
	d.budgets[id] = &c
	return &c
}

func (d *draft) topUp(b *budget, id laceunit.TopUpID) (laceunit.Tokens, bool) {
	if t, ok := d.topups[topUpKeyOf(b, id)]; ok {
		return t, true
	}
	t, ok := b.topups[id]
	return t, ok
}

// grant returns a copy that may be changed, or nil.
func (d *draft) grant(b *budget, id laceunit.GrantID) *grant {
	k := keyOf(b, id)
	if g, ok := d.grants[k]; ok {
		return g
	}
	g, ok := b.grants[id]
	if !ok {
		return nil
	}
	c := *g
	d.grants[k] = &c
	return &c
}

// request returns what is known of a request, or nil; it must not be changed.
func (d *draft) request(id Request) *request {
	if r, ok := d.requests[id]; ok {
		return r
	}
	r, ok := d.state.requests[id]
	if !ok || (r.Phase != PhaseOpen && r.At < d.forget.of(r.class())) {
		return nil
	}
	return r
}

// put replaces a request; a request that is no longer open joins the retention queue.
func (d *draft) put(r request) *request {
	r.At = d.now
	d.requests[r.Request] = &r
	if r.Phase != PhaseOpen {
		d.ended = append(d.ended, &r)
	}
	return &r
}

// trim gives back what a closed grant holds beyond its offline part and removes a closed grant that holds nothing.
func (d *draft) trim(b *budget, g *grant) {
	if g.Closed {
		if excess := g.free() - g.Offline; excess > 0 {
			g.Tokens -= excess
			b.outstanding -= excess
		}
	}
	g.Offline = min(g.Offline, g.Tokens)
	if g.Closed && g.Tokens == 0 {
		d.grants[keyOf(b, g.ID)] = nil
	}
}

// unreserve gives the ceiling of an open request back to its grant.
func (d *draft) unreserve(b *budget, r *request) {
	// A closed grant without tokens is gone; only requests with a ceiling of zero can outlive it.
	g := d.grant(b, r.Grant)
	if g == nil {
		return
	}
	g.Reserved -= r.Ceiling
	if r.offline && !g.released {
		g.Offline += r.Ceiling
	}
	d.trim(b, g)
}

// bill moves tokens of an open request from its grant to the settled ones and gives the rest of the ceiling back.
func (d *draft) bill(b *budget, r *request, tokens laceunit.Tokens) {
	g := d.grant(b, r.Grant)
	if g == nil {
		return
	}
	g.Reserved -= r.Ceiling
	if r.offline && !g.released {
		g.Offline += r.Ceiling - tokens
	}
	d.charge(b, g, tokens)
}

// charge moves free tokens of a grant to the settled ones.
func (d *draft) charge(b *budget, g *grant, tokens laceunit.Tokens) {
	g.Tokens -= tokens
	b.outstanding -= tokens
	b.settled += tokens
	d.trim(b, g)
}

func (d *draft) merge() {
	s := d.state
	s.sequence, s.now, s.forget, s.fence = d.sequence, d.now, d.forget, d.fence
	if s.budgets == nil {
		s.budgets = map[laceunit.BudgetID]*budget{}
		s.requests = map[Request]*request{}
	}
	for id, b := range d.budgets {
		if b.topups == nil {
			b.topups = map[laceunit.TopUpID]laceunit.Tokens{}
			b.grants = map[laceunit.GrantID]*grant{}
		}
		s.budgets[id] = b
	}
	for k, t := range d.topups {
		s.budgets[k.budget].topups[k.topUp] = t
	}
	for k, g := range d.grants {
		if g == nil {
			delete(s.budgets[k.budget].grants, k.grant)
			continue
		}
		s.budgets[k.budget].grants[k.grant] = g
	}
	for id, r := range d.requests {
		s.requests[id] = r
	}
	for _, r := range d.ended {
		s.done[r.class()].push(r)
	}
	s.forgetDone()
}
