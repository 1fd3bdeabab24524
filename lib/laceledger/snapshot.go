package laceledger

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Snapshot is the state of a shard without its ended requests, which are stored in segments.
type Snapshot struct {
	Sequence laceunit.Sequence
	Now      int64
	Cutoff   Cutoff
	Fence    Fence
	Budgets  []BudgetState
	Open     []OpenRequest
	// NextNumber holds, for each retention class, the number of the next ended request.
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

// TopUpState is a top-up within a snapshot.
type TopUpState struct {
	ID     laceunit.TopUpID
	Tokens laceunit.Tokens
}

// GrantState is a grant within a snapshot; its reserved tokens are recomputed from the open requests.
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
// Segments are immutable, so a snapshot writes only the requests that ended since the previous one.
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
	snapshot := Snapshot{
		Sequence: s.sequence,
		Now:      s.now,
		Cutoff:   s.cutoff,
		Fence:    s.fence,
	}
	for c := range classCount {
		snapshot.NextNumber[c] = s.ended[c].next
	}
	for _, b := range s.budgets {
		snapshot.Budgets = append(snapshot.Budgets, b.snapshot())
	}
	slices.SortFunc(snapshot.Budgets, func(a, b BudgetState) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range s.requests {
		if r.Phase == PhaseOpen {
			snapshot.Open = append(snapshot.Open, OpenRequest{
				State:   *r.cloneState(),
				Offline: r.offline,
			})
		}
	}
	slices.SortFunc(snapshot.Open, func(a, b OpenRequest) int { return a.State.Request.compare(b.State.Request) })
	return snapshot
}

func (r Request) compare(o Request) int {
	return cmp.Or(cmp.Compare(r.Account, o.Account), cmp.Compare(r.ID, o.ID))
}

func (b *budget) snapshot() BudgetState {
	state := BudgetState{
		ID:      b.id,
		Account: b.account,
		Paid:    b.paid,
		Settled: b.settled,
	}
	for id, t := range b.topUps {
		state.TopUps = append(state.TopUps, TopUpState{
			ID:     id,
			Tokens: t,
		})
	}
	slices.SortFunc(state.TopUps, func(a, b TopUpState) int { return cmp.Compare(a.ID, b.ID) })
	for _, g := range b.grants {
		grantState := GrantState{
			Grant:      g.Grant,
			LastSerial: g.lastSerial,
			LastAdded:  g.lastAdded,
			Released:   g.released,
		}
		grantState.Grant.Witnesses = slices.Clone(g.Witnesses)
		state.Grants = append(state.Grants, grantState)
	}
	slices.SortFunc(state.Grants, func(a, b GrantState) int { return cmp.Compare(a.Grant.ID, b.Grant.ID) })
	return state
}

// Segment returns at most limit ended requests of a class, starting at a number.
func (s *State) Segment(class int, first uint64, limit int) Segment {
	q := &s.ended[class]
	segment := Segment{
		Class: class,
		First: first,
		Next:  q.next,
	}
	for _, r := range q.from(first) {
		if !s.isCurrent(r) {
			continue
		}
		if len(segment.Ended) == limit {
			segment.Next = r.number
			break
		}
		segment.Ended = append(segment.Ended, EndedRequest{
			Number: r.number,
			State:  *r.cloneState(),
		})
	}
	return segment
}

// LastEndTime returns the end time of the segment's last request, or zero if the segment is empty.
func (g Segment) LastEndTime() int64 {
	if len(g.Ended) == 0 {
		return 0
	}
	return g.Ended[len(g.Ended)-1].State.At
}

// Expired reports whether all requests of a class that ended at or before a time have expired.
func (s *State) Expired(class int, lastEnd int64) bool {
	return lastEnd < s.cutoff.forClass(class)
}

// Restore builds a state from a snapshot and the segments with its ended requests.
func Restore(snapshot Snapshot, segments []Segment) (*State, error) {
	s := &State{
		sequence: snapshot.Sequence,
		now:      snapshot.Now,
		cutoff:   snapshot.Cutoff,
		fence:    snapshot.Fence,
		budgets:  map[laceunit.BudgetID]*budget{},
		requests: map[Request]*request{},
	}
	for _, b := range snapshot.Budgets {
		if err := s.restoreBudget(b); err != nil {
			return nil, err
		}
	}
	for _, g := range segments {
		if err := s.restoreSegment(g); err != nil {
			return nil, err
		}
	}
	for c := range classCount {
		if s.ended[c].next > snapshot.NextNumber[c] {
			return nil, errors.Wrapf(ErrSnapshot,
				"class %d: segments end at number %d, beyond the snapshot's next number %d",
				c, s.ended[c].next, snapshot.NextNumber[c])
		}
		s.ended[c].next = snapshot.NextNumber[c]
	}
	for _, o := range snapshot.Open {
		if err := s.restoreOpen(o); err != nil {
			return nil, err
		}
	}
	s.expireEnded()
	return s, s.Check()
}

func (s *State) restoreBudget(state BudgetState) error {
	if _, ok := s.budgets[state.ID]; ok {
		return errors.Wrapf(ErrSnapshot, "duplicate budget %q", state.ID)
	}
	b := &budget{
		id:      state.ID,
		account: state.Account,
		paid:    state.Paid,
		settled: state.Settled,
		topUps:  map[laceunit.TopUpID]laceunit.Tokens{},
		grants:  map[laceunit.GrantID]*grant{},
	}
	for _, t := range state.TopUps {
		b.topUps[t.ID] = t.Tokens
	}
	for _, n := range state.Grants {
		if _, ok := b.grants[n.Grant.ID]; ok {
			return errors.Wrapf(ErrSnapshot, "duplicate grant %q", n.Grant.ID)
		}
		g := &grant{
			Grant:      n.Grant,
			lastSerial: n.LastSerial,
			lastAdded:  n.LastAdded,
			released:   n.Released,
		}
		g.Reserved = 0
		b.grants[g.ID] = g
		b.outstanding += g.Tokens
	}
	s.budgets[state.ID] = b
	return nil
}

func (s *State) restoreOpen(open OpenRequest) error {
	r := &request{
		RequestState: open.State,
		offline:      open.Offline,
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

func (s *State) restoreSegment(segment Segment) error {
	if segment.Class < 0 || segment.Class >= classCount {
		return errors.Wrapf(ErrSnapshot, "invalid segment class %d", segment.Class)
	}
	q := &s.ended[segment.Class]
	for _, n := range segment.Ended {
		r := &request{
			RequestState: n.State,
			number:       n.Number,
		}
		if n.Number < q.next || n.Number < segment.First || n.Number >= segment.Next ||
			r.class() != segment.Class || r.Phase == PhaseOpen {
			return errors.Wrapf(ErrSnapshot, "segment [%d, %d): invalid request %q with number %d",
				segment.First, segment.Next, r.Request.ID, n.Number)
		}
		q.next = n.Number + 1
		q.requests = append(q.requests, r)
		// A request that is reopened after a void ends more than once. The latest end wins, in whichever class.
		if previous, ok := s.requests[r.Request]; !ok || previous.At <= r.At {
			s.requests[r.Request] = r
		}
	}
	q.next = max(q.next, segment.Next)
	return nil
}
