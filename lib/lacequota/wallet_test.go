package lacequota

import (
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
)

// liveFleet returns a fleet in which every holder is live and none has ended.
func liveFleet(members int) Fleet {
	return Fleet{
		ActiveCount: members,
		Live:        func(laceunit.Holder) bool { return true },
		Ended:       func(laceunit.Holder) bool { return false },
	}
}

// commitUpdate plans and commits an update of a wallet and returns the budgets.
func commitUpdate(w *Wallet, now time.Time, at Instant, budgets Budgets, fleet Fleet) Budgets {
	u := w.Plan(now, at, budgets, []laceunit.AccountID{testAccount}, fleet, HeadroomShare)
	w.Commit(now, u)
	return u.Budgets
}

func newTestWallet(name string, paid laceunit.Tokens) *Wallet {
	w := NewWallet(laceunit.Holder{
		Instance:    laceunit.InstanceID(name),
		Incarnation: 1,
	}, DefaultShare, Instant{})
	w.SetPaid(testAccount, paid, true, 1)
	return w
}

// serveRequests reserves and settles requests of a size, one every 100 ms, and returns how many were reserved.
func serveRequests(
	w *Wallet, now time.Time, at Instant, count int, size laceunit.Tokens,
) (reserved int, end time.Time, last Instant) {
	for range count {
		now, at.SinceBoot = now.Add(100*time.Millisecond), at.SinceBoot+100*time.Millisecond
		if w.Reserve(now, at, testAccount, size) == Reserved {
			w.Settle(testAccount, size, size)
			reserved++
		}
	}
	return reserved, now, at
}

// Guards against dividing tokens evenly: an account whose clients use one instance is served there during an outage of
// 9 s.
func TestAllocationFollowsDemand(t *testing.T) {
	busy, idle := newTestWallet("busy", 1_000_000), newTestWallet("idle", 1_000_000)
	now, at := time.Unix(1000, 0), Instant{BootID: "a", SinceBoot: time.Hour}
	fleet := liveFleet(7)
	budgets := commitUpdate(idle, now, at, Budgets{}, fleet)
	budgets = commitUpdate(busy, now, at, budgets, fleet)
	for range 12 {
		_, now, at = serveRequests(busy, now, at, 10, 2_000)
		budgets = commitUpdate(busy, now, at, budgets, fleet)
		budgets = commitUpdate(idle, now, at, budgets, fleet)
	}
	reserved, _, _ := serveRequests(busy, now, at, 90, 2_000)
	if reserved < 85 {
		t.Errorf("%d of 90 requests in 9 s without the store were reserved; the account has %d tokens left", reserved,
			1_000_000-busy.State(testAccount).Used)
	}
}

// Guards against spend above the ceiling while a successor process may still rely on it.
func TestCeilingAppliesUntilTTL(t *testing.T) {
	w := newTestWallet("router", 10_000_000)
	now, at := time.Unix(1000, 0), Instant{BootID: "a", SinceBoot: time.Hour}
	budgets := commitUpdate(w, now, at, Budgets{}, liveFleet(1))
	for range 12 {
		_, now, at = serveRequests(w, now, at, 10, 1_000)
		budgets = commitUpdate(w, now, at, budgets, liveFleet(1))
	}
	a := budgets.ByAccount[testAccount].Allocations[w.self]
	if a.Ceiling >= a.Cap {
		t.Fatalf("ceiling %d is not below the cap %d", a.Ceiling, a.Cap)
	}
	above := a.Ceiling - w.State(testAccount).Used + 1
	if v := w.Reserve(now, at, testAccount, above); v != Insufficient {
		t.Errorf("above the ceiling right after an update: verdict %d, want insufficient", v)
	}
	at.SinceBoot += CeilingTTL
	if v := w.Reserve(now.Add(CeilingTTL), at, testAccount, above); v != Reserved {
		t.Errorf("above the ceiling after CeilingTTL: verdict %d, want reserved", v)
	}
}

// Guards against spend under an old total after the operator has lowered it, before the next update.
func TestLowerTotalScalesTheCap(t *testing.T) {
	w := newTestWallet("router", 1_000_000)
	now, at := time.Unix(1000, 0), Instant{}
	commitUpdate(w, now, at, Budgets{}, liveFleet(2))
	before := w.State(testAccount).Cap
	w.SetPaid(testAccount, 100_000, true, 2)
	if v := w.Reserve(now, at, testAccount, before/10+1); v == Reserved {
		t.Errorf("a tenth of the total still allows more than a tenth of the cap %d", before)
	}
	if v := w.Reserve(now, at, testAccount, before/20); v != Reserved {
		t.Errorf("half of the scaled cap: verdict %d, want reserved", v)
	}
}

// Guards against allocating under an old total although another instance has stored a newer, lower one.
func TestNewerStoredTotalWins(t *testing.T) {
	ahead, behind := newTestWallet("ahead", 1_000_000), newTestWallet("behind", 1_000_000)
	now, at := time.Unix(1000, 0), Instant{}
	ahead.SetPaid(testAccount, 10_000, true, 2)
	budgets := commitUpdate(ahead, now, at, Budgets{}, liveFleet(2))
	budgets = commitUpdate(behind, now, at, budgets, liveFleet(2))
	if sum := budgets.ByAccount[testAccount].Committed(); sum > 10_000 {
		t.Errorf("caps of %d tokens under a total of 10000", sum)
	}
	if paid := behind.State(testAccount).Paid; paid != 10_000 {
		t.Errorf("an instance that read a stored total of 10000 uses %d", paid)
	}
	if v := behind.Reserve(now, at, testAccount, 10_001); v != Exhausted {
		t.Errorf("more than the stored total: verdict %d, want exhausted", v)
	}
	behind.SetPaid(testAccount, 1_000_000, true, 1)
	if paid := behind.State(testAccount).Paid; paid != 10_000 {
		t.Errorf("an older configuration restored a total of %d", paid)
	}
}

// Guards against a verdict of exhausted while tokens are only held elsewhere, and of insufficient when they are spent.
func TestExhaustedOnlyWhenSpent(t *testing.T) {
	one, two := newTestWallet("one", 1_000), newTestWallet("two", 1_000)
	now, at := time.Unix(1000, 0), Instant{}
	budgets := commitUpdate(one, now, at, Budgets{}, liveFleet(2))
	commitUpdate(two, now, at, budgets, liveFleet(2))
	if v := two.Reserve(now, at, testAccount, 900); v != Insufficient {
		t.Errorf("tokens held elsewhere: verdict %d, want insufficient", v)
	}
	if v := two.Reserve(now, at, testAccount, 1_001); v != Exhausted {
		t.Errorf("more than was paid: verdict %d, want exhausted", v)
	}
}

// Guards against an instance that loses its tokens because another one considered it ended in a long partition.
func TestClosedAllocationStaysUsable(t *testing.T) {
	w := newTestWallet("router", 1_000)
	now, at := time.Unix(1000, 0), Instant{}
	commitUpdate(w, now, at, Budgets{}, liveFleet(1))
	held := w.State(testAccount).Cap
	closed := Budgets{ByAccount: map[laceunit.AccountID]Budget{testAccount: {
		ClosedCap: held,
		Paid:      1_000,
		Version:   1,
	}}}
	budgets := commitUpdate(w, now, at, closed, liveFleet(1))
	if sum := budgets.ByAccount[testAccount].Committed(); sum > 1_000 {
		t.Errorf("caps of %d tokens under a total of 1000", sum)
	}
	if v := w.Reserve(now, at, testAccount, held); v != Reserved {
		t.Errorf("tokens that were held before: verdict %d, want reserved", v)
	}
}

// Guards against losing the tokens of a process that was stopped during a partition. Its successor starts at once and
// reaches the store much later; what counts is when it started.
func TestPredecessorIsClosedByStartTime(t *testing.T) {
	self := laceunit.Holder{
		Instance:    "router",
		Incarnation: 1,
	}
	now, at := time.Unix(1000, 0), Instant{BootID: "a", SinceBoot: time.Hour}
	old := NewWallet(self, DefaultShare, at)
	old.SetPaid(testAccount, 1_000_000, true, 1)
	budgets := commitUpdate(old, now, at, Budgets{}, liveFleet(1))
	for range 12 {
		_, now, at = serveRequests(old, now, at, 10, 1_000)
		budgets = commitUpdate(old, now, at, budgets, liveFleet(1))
	}
	a := budgets.ByAccount[testAccount].Allocations[self]
	at.SinceBoot += CeilingTTL / 2
	self.Incarnation = 2
	successor := NewWallet(self, DefaultShare, at)
	successor.SetPaid(testAccount, 1_000_000, true, 1)
	at.SinceBoot += time.Minute
	budgets = commitUpdate(successor, now.Add(time.Minute), at, budgets, liveFleet(1))
	if got := budgets.ByAccount[testAccount].ClosedCap; got != a.Ceiling {
		t.Errorf("%d tokens of the predecessor count as spent, want its ceiling of %d", got, a.Ceiling)
	}
}

// Guards against a draining instance that holds tokens that others need, and against one that refuses the clients still
// connected.
func TestDrainingInstanceHoldsLittle(t *testing.T) {
	w := newTestWallet("router", 10_000_000)
	now, at := time.Unix(1000, 0), Instant{}
	budgets := commitUpdate(w, now, at, Budgets{}, liveFleet(1))
	for range 12 {
		_, now, at = serveRequests(w, now, at, 10, 1_000)
		budgets = commitUpdate(w, now, at, budgets, liveFleet(1))
	}
	held := func() laceunit.Tokens { return w.State(testAccount).Cap - w.State(testAccount).Used }
	before := held()
	u := w.Plan(now, at, budgets, w.Accounts(), liveFleet(1), HeadroomMinimal)
	w.Commit(now, u)
	if after := held(); after > before/4 {
		t.Errorf("%d of %d tokens are held while draining", after, before)
	}
	if n, _, _ := serveRequests(w, now, at, 5, 1_000); n != 5 {
		t.Errorf("%d of 5 requests in the next half second were reserved", n)
	}
	u = w.Plan(now, at, u.Budgets, w.Accounts(), liveFleet(1), HeadroomNone)
	w.Commit(now, u)
	if after := held(); after != 0 {
		t.Errorf("%d tokens are held after the release", after)
	}
}

// Guards against an account that loses as much again when instances lose power a second time, until nothing is left to
// serve its clients.
func TestLossesReduceHeadroom(t *testing.T) {
	const (
		members = 7
		paid    = 1_000_000
	)
	now, at := time.Unix(1000, 0), Instant{BootID: "a", SinceBoot: time.Hour}
	var budgets Budgets
	var lost [2]laceunit.Tokens
	for round := range lost {
		before := budgets.ByAccount[testAccount].ClosedCap
		fleet := liveFleet(members)
		for i := range members {
			w := NewWallet(laceunit.Holder{
				Instance:    laceunit.InstanceID(rune('a' + i)),
				Incarnation: laceunit.Incarnation(round + 1),
			}, DefaultShare, Instant{})
			w.SetPaid(testAccount, paid, true, 1)
			budgets = commitUpdate(w, now, at, budgets, fleet)
		}
		// All machines lose power; the next update of any instance counts what they held as spent.
		fleet.Ended = func(laceunit.Holder) bool { return true }
		budgets = commitUpdate(newTestWallet("observer", paid), now, at, budgets, fleet)
		delete(budgets.ByAccount[testAccount].Allocations, laceunit.Holder{Instance: "observer", Incarnation: 1})
		lost[round] = budgets.ByAccount[testAccount].ClosedCap - before
	}
	if lost[0] == 0 || lost[1] > lost[0]/2 {
		t.Errorf("the second power loss took %d tokens, the first %d; want at most half", lost[1], lost[0])
	}
}

// Guards against serving an account without a limit when a new configuration adds the account and the wallet does not
// have its total yet.
func TestUnconfiguredAccountIsRefused(t *testing.T) {
	w := newTestWallet("router", 1_000_000)
	now := time.Unix(1000, 0)
	if v := w.Reserve(now, Instant{}, "unheard", 10); v == Reserved {
		t.Error("tokens of an account that was never configured were reserved")
	}
	w.SetPaid("unmetered", 0, false, 1)
	if v := w.Reserve(now, Instant{}, "unmetered", 10); v != Reserved {
		t.Errorf("an account that is not prepaid: verdict %d, want reserved", v)
	}
}
