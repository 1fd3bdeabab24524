package laceledger

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Errors of the state machine.
var (
	// ErrSequence means that an entry is not the successor of the last applied entry.
	ErrSequence = errors.New("ledger: entry is out of sequence")
	// ErrEntry means that an entry contains a record that the state rejects, so the log is corrupt.
	ErrEntry = errors.New("ledger: entry cannot be applied")
	// ErrInvariant means that the balances of a budget or grant are inconsistent.
	ErrInvariant = errors.New("ledger: invariant violated")
	// ErrSnapshot means that a snapshot is inconsistent.
	ErrSnapshot = errors.New("ledger: snapshot is damaged")
)

// State is the state of one shard; the zero value is the state before the first entry.
type State struct {
	sequence laceunit.Sequence
	now      int64
	cutoff   Cutoff
	fence    Fence
	budgets  map[laceunit.BudgetID]*budget
	requests map[Request]*request
	ended    [classCount]retentionQueue
}

type budget struct {
	id          laceunit.BudgetID
	account     laceunit.AccountID
	paid        laceunit.Tokens
	settled     laceunit.Tokens
	outstanding laceunit.Tokens
	topUps      map[laceunit.TopUpID]laceunit.Tokens
	grants      map[laceunit.GrantID]*grant
}

func (b *budget) available() laceunit.Tokens {
	return b.paid - b.settled - b.outstanding
}

type grant struct {
	Grant
	// lastSerial is the serial of the last Open or Return that had one, lastAdded the tokens that it granted: zero for a
	// Return.
	lastSerial uint64
	lastAdded  laceunit.Tokens
	released   bool
}

func (g *grant) free() laceunit.Tokens {
	return g.Tokens - g.Reserved
}

// request is immutable once it is committed to a state.
type request struct {
	RequestState
	// offline means that the ceiling was reserved from the offline allowance.
	offline bool
	// number is the sequence number among the ended requests of the same class.
	number uint64
}

func (r *request) class() int {
	if r.Idempotent {
		return classIdempotent
	}
	return classNonIdempotent
}

// Sequence returns the sequence number of the last applied entry.
func (s *State) Sequence() laceunit.Sequence { return s.sequence }

// Now returns the clock of the state machine: the latest time of an applied entry, in Unix seconds.
func (s *State) Now() int64 { return s.now }

// Propose validates records in order. It returns an entry with the accepted records, and a verdict on each record.
//
// The state is not modified. An entry without records need not be written.
func (s *State) Propose(records []Record, at int64, cutoff Cutoff) (Entry, []Verdict) {
	e := Entry{
		Sequence: s.sequence + 1,
		At:       max(at, s.now),
		Cutoff:   s.cutoff.later(cutoff),
	}
	tx := newTransaction(s, e)
	verdicts := make([]Verdict, len(records))
	for i, r := range records {
		verdicts[i] = tx.apply(r)
		if verdicts[i].Result == Accepted {
			e.Records = append(e.Records, stripUnstoredResponse(r))
		}
	}
	if tx.check() != nil {
		// An entry that can't be applied would block the log permanently, so a bug in a rule must not reach the log.
		e.Records = nil
		for i := range verdicts {
			verdicts[i] = Verdict{Result: Invalid}
		}
	}
	return e, verdicts
}

// Apply applies a log entry. After an error the state is unchanged.
func (s *State) Apply(e Entry) error {
	if e.Sequence != s.sequence+1 {
		return errors.Wrapf(ErrSequence, "entry %d after %d", e.Sequence, s.sequence)
	}
	tx := newTransaction(s, e)
	for i, r := range e.Records {
		if v := tx.apply(r); v.Result != Accepted {
			return errors.Wrapf(ErrEntry, "entry %d, record %d (%T): %s", e.Sequence, i, r, v.Result)
		}
	}
	if err := tx.check(); err != nil {
		return err
	}
	tx.commit()
	return nil
}

// check verifies the budgets and grants that the transaction has modified.
func (tx *transaction) check() error {
	for _, b := range tx.budgets {
		if err := b.check(); err != nil {
			return err
		}
	}
	for _, g := range tx.grants {
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
		return errors.Wrapf(ErrInvariant, "budget %q: paid %d, settled %d, outstanding %d",
			b.id, b.paid, b.settled, b.outstanding)
	}
	return nil
}

// Check verifies for every budget that paid >= settled + outstanding, that its grants add up to the outstanding tokens,
// and that the open requests add up to the reserved tokens of each grant.
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
			k := grantKeyOf(b, g.ID)
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
		return errors.Wrapf(ErrInvariant, "grant %q: tokens %d, reserved %d, offline %d",
			g.ID, g.Tokens, g.Reserved, g.Offline)
	case g.Closed && g.free() > g.Offline:
		return errors.Wrapf(ErrInvariant, "closed grant %q: %d free tokens exceed the offline allowance of %d",
			g.ID, g.free(), g.Offline)
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

// Find returns the stored state of a request.
func (s *State) Find(id Request) (RequestState, bool) {
	r, ok := s.requests[id]
	if !ok {
		return RequestState{}, false
	}
	return *r.cloneState(), true
}

// Counts returns the number of budgets, and of open and retained requests.
func (s *State) Counts() (budgets, requests int) {
	return len(s.budgets), len(s.requests)
}

func (r *request) cloneState() *RequestState {
	e := r.RequestState
	e.Response = e.Response.clone()
	return &e
}

func (r *Response) clone() *Response {
	if r == nil {
		return nil
	}
	return &Response{
		Status:      r.Status,
		ContentType: r.ContentType,
		Body:        slices.Clone(r.Body),
	}
}
