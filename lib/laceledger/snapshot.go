package laceledger

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Snapshot is the state of a shard without its ended requests, which are kept in segments.
type Snapshot struct {
	Sequence laceunit.Sequence
	Now      int64
	Cutoff   Cutoff
	Fence    Fence
	Budgets  []BudgetState
	Open     []OpenRequest
	// Next numbers the next ended request of each class.
	NextNumber [RetentionClassCount]uint64
}

// BudgetState is a budget within a snapshot.
type BudgetState struct {
	ID      laceunit.BudgetID
	Account laceunit.AccountID
	Paid    laceunit.Tokens
	Settled laceunit.Tokens
	TopUps  []TopUpState
	Grants  []GrantState
}

// TopUpState remembers a top-up.
type TopUpState struct {
	ID     laceunit.TopUpID
	Tokens laceunit.Tokens
}

// GrantState is a grant within a snapshot; its reserved tokens follow from the open requests.
type GrantState struct {
	Grant      Grant
	LastSerial uint64
	LastAdded  laceunit.Tokens
	Released   bool
}

// OpenRequest is an open request within a snapshot.
type OpenRequest struct {
	State   RequestState
	Offline bool
}

// Segment holds the ended requests of one class whose numbers are in [First, Next).
// Segments never change, so a snapshot writes only what ended since the one before.
type Segment struct {
	Class int
	First uint64
	Next  uint64
	Ended []EndedRequest
}

// EndedRequest is an ended request within a segment.
type EndedRequest struct {
	Number uint64
	State  RequestState
}

// Snapshot returns the state without its ended requests.
func (s *State) Snapshot() Snapshot {
	p := Snapshot{
		Sequence: s.sequence,
		Now:      s.now,
		Cutoff:   s.forget,
		Fence:    s.fence,
	}
	for c := range classes {
		p.NextNumber[c] = s.done[c].next
	}
	for _, b := range s.budgets {
		p.Budgets = append(p.Budgets, b.snapshot())
	}
	slices.SortFunc(p.Budgets, func(a, b BudgetState) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range s.requests {
		if r.Phase == PhaseOpen {
			p.Open = append(p.Open, OpenRequest{
				State:   *r.existing(),
				Offline: r.offline,
			})
		}
	}
	slices.SortFunc(p.Open, func(a, b OpenRequest) int { return a.State.Request.compare(b.State.Request) })
	return p
}

func (r Request) compare(o Request) int {
	return cmp.Or(cmp.Compare(r.Account, o.Account), cmp.Compare(r.ID, o.ID))
}

func (b *budget) snapshot() BudgetState {
	v := BudgetState{
		ID:      b.id,
		Account: b.account,
		Paid:    b.paid,
		Settled: b.settled,
	}
	for id, t := range b.topups {
		v.TopUps = append(v.TopUps, TopUpState{
			ID:     id,
			Tokens: t,
		})
	}
	slices.SortFunc(v.TopUps, func(a, b TopUpState) int { return cmp.Compare(a.ID, b.ID) })
	for _, g := range b.grants {
		n := GrantState{
			Grant:      g.Grant,
			LastSerial: g.serial,
			LastAdded:  g.added,
			Released:   g.released,
		}
		n.Grant.Witnesses = slices.Clone(g.Witnesses)
		v.Grants = append(v.Grants, n)
	}
	slices.SortFunc(v.Grants, func(a, b GrantState) int { return cmp.Compare(a.Grant.ID, b.Grant.ID) })
	return v
}

// Segment returns the ended requests of a class from a number on, at most limit of them.
func (s *State) Segment(class int, first uint64, limit int) Segment {
	q := &s.done[class]
	g := Segment{
		Class: class,
		First: first,
		Next:  q.next,
	}
	for _, r := range q.from(first) {
		if !s.current(r) {
			continue
		}
		if len(g.Ended) == limit {
			g.Next = r.number
			break
		}
		g.Ended = append(g.Ended, EndedRequest{
			Number: r.number,
			State:  *r.existing(),
		})
	}
	return g
}

// Newest returns the time of the segment's last end.
func (g Segment) LastEndTime() int64 {
	if len(g.Ended) == 0 {
		return 0
	}
	return g.Ended[len(g.Ended)-1].State.At
}

// Expired reports whether everything that ended at or before a time in a class is forgotten.
func (s *State) Expired(class int, newest int64) bool {
	return newest < s.forget.of(class)
}

// Restore builds a state from a snapshot and the segments of its ended requests.
func Restore(p Snapshot, segments []Segment) (*State, error) {
	s := &State{
		sequence: p.Sequence,
		now:      p.Now,
		forget:   p.Cutoff,
		fence:    p.Fence,
		budgets:  map[laceunit.BudgetID]*budget{},
		requests: map[Request]*request{},
	}
	for _, b := range p.Budgets {
		if err := s.restoreBudget(b); err != nil {
			return nil, err
		}
	}
	for _, g := range segments {
		if err := s.restoreSegment(g); err != nil {
			return nil, err
		}
	}
	for c := range classes {
		if s.done[c].next > p.NextNumber[c] {
			return nil, errors.Wrapf(ErrSnapshot, "class %d: segments reach %d, snapshot says %d", c, s.done[c].next, p.NextNumber[c])
		}
		s.done[c].next = p.NextNumber[c]
	}
	for _, o := range p.Open {
		if err := s.restoreOpen(o); err != nil {
			return nil, err
		}
	}
	s.forgetDone()
	return s, s.Check()
}

func (s *State) restoreBudget(v BudgetState) error {
	if _, ok := s.budgets[v.ID]; ok {
		return errors.Wrapf(ErrSnapshot, "budget %q twice", v.ID)
	}
	b := &budget{
		id:      v.ID,
		account: v.Account,
		paid:    v.Paid,
		settled: v.Settled,
		topups:  map[laceunit.TopUpID]laceunit.Tokens{},
		grants:  map[laceunit.GrantID]*grant{},
	}
	for _, t := range v.TopUps {
		b.topups[t.ID] = t.Tokens
	}
	for _, n := range v.Grants {
		if _, ok := b.grants[n.Grant.ID]; ok {
			return errors.Wrapf(ErrSnapshot, "grant %q twice", n.Grant.ID)
		}
		g := &grant{
			Grant:    n.Grant,
			serial:   n.LastSerial,
			added:    n.LastAdded,
			released: n.Released,
		}
		g.Reserved = 0
		b.grants[g.ID] = g
		b.outstanding += g.Tokens
	}
	s.budgets[v.ID] = b
	return nil
}

func (s *State) restoreOpen(o OpenRequest) error {
	r := &request{
		RequestState: o.State,
		offline:      o.Offline,
	}
	if r.Phase != PhaseOpen {
		return errors.Wrapf(ErrSnapshot, "request %q is not open", r.Request.ID)
	}
	if b, ok := s.budgets[r.Budget]; ok {
		if g, found := b.grants[r.Grant]; found {
			g.Reserved += r.Ceiling
		}
	}
	s.requests[r.Request] = r
	return nil
}

func (s *State) restoreSegment(g Segment) error {
	if g.Class < 0 || g.Class >= classes {
		return errors.Wrapf(ErrSnapshot, "segment of class %d", g.Class)
	}
	q := &s.done[g.Class]
	for _, n := range g.Ended {
		r := &request{
			RequestState: n.State,
			number:       n.Number,
		}
		if n.Number < q.next || n.Number < g.First || n.Number >= g.Next || r.class() != g.Class || r.Phase == PhaseOpen {
			return errors.Wrapf(ErrSnapshot, "segment [%d, %d): request %q has number %d", g.First, g.Next, r.Request.ID, n.Number)
		}
		q.next = n.Number + 1
		q.ended = append(q.ended, r)
		// A request can end more than once, after a void; the later end stands, whichever class it has.
		if o, ok := s.requests[r.Request]; !ok || o.At <= r.At {
			s.requests[r.Request] = r
		}
	}
	q.next = max(q.next, g.Next)
	return nil
}
