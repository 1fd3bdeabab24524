package lacequota

import (
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
)

// proposalBench is one wallet and the stored budget of its account.
type proposalBench struct {
	wallet *Wallet
	stored Budget
	now    time.Time
	at     Instant
}

func noneEnded(laceunit.Holder, Allocation) (laceunit.Tokens, bool) { return 0, false }

func newProposalBench(paid laceunit.Tokens) *proposalBench {
	return &proposalBench{
		wallet: newTestWallet("router", paid),
		now:    time.Unix(1000, 0),
		at:     Instant{BootID: "a", SinceBoot: time.Hour},
	}
}

// advance advances the clocks.
func (b *proposalBench) advance(d time.Duration) {
	b.now, b.at.SinceBoot = b.now.Add(d), b.at.SinceBoot+d
}

// commit writes directly.
func (b *proposalBench) commit() {
	budgets := commitUpdate(b.wallet, b.now, b.at, Budgets{ByAccount: map[laceunit.AccountID]Budget{testAccount: b.stored}},
		liveFleet(1))
	b.stored = budgets.ByAccount[testAccount]
}

// propose sends a proposal to a writer with a copy of the budget that was just verified.
func (b *proposalBench) propose(t *testing.T, copied Budget) {
	x, ok := b.wallet.Propose(b.now, b.at, testAccount, liveFleet(1), HeadroomShare)
	if !ok {
		t.Fatal("nothing was proposed")
	}
	c := verifiedBudget{cachedBudget: cachedBudget{budget: copied}, verifiedAt: b.now}
	m := c.merge(b.now, []Proposal{x}, mergePolicy{ended: noneEnded})
	if m.written {
		copied, b.stored = m.Budget, m.Budget
	}
	a := m.answer(0, b.wallet.self, copied, false, func(laceunit.Holder) bool { return true })
	b.wallet.Accept(b.now, x, a)
}

// Guards against requests that are refused after the total was lowered, although the stored caps are within the new one
// and that of this instance covers the request: only a write shows that.
func TestCapIsUsableAfterLowerTotal(t *testing.T) {
	b := newProposalBench(1_000_000)
	// The account is used, so that its ceiling equals its cap.
	b.wallet.Reserve(b.now, b.at, testAccount, 1)
	b.commit()
	b.wallet.Reserve(b.now, b.at, testAccount, 1)
	b.commit()
	b.wallet.Settle(testAccount, 1, 0)
	size := b.wallet.State(testAccount).Cap * 97 / 100
	b.wallet.SetPaid(testAccount, 950_000, true, 2)
	// Another instance has stored the new total.
	b.stored.Paid, b.stored.Version = 950_000, 2
	b.advance(CeilingTTL)
	verdict := b.wallet.Reserve(b.now, b.at, testAccount, size)
	for range 3 {
		if verdict == Reserved {
			break
		}
		b.propose(t, b.stored)
		b.advance(time.Second)
		verdict = b.wallet.RetryReserve(b.now, b.at, testAccount, size)
	}
	if verdict != Reserved {
		t.Errorf("verdict %d for %d tokens, cap %+v", verdict, size, b.wallet.State(testAccount))
	}
}

// Guards against a cap that is scaled to a total on the evidence of an outdated copy: the sum of all caps has grown with
// a higher total since. The answer shows neither that the copy is current nor that anything was stored.
func TestOutdatedAnswerDoesNotEndScaling(t *testing.T) {
	b := newProposalBench(1_000_000)
	b.commit()
	outdated := b.stored.clone()
	// The rest is held elsewhere, so that the copy lacks what the request needs.
	outdated.ClosedCap = outdated.Paid - outdated.Committed()
	b.wallet.SetPaid(testAccount, 2_000_000, true, 2)
	b.advance(time.Second)
	b.commit()
	b.wallet.SetPaid(testAccount, 1_000_000, true, 3)
	b.advance(CeilingTTL)
	p := b.wallet.portion(testAccount)
	before := b.wallet.limit(p, b.at)
	b.wallet.Reserve(b.now, b.at, testAccount, 1_000_000)
	x, _ := b.wallet.Propose(b.now, b.at, testAccount, liveFleet(1), HeadroomShare)
	b.wallet.Accept(b.now, x, Answer{
		Outcome:  OutcomeUnavailable,
		Standing: outdated.standing(b.wallet.self, func(laceunit.Holder) bool { return true }),
	})
	b.advance(CeilingTTL)
	if after := b.wallet.limit(p, b.at); after > before {
		t.Errorf("limit %d after the answer, %d before", after, before)
	}
}

// Guards against closing a process at an old ceiling with the instant of its last proposal, when that is merged together
// with the first proposal of its successor: the old ceiling had ended and more was spent.
func TestPredecessorInSameMergeIsClosedAtItsCeiling(t *testing.T) {
	at := func(s int) Instant { return Instant{BootID: "a", SinceBoot: time.Duration(s) * time.Second} }
	old, next := laceunit.Holder{Instance: "router", Incarnation: 1}, laceunit.Holder{Instance: "router", Incarnation: 2}
	stored := Budget{Paid: 10_000, Allocations: map[laceunit.Holder]Allocation{
		old: {Cap: 5_000, Ceiling: 1_000, SentAt: at(100)},
	}}
	m := Merge(stored, []Proposal{
		{
			Sender: Sender{Holder: old, StartedAt: at(1)}, Least: 4_000, Floor: 5_000, Want: 5_000, Used: 4_000,
			Ceiling: 4_500, SentAt: at(110),
		},
		{Sender: Sender{Holder: next, StartedAt: at(112)}, Want: 500, SentAt: at(113), Fresh: true},
	}, mergePolicy{ended: noneEnded})
	if n := m.Budget.ClosedCap; n != 4_500 {
		t.Errorf("closed at %d, want the ceiling 4500", n)
	}
	if _, found := m.Budget.Allocations[old]; found {
		t.Error("the closed allocation was stored again")
	}
}
