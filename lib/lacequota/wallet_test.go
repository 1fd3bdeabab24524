package lacequota

import (
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
)

func everybody(members int) Fleet {
	return Fleet{
		ActiveCount: members,
		Live:        func(laceunit.Holder) bool { return true },
		Ended:       func(laceunit.Holder) bool { return false },
	}
}

// put commits a draw of a wallet and returns the page.
func put(w *Wallet, now time.Time, at Instant, page Budgets, fleet Fleet) Budgets {
	d := w.Plan(now, at, page, []laceunit.AccountID{testAccount}, fleet, HeadroomShare)
	w.Commit(now, d)
	return d.Budgets
}

func wallet(name string, paid laceunit.Tokens) *Wallet {
	w := NewWallet(laceunit.Holder{
		Instance:    laceunit.InstanceID(name),
		Incarnation: 1,
	}, DefaultShare, Instant{})
	w.SetPaid(testAccount, paid, true, 1)
	return w
}

// ask reserves and settles requests of a size, one each 100 ms, and returns how many were held.
func ask(w *Wallet, now time.Time, at Instant, count int, size laceunit.Tokens) (held int, end time.Time, last Instant) {
	for range count {
		now, at.SinceBoot = now.Add(100*time.Millisecond), at.SinceBoot+100*time.Millisecond
		if w.Reserve(now, at, testAccount, size) == Reserved {
			w.Settle(testAccount, size, size)
			held++
		}
	}
	return held, now, at
}

// Guards against an even division: an account whose callers use one instance gets through an outage of 9 s there.
func TestHoldingFollowsDemand(t *testing.T) {
	busy, idle := wallet("busy", 1_000_000), wallet("idle", 1_000_000)
	now, at := time.Unix(1000, 0), Instant{BootID: "a", SinceBoot: time.Hour}
	fleet := everybody(7)
	page := put(idle, now, at, Budgets{}, fleet)
	page = put(busy, now, at, page, fleet)
	for range 12 {
		_, now, at = ask(busy, now, at, 10, 2_000)
		page = put(busy, now, at, page, fleet)
		page = put(idle, now, at, page, fleet)
	}
	held, _, _ := ask(busy, now, at, 90, 2_000)
	if held < 85 {
		t.Errorf("%d of 90 requests in 9 s without the store were held; the account has %d tokens left", held,
			1_000_000-busy.State(testAccount).Used)
	}
}

// Guards against spend above the ceiling while another process may still count on it.
func TestCeilingHoldsUntilPatienceIsOver(t *testing.T) {
	w := wallet("router", 10_000_000)
	now, at := time.Unix(1000, 0), Instant{BootID: "a", SinceBoot: time.Hour}
	page := put(w, now, at, Budgets{}, everybody(1))
	for range 12 {
		_, now, at = ask(w, now, at, 10, 1_000)
		page = put(w, now, at, page, everybody(1))
	}
	h := page.ByAccount[testAccount].Allocations[w.self]
	if h.Ceiling >= h.Cap {
		t.Fatalf("ceiling %d is not below the cap %d", h.Ceiling, h.Cap)
	}
	above := h.Ceiling - w.State(testAccount).Used + 1
	if v := w.Reserve(now, at, testAccount, above); v != Insufficient {
		t.Errorf("above the ceiling right after a report: verdict %d, not short", v)
	}
	at.SinceBoot += CeilingTTL
	if v := w.Reserve(now.Add(CeilingTTL), at, testAccount, above); v != Reserved {
		t.Errorf("above the ceiling when patience is over: verdict %d, not held", v)
	}
}

// Guards against spend under an old total after the operator has lowered it, before the store was asked.
func TestLowerTotalScalesTheCap(t *testing.T) {
	w := wallet("router", 1_000_000)
	now, at := time.Unix(1000, 0), Instant{}
	put(w, now, at, Budgets{}, everybody(2))
	before := w.State(testAccount).Cap
	w.SetPaid(testAccount, 100_000, true, 2)
	if v := w.Reserve(now, at, testAccount, before/10+1); v == Reserved {
		t.Errorf("a tenth of the total still allows more than a tenth of the cap %d", before)
	}
	if v := w.Reserve(now, at, testAccount, before/20); v != Reserved {
		t.Errorf("half of the scaled cap is refused: verdict %d", v)
	}
}

// Guards against a writer that draws under a total which another instance knows to be lower.
func TestNewerTotalInThePageWins(t *testing.T) {
	ahead, behind := wallet("ahead", 1_000_000), wallet("behind", 1_000_000)
	now, at := time.Unix(1000, 0), Instant{}
	ahead.SetPaid(testAccount, 10_000, true, 2)
	page := put(ahead, now, at, Budgets{}, everybody(2))
	page = put(behind, now, at, page, everybody(2))
	if sum := page.ByAccount[testAccount].Committed(); sum > 10_000 {
		t.Errorf("caps of %d tokens under a total of 10000", sum)
	}
	if paid := behind.State(testAccount).Paid; paid != 10_000 {
		t.Errorf("an instance that has seen a total of 10000 in the page goes on with %d", paid)
	}
	if v := behind.Reserve(now, at, testAccount, 10_001); v != Exhausted {
		t.Errorf("more than the total in the page: verdict %d, not spent", v)
	}
	behind.SetPaid(testAccount, 1_000_000, true, 1)
	if paid := behind.State(testAccount).Paid; paid != 10_000 {
		t.Errorf("an older configuration brings a total of %d back", paid)
	}
}

// Guards against a refusal as spent while tokens are only held elsewhere, and the other way round.
func TestSpentIsCertain(t *testing.T) {
	one, two := wallet("one", 1_000), wallet("two", 1_000)
	now, at := time.Unix(1000, 0), Instant{}
	page := put(one, now, at, Budgets{}, everybody(2))
	put(two, now, at, page, everybody(2))
	if v := two.Reserve(now, at, testAccount, 900); v != Insufficient {
		t.Errorf("tokens held elsewhere: verdict %d, not short", v)
	}
	if v := two.Reserve(now, at, testAccount, 1_001); v != Exhausted {
		t.Errorf("more than was paid: verdict %d, not spent", v)
	}
}

// Guards against an instance that loses its tokens because another one took it for ended in a long partition.
func TestFoldedHoldingStaysUsable(t *testing.T) {
	w := wallet("router", 1_000)
	now, at := time.Unix(1000, 0), Instant{}
	put(w, now, at, Budgets{}, everybody(1))
	held := w.State(testAccount).Cap
	folded := Budgets{ByAccount: map[laceunit.AccountID]Budget{testAccount: {
		ClosedCap: held,
		Paid:      1_000,
		Version:   1,
	}}}
	page := put(w, now, at, folded, everybody(1))
	if sum := page.ByAccount[testAccount].Committed(); sum > 1_000 {
		t.Errorf("caps of %d tokens under a total of 1000", sum)
	}
	if v := w.Reserve(now, at, testAccount, held); v != Reserved {
		t.Errorf("tokens that were held before are refused: verdict %d", v)
	}
}

// Guards against tokens that stay with a process which was stopped in a partition: its successor starts at once and
// reaches the store long after.
func TestPredecessorIsJudgedByTheStart(t *testing.T) {
	self := laceunit.Holder{
		Instance:    "router",
		Incarnation: 1,
	}
	now, at := time.Unix(1000, 0), Instant{BootID: "a", SinceBoot: time.Hour}
	old := NewWallet(self, DefaultShare, at)
	old.SetPaid(testAccount, 1_000_000, true, 1)
	page := put(old, now, at, Budgets{}, everybody(1))
	for range 12 {
		_, now, at = ask(old, now, at, 10, 1_000)
		page = put(old, now, at, page, everybody(1))
	}
	h := page.ByAccount[testAccount].Allocations[self]
	at.SinceBoot += CeilingTTL / 2
	self.Incarnation = 2
	successor := NewWallet(self, DefaultShare, at)
	successor.SetPaid(testAccount, 1_000_000, true, 1)
	at.SinceBoot += time.Minute
	page = put(successor, now.Add(time.Minute), at, page, everybody(1))
	if got := page.ByAccount[testAccount].ClosedCap; got != h.Ceiling {
		t.Errorf("%d tokens count as spent by the predecessor, not its ceiling of %d", got, h.Ceiling)
	}
}

// Guards against a stopping instance that keeps what others need, and against one that refuses callers which have not
// left yet.
func TestStoppingInstanceKeepsLittle(t *testing.T) {
	w := wallet("router", 10_000_000)
	now, at := time.Unix(1000, 0), Instant{}
	page := put(w, now, at, Budgets{}, everybody(1))
	for range 12 {
		_, now, at = ask(w, now, at, 10, 1_000)
		page = put(w, now, at, page, everybody(1))
	}
	held := func() laceunit.Tokens { return w.State(testAccount).Cap - w.State(testAccount).Used }
	before := held()
	d := w.Plan(now, at, page, w.Accounts(), everybody(1), HeadroomMinimal)
	w.Commit(now, d)
	if after := held(); after > before/4 {
		t.Errorf("%d of %d tokens are kept", after, before)
	}
	if n, _, _ := ask(w, now, at, 5, 1_000); n != 5 {
		t.Errorf("%d of 5 requests of the next half second were held", n)
	}
	d = w.Plan(now, at, d.Budgets, w.Accounts(), everybody(1), HeadroomNone)
	w.Commit(now, d)
	if after := held(); after != 0 {
		t.Errorf("%d tokens are kept at the end", after)
	}
}

// Guards against an account that loses as much again when instances lose power for the second time, until nothing is
// left to serve its callers with.
func TestLossesLowerHoldings(t *testing.T) {
	const (
		members = 7
		paid    = 1_000_000
	)
	now, at := time.Unix(1000, 0), Instant{BootID: "a", SinceBoot: time.Hour}
	var page Budgets
	var lost [2]laceunit.Tokens
	for round := range lost {
		before := page.ByAccount[testAccount].ClosedCap
		fleet := everybody(members)
		for i := range members {
			w := NewWallet(laceunit.Holder{
				Instance:    laceunit.InstanceID(rune('a' + i)),
				Incarnation: laceunit.Incarnation(round + 1),
			}, DefaultShare, Instant{})
			w.SetPaid(testAccount, paid, true, 1)
			page = put(w, now, at, page, fleet)
		}
		// All machines lose power; the next draw of anyone counts what they held as spent.
		fleet.Ended = func(laceunit.Holder) bool { return true }
		page = put(wallet("observer", paid), now, at, page, fleet)
		delete(page.ByAccount[testAccount].Allocations, laceunit.Holder{Instance: "observer", Incarnation: 1})
		lost[round] = page.ByAccount[testAccount].ClosedCap - before
	}
	if lost[0] == 0 || lost[1] > lost[0]/2 {
		t.Errorf("the second loss of power took %d tokens, the first %d; at most half is the target", lost[1], lost[0])
	}
}

// Guards against requests of an account that are served without a limit, because a new configuration has brought the
// account and the wallet does not know yet what it paid.
func TestUnknownAccountsHaveNothing(t *testing.T) {
	w := wallet("router", 1_000_000)
	now := time.Unix(1000, 0)
	if v := w.Reserve(now, Instant{}, "unheard", 10); v == Reserved {
		t.Error("tokens of an account that was never configured were held")
	}
	w.SetPaid("unmetered", 0, false, 1)
	if v := w.Reserve(now, Instant{}, "unmetered", 10); v != Reserved {
		t.Errorf("an account without a total: verdict %d, not held", v)
	}
}
