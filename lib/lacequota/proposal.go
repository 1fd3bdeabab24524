package lacequota

import (
	"cmp"
	"slices"
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// Sender is the process that makes proposals.
type Sender struct {
	Holder laceunit.Holder
	// StartedAt is when the process started; earlier processes on its machine had ended by then.
	StartedAt Instant
}

// Proposal is what a process wants to hold of an account. All tokens are totals of the incarnation as in Allocation.
type Proposal struct {
	Account laceunit.AccountID
	Sender  Sender
	// Least is what is spent or reserved, Floor the cap that the sender keeps to until it gets an answer to its newest
	// proposal, Want the cap that it asks for.
	Least laceunit.Tokens
	Floor laceunit.Tokens
	Want  laceunit.Tokens
	// Need is how many tokens beyond Least the waiting requests lack.
	Need    laceunit.Tokens
	Used    laceunit.Tokens
	Rate    laceunit.Tokens
	Ceiling laceunit.Tokens
	// SentAt orders the proposals and direct writes of an incarnation.
	SentAt Instant
	// Fresh is true if the sender has no stored allocation as far as it knows, Close if it gives its allocation up, with
	// Want equal to Used.
	Fresh bool
	Close bool

	Paid    laceunit.Tokens
	Version laceunit.Version
	// Era is the era of the store that the sender knows, zero from older builds. Restate is true if the store has not
	// confirmed its allocation in that era, so that it may have lost it.
	Era     laceplatform.Era
	Restate bool
}

// Outcome is the result of a proposal.
type Outcome int

// The outcomes.
const (
	// OutcomeApplied means that the proposal is stored; the cap may be lower than the one asked for.
	OutcomeApplied Outcome = iota + 1
	// OutcomeUnchanged means that nothing was stored, since the proposal changes nothing of importance.
	OutcomeUnchanged
	// OutcomeSuperseded means that a newer proposal or write of the incarnation is stored.
	OutcomeSuperseded
	// OutcomeClosed means that the allocation was counted as spent; the answer must follow a write that proves it.
	OutcomeClosed
	// OutcomeUnavailable is OutcomeApplied or OutcomeUnchanged for an account without the tokens that requests need.
	OutcomeUnavailable
)

// String returns the name of the outcome in metrics.
func (o Outcome) String() string {
	switch o {
	case OutcomeApplied:
		return "applied"
	case OutcomeUnchanged:
		return "unchanged"
	case OutcomeSuperseded:
		return "superseded"
	case OutcomeClosed:
		return "closed"
	case OutcomeUnavailable:
		return "unavailable"
	default:
		return "unknown"
	}
}

// Standing is the state of an account from the point of view of one holder.
type Standing struct {
	Own   Allocation
	Found bool
	// Committed and Spent are those of the Budget.
	Committed laceunit.Tokens
	Spent     laceunit.Tokens
	Lost      laceunit.Tokens
	// OthersRate is the recent demand at other live holders in tokens per second.
	OthersRate laceunit.Tokens
	Paid       laceunit.Tokens
	Version    laceunit.Version
}

// standing returns the state of the account for a holder.
func (b Budget) standing(self laceunit.Holder, live func(laceunit.Holder) bool) Standing {
	own, found := b.Allocations[self]
	return Standing{
		Own:        own,
		Found:      found,
		Committed:  b.Committed(),
		Spent:      b.Spent(),
		Lost:       b.lost(),
		OthersRate: b.Rate(func(h laceunit.Holder) bool { return h != self && live(h) }),
		Paid:       b.Paid,
		Version:    b.Version,
	}
}

// Answer is the answer to one proposal.
type Answer struct {
	Outcome  Outcome
	Standing Standing
	// Shortage is true if requests at other instances lack tokens of the account.
	Shortage bool
	// Lenders are the instances with the most unspent tokens, largest first.
	Lenders []laceunit.InstanceID
	// Era is the era of the store that the answer is of.
	Era laceplatform.Era
}

// Merged is a budget with the proposals of some holders.
type Merged struct {
	Budget Budget
	// Outcomes are those of the proposals, by index, provided that Budget is stored.
	Outcomes []Outcome
	// Material is true if Budget differs from the stored one in more than rates and instants.
	Material bool
	// Lacking is what the waiting requests of all senders lack beyond what is free.
	Lacking laceunit.Tokens
}

// closeFunc reports whether a holder has ended and how much it may have spent.
type closeFunc func(laceunit.Holder, Allocation) (maxSpent laceunit.Tokens, ok bool)

// Merge merges proposals of different holders into a stored budget. No cap falls below the floor of its holder, and the
// sum of all caps does not rise above what was paid, apart from what is restated. Free tokens go to waiting requests
// first.
func Merge(stored Budget, proposals []Proposal, policy mergePolicy) Merged {
	m := merger{
		mergePolicy: policy,

		proposals: proposals,
		stored:    stored,
		Merged: Merged{
			Budget:   stored.beginEra(policy.era, 0).clone(),
			Outcomes: make([]Outcome, len(proposals)),
		},
		granted: make([]laceunit.Tokens, len(proposals)),
	}
	if !m.unconfirmed {
		m.closeEnded()
		m.Budget.Era = max(m.Budget.Era, m.era)
	}
	for i, p := range proposals {
		m.accept(i, p)
	}
	m.grantNeeds()
	if !m.holdIdle && m.Lacking == 0 {
		m.grantIdle()
	}
	for i, p := range proposals {
		m.store(i, p)
	}
	return m.Merged
}

// mergePolicy is what a Merge depends on beside the budget and the proposals.
type mergePolicy struct {
	// ended reports which holders have ended.
	ended closeFunc
	// holdIdle is true if senders get only what requests need.
	holdIdle bool
	era      laceplatform.Era
	// unconfirmed is true if the budget may lack what others hold, so that nothing is free and no holder is closed.
	unconfirmed bool
}

// merger is the state of one Merge.
type merger struct {
	Merged
	mergePolicy

	stored    Budget
	proposals []Proposal
	// granted are the caps of the accepted proposals, by index.
	granted []laceunit.Tokens
}

// closeEnded closes ended holders, except senders, which are evidently alive.
func (m *merger) closeEnded() {
	for h, x := range m.stored.Allocations {
		if slices.ContainsFunc(m.proposals, func(p Proposal) bool { return p.Sender.Holder == h }) {
			continue
		}
		if maxSpent, ok := m.ended(h, x); ok {
			m.close(h, x, maxSpent)
		}
	}
}

func (m *merger) close(h laceunit.Holder, x Allocation, maxSpent laceunit.Tokens) {
	delete(m.Budget.Allocations, h)
	m.Budget.ClosedCap += maxSpent
	m.Budget.ClosedUsed += min(x.Used, maxSpent)
	m.Material = true
}

// accept determines whether a proposal applies. The cap of an accepted one is lowered to its floor.
func (m *merger) accept(i int, p Proposal) {
	if p.Version > m.Budget.Version {
		m.Material = m.Material || p.Paid != m.Budget.Paid
		m.Budget.Paid, m.Budget.Version = p.Paid, p.Version
	}
	own, found := m.Budget.Allocations[p.Sender.Holder]
	switch {
	case m.isOutdated(i, p), found && !own.SentAt.before(p.SentAt), p.Era != 0 && p.Era != m.era:
		m.Outcomes[i] = OutcomeSuperseded
	case m.restates(p, own, found):
		m.Material = true
		own.Cap, own.Ceiling, own.SentAt, own.Era = p.Floor, p.Ceiling, p.SentAt, m.era
		m.Budget.Allocations[p.Sender.Holder] = own
		m.Outcomes[i], m.granted[i] = OutcomeApplied, p.Floor
	case !found && p.Fresh && p.Close:
		m.Outcomes[i] = OutcomeUnchanged
	case !found && !p.Fresh, found && own.Cap < p.Floor:
		// Another instance considered the sender ended and counted its cap as spent. A cap below the floor is that of an
		// older proposal that was stored after that. Either is answered only after a write, as the budget may be outdated.
		m.Outcomes[i], m.Material = OutcomeClosed, true
	case p.Close:
		m.close(p.Sender.Holder, Allocation{Used: p.Used}, p.Want)
		m.Outcomes[i] = OutcomeApplied
	default:
		m.closePredecessors(p.Sender)
		// A successor in the same merge relies on the ceiling together with the instant.
		own.Cap, own.Ceiling, own.SentAt = p.Floor, p.Ceiling, p.SentAt
		m.Budget.Allocations[p.Sender.Holder] = own
		m.Outcomes[i], m.granted[i] = OutcomeApplied, p.Floor
	}
}

// restates reports whether a proposal states what the sender holds, which the store may have lost: the sender says so,
// the stored allocation is of an earlier era, or the budget is unconfirmed, in which no holder is closed.
func (m *merger) restates(p Proposal, own Allocation, found bool) bool {
	return p.Restate || !p.Close && (found && own.Era < p.Era || m.unconfirmed && !found && !p.Fresh ||
		m.unconfirmed && p.Era == 0 && !p.Fresh)
}

// isOutdated reports whether another proposal of the same sender is newer, or the same and comes first.
func (m *merger) isOutdated(i int, p Proposal) bool {
	for j, q := range m.proposals {
		if q.Sender.Holder == p.Sender.Holder && (p.SentAt.before(q.SentAt) || j < i && !q.SentAt.before(p.SentAt)) {
			return true
		}
	}
	return false
}

// closePredecessors closes earlier processes on the machine of a sender.
func (m *merger) closePredecessors(s Sender) {
	if m.unconfirmed {
		return
	}
	for h, x := range m.Budget.Allocations {
		if h.Instance != s.Holder.Instance || h == s.Holder || s.StartedAt.before(x.SentAt) {
			continue
		}
		m.close(h, x, x.maxSpentBefore(s.StartedAt))
		for i, p := range m.proposals {
			if p.Sender.Holder == h && m.Outcomes[i] == OutcomeApplied {
				m.Outcomes[i] = OutcomeSuperseded
			}
		}
	}
}

// maxSpentBefore is what a process may have spent that ended before its successor started at an instant. If it had
// reported less than CeilingTTL before that, it can't have spent more than its ceiling.
func (a Allocation) maxSpentBefore(startedAt Instant) laceunit.Tokens {
	if a.SentAt.Within(startedAt, CeilingTTL) {
		return min(a.Ceiling, a.Cap)
	}
	return a.Cap
}

// accepted returns the indices of the proposals whose allocations are set.
func (m *merger) accepted(match func(Proposal) bool) []int {
	var indices []int
	for i, p := range m.proposals {
		if m.Outcomes[i] == OutcomeApplied && !p.Close && match(p) {
			indices = append(indices, i)
		}
	}
	return indices
}

// free is what no holder has.
func (m *merger) free() laceunit.Tokens {
	if m.unconfirmed {
		return 0
	}
	return max(m.Budget.Paid-m.Budget.Committed(), 0)
}

func (m *merger) raise(i int, amount laceunit.Tokens) {
	h := m.proposals[i].Sender.Holder
	a := m.Budget.Allocations[h]
	a.Cap += amount
	m.Budget.Allocations[h] = a
	m.granted[i] = a.Cap
}

// grantNeeds gives free tokens to senders with waiting requests, those that need least first, so that as many requests
// as possible are served.
func (m *merger) grantNeeds() {
	missing := func(p Proposal) laceunit.Tokens { return min(p.Least+p.Need, p.Want) - p.Floor }
	needy := m.accepted(func(p Proposal) bool { return p.Need > 0 && missing(p) > 0 })
	slices.SortFunc(needy, func(a, b int) int {
		x, y := m.proposals[a], m.proposals[b]
		return cmp.Or(cmp.Compare(missing(x), missing(y)),
			cmp.Compare(x.Sender.Holder.Instance, y.Sender.Holder.Instance))
	})
	free := m.free()
	for _, i := range needy {
		p := m.proposals[i]
		amount := min(missing(p), free)
		if amount > 0 {
			m.Material = true
			m.raise(i, amount)
			free -= amount
		}
		if amount < missing(p) {
			m.Outcomes[i] = OutcomeUnavailable
			m.Lacking += missing(p) - amount
		}
	}
}

// grantIdle divides free tokens in proportion to what the senders ask for.
func (m *merger) grantIdle() {
	open := m.accepted(func(Proposal) bool { return true })
	var sum laceunit.Tokens
	for _, i := range open {
		sum += max(m.proposals[i].Want-m.granted[i], 0)
	}
	if sum == 0 {
		return
	}
	factor := min(float64(m.free())/float64(sum), 1)
	for _, i := range open {
		m.raise(i, laceunit.Tokens(factor*float64(max(m.proposals[i].Want-m.granted[i], 0))))
	}
}

// store completes the allocation of an accepted proposal.
func (m *merger) store(i int, p Proposal) {
	if p.Close || (m.Outcomes[i] != OutcomeApplied && m.Outcomes[i] != OutcomeUnavailable) {
		return
	}
	h := p.Sender.Holder
	old := m.stored.Allocations[h]
	a := Allocation{
		Cap:     m.Budget.Allocations[h].Cap,
		Used:    p.Used,
		Rate:    p.Rate,
		Ceiling: min(p.Ceiling, m.Budget.Allocations[h].Cap),
		SentAt:  p.SentAt,
		Era:     m.era,
	}
	m.Budget.Allocations[h] = a
	limited := p.Need > 0 && old.Ceiling < p.Least+p.Need && a.Ceiling > old.Ceiling
	if p.Need > 0 && p.Least+p.Need <= p.Floor && !limited {
		// The sender's cap covers the requests, but an earlier ceiling or a lower total limits it. A write that shows that
		// the caps do not exceed the total ends that; otherwise other holders have to return tokens first.
		limited = m.Budget.Committed() <= m.Budget.Paid
		if !limited {
			m.Outcomes[i] = OutcomeUnavailable
			m.Lacking += p.Need
		}
	}
	m.Material = m.Material || limited || a.Used != old.Used ||
		isMaterial(a.Cap-old.Cap, max(a.Cap, old.Cap)-p.Least)
}

// materialDivisor is the part of the headroom from which a change of a cap is written or proposed. Rates are averages
// that decay all the time, and each write costs a call.
const materialDivisor = 8

// isMaterial reports whether the change of a cap matters for a headroom.
func isMaterial(change, headroom laceunit.Tokens) bool {
	return change != 0 && max(change, -change)*materialDivisor >= headroom
}

// before reports whether i is before other on the same clock, in milliseconds as stored.
func (i Instant) before(other Instant) bool {
	return i.BootID == other.BootID && i.SinceBoot.Milliseconds() < other.SinceBoot.Milliseconds()
}

// stored returns the instant as the store and messages carry it, in whole milliseconds.
func (i Instant) stored() Instant {
	i.SinceBoot = i.SinceBoot.Truncate(time.Millisecond)
	return i
}

// after returns an instant in whole milliseconds that is after i, and at least at.
func (i Instant) after(at Instant) Instant {
	if at.BootID == "" || at.BootID != i.BootID || i.before(at) {
		return at
	}
	at.SinceBoot = i.SinceBoot.Truncate(time.Millisecond) + time.Millisecond
	return at
}
