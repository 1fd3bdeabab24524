package laceledger

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Errors of the state machine.
var (
	// ErrSequence means that an entry does not follow the state's last entry.
	ErrSequence = errors.New("ledger: entry is out of sequence")
	// ErrEntry means that an entry holds a record that the state does not accept, so the log is damaged.
	ErrEntry = errors.New("ledger: entry does not apply")
	// ErrInvariant means that a budget's figures contradict each other.
	ErrInvariant = errors.New("ledger: invariant violated")
	// ErrSnapshot means that a snapshot contradicts itself.
	ErrSnapshot = errors.New("ledger: snapshot is damaged")
)

// State is the state of one shard; the zero value is the state before the first entry.
type State struct {
	sequence laceunit.Sequence
	now      int64
	forget   Cutoff
	fence    Fence
	budgets  map[laceunit.BudgetID]*budget
	requests map[Request]*request
	done     [classes]queue
}

type budget struct {
	id          laceunit.BudgetID
	account     laceunit.AccountID
	paid        laceunit.Tokens
	settled     laceunit.Tokens
	outstanding laceunit.Tokens
	topups      map[laceunit.TopUpID]laceunit.Tokens
	grants      map[laceunit.GrantID]*grant
}

func (b *budget) left() laceunit.Tokens {
	return b.paid - b.settled - b.outstanding
}

type grant struct {
	Grant
	// serial and added describe the last numbered Open or Return.
	serial   uint64
	added    laceunit.Tokens
	released bool
}

func (g *grant) free() laceunit.Tokens {
	return g.Tokens - g.Reserved
}

// request is immutable once it is part of a state.
type request struct {
	RequestState
	// offline means that the ceiling was taken from the offline part.
	offline bool
	// number is the position among the ended requests of the same class.
	number uint64
}

func (r *request) class() int {
	if r.Idempotent {
		return classIdempotent
	}
	return classOther
}

// Sequence returns the number of the last entry applied.
func (s *State) Sequence() laceunit.Sequence { return s.sequence }

// Now returns the latest time that an entry carried, in Unix seconds.
func (s *State) Now() int64 { return s.now }

// Propose validates records in order and returns the entry of those that would take effect, with a verdict on each.
//
// The state itself does not change; an entry without records means that nothing has to be written.
func (s *State) Propose(records []Record, at int64, forget Cutoff) (Entry, []Verdict) {
	e := Entry{
		Sequence: s.sequence + 1,
		At:       max(at, s.now),
		Cutoff:   s.forget.later(forget),
	}
	d := newDraft(s, e)
	verdicts := make([]Verdict, len(records))
	for i, r := range records {
		verdicts[i] = d.apply(r)
		if verdicts[i].Result == Accepted {
			e.Records = append(e.Records, stripAnswer(r))
		}
	}
	if d.check() != nil {
		// An entry that doesn't apply would block the log for good, so a fault in a rule must not get that far.
		e.Records = nil
		for i := range verdicts {
			verdicts[i] = Verdict{Result: Invalid}
		}
	}
	return e, verdicts
}

// Apply takes an entry over; on an error the state is unchanged.
func (s *State) Apply(e Entry) error {
	if e.Sequence != s.sequence+1 {
		return errors.Wrapf(ErrSequence, "entry %d after %d", e.Sequence, s.sequence)
	}
	d := newDraft(s, e)
	for i, r := range e.Records {
		if v := d.apply(r); v.Result != Accepted {
			return errors.Wrapf(ErrEntry, "entry %d, record %d (%T): %s", e.Sequence, i, r, v.Result)
		}
	}
	if err := d.check(); err != nil {
		return err
	}
	d.merge()
	return nil
}

// check verifies the budgets and grants that the draft has touched.
func (d *draft) check() error {
	for _, b := range d.budgets {
		if err := b.check(); err != nil {
			return err
		}
	}
	for _, g := range d.grants {
		if g == nil {
			continue
		}
		if err := g.check(g.Reserved); err != nil {
			return err
		}
	}
	return nil
}

func (b *budget) check() error {
	if b.settled < 0 || b.outstanding < 0 || b.paid < b.settled+b.outstanding {
		return errors.Wrapf(ErrInvariant, "budget %q: paid %d, settled %d, outstanding %d", b.id, b.paid, b.settled, b.outstanding)
	}
	return nil
}

// Check verifies paid >= settled + outstanding and the agreement of grants and open requests for every budget.
func (s *State) Check() error {
	reserved := map[grantKey]laceunit.Tokens{}
	for _, r := range s.requests {
		if r.Phase == PhaseOpen {
			reserved[grantKey{
				budget: r.Budget,
				grant:  r.Grant,
			}] += r.Ceiling
		}
	}
	for _, b := range s.budgets {
		if err := b.check(); err != nil {
			return err
		}
		var sum laceunit.Tokens
		for _, g := range b.grants {
			k := keyOf(b, g.ID)
			if err := g.check(reserved[k]); err != nil {
				return err
			}
			delete(reserved, k)
			sum += g.Tokens
		}
		if sum != b.outstanding {
			return errors.Wrapf(ErrInvariant, "budget %q: outstanding %d, grants hold %d", b.id, b.outstanding, sum)
		}
	}
	for k, t := range reserved {
		if t != 0 {
			return errors.Wrapf(ErrInvariant, "budget %q: %d tokens reserved against missing grant %q", k.budget, t, k.grant)
		}
	}
	return nil
}

func (g *grant) check(reserved laceunit.Tokens) error {
	switch {
	case g.Reserved != reserved:
		return errors.Wrapf(ErrInvariant, "grant %q: reserved %d, open requests hold %d", g.ID, g.Reserved, reserved)
	case g.Reserved < 0 || g.free() < 0 || g.Offline < 0 || g.Offline > g.Tokens:
		return errors.Wrapf(ErrInvariant, "grant %q: tokens %d, reserved %d, offline %d", g.ID, g.Tokens, g.Reserved, g.Offline)
	case g.Closed && g.free() > g.Offline:
		return errors.Wrapf(ErrInvariant, "closed grant %q holds %d beyond its offline part %d", g.ID, g.free(), g.Offline)
	}
	return nil
}

// Balance returns the public view of a budget.
func (s *State) Balance(id laceunit.BudgetID) (Balance, bool) {
	b, ok := s.budgets[id]
	if !ok {
		return Balance{}, false
	}
	view := Balance{
		Budget:      b.id,
		Account:     b.account,
		Paid:        b.paid,
		Settled:     b.settled,
		Outstanding: b.outstanding,
	}
	for _, g := range b.grants {
		v := g.Grant
		v.Witnesses = slices.Clone(g.Witnesses)
		view.Grants = append(view.Grants, v)
	}
	slices.SortFunc(view.Grants, func(a, b Grant) int { return cmp.Compare(a.ID, b.ID) })
	return view, true
}

// Balances returns every budget, ordered by id.
func (s *State) Balances() []Balance {
	views := make([]Balance, 0, len(s.budgets))
	for id := range s.budgets {
		v, _ := s.Balance(id)
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b Balance) int { return cmp.Compare(a.Budget, b.Budget) })
	return views
}

// Find returns what is known of a request.
func (s *State) Find(id Request) (RequestState, bool) {
	r, ok := s.requests[id]
	if !ok {
		return RequestState{}, false
	}
	return *r.existing(), true
}

// Counts returns the number of budgets and of remembered requests.
func (s *State) Counts() (budgets, requests int) {
	return len(s.budgets), len(s.requests)
}

func (r *request) existing() *RequestState {
	e := r.RequestState
	e.Response = e.Response.clone()
	return &e
}

func (a *Response) clone() *Response {
	if a == nil {
		return nil
	}
	return &Response{
		Status:      a.Status,
		ContentType: a.ContentType,
		Body:        slices.Clone(a.Body),
	}
}
