package lacequota

import (
	"context"
	"testing"
	"time"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

// Guards against an instance that refuses requests during an outage of the store although another instance holds unused
// tokens of their account.
func TestLoanServesRequestsDuringOutage(t *testing.T) {
	lender, borrower := newTestWallet("rich", 1_000_000), newTestWallet("poor", 1_000_000)
	now, at := time.Unix(1000, 0), Instant{}
	commitUpdate(lender, now, at, Budgets{}, liveFleet(1))
	if v := borrower.Reserve(now, at, testAccount, 5_000); v != Insufficient {
		t.Fatalf("verdict %d without tokens", v)
	}
	amount := lender.Lend(now, at, testAccount, 5_000, 8_000)
	borrower.Borrow(now, testAccount, amount)
	if v := borrower.RetryReserve(now, at, testAccount, 5_000); v != Reserved {
		t.Errorf("verdict %d after a loan of %d", v, amount)
	}
	if s := lender.State(testAccount); s.Used != amount {
		t.Errorf("the lender counts %d of %d tokens as spent", s.Used, amount)
	}
}

// Guards against a lender that lends what its own clients need shortly, and against loans that are too small to serve a
// request.
func TestLenderKeepsReserve(t *testing.T) {
	w := newTestWallet("router", 1_000_000)
	now, at := time.Unix(1000, 0), Instant{}
	budgets := commitUpdate(w, now, at, Budgets{}, liveFleet(1))
	for range 12 {
		_, now, at = serveRequests(w, now, at, 10, 1_000)
		budgets = commitUpdate(w, now, at, budgets, liveFleet(1))
	}
	s := w.State(testAccount)
	available := s.Cap - s.Used
	if amount := w.Lend(now, at, testAccount, 1, available); amount > available-15_000 {
		t.Errorf("%d of %d tokens were lent at a rate of 10,000 per second", amount, available)
	}
	if amount := w.Lend(now, at, testAccount, available, available); amount != 0 {
		t.Errorf("%d tokens were lent, below the minimum of %d", amount, available)
	}
}

// Guards against an isolated instance that keeps the last tokens of an account for clients whose requests it forwards, so
// that the instances that get them refuse them.
func TestIsolatedInstanceLendsItsReserve(t *testing.T) {
	w := newTestWallet("router", 1_000_000)
	s := &Service{wallet: w}
	now, at := time.Unix(1000, 0), Instant{}
	budgets := commitUpdate(w, now, at, Budgets{}, liveFleet(1))
	for range 12 {
		_, now, at = serveRequests(w, now, at, 10, 1_000)
		budgets = commitUpdate(w, now, at, budgets, liveFleet(1))
	}
	if v := w.Reserve(now, at, testAccount, 2_000); v != Reserved {
		t.Fatalf("verdict %d", v)
	}
	state := w.State(testAccount)
	available := state.Cap - state.Used - state.Reserved
	s.SetIsolated(true)
	if amount := w.Lend(now, at, testAccount, available, 2*available); amount != available {
		t.Errorf("%d of %d tokens were lent", amount, available)
	}
}

// Guards against losing a loan that is received while an update is in flight.
func TestLoanDuringUpdateIsKept(t *testing.T) {
	w := newTestWallet("router", 1_000_000)
	now, at := time.Unix(1000, 0), Instant{}
	u := w.Plan(now, at, Budgets{}, []laceunit.AccountID{testAccount}, liveFleet(2), HeadroomShare)
	w.Borrow(now, testAccount, 7_000)
	w.Commit(now, u)
	want := u.Budgets.ByAccount[testAccount].Allocations[w.self].Cap + 7_000
	if got := w.State(testAccount).Cap; got != want {
		t.Errorf("cap %d after an update to %d and a loan of 7000", got, want-7_000)
	}
}

// outageStore is a store that can be made unavailable.
type outageStore struct {
	conflictingStore
	unavailable bool
}

// SwapAll implements laceplatform.Batcher.
func (s *outageStore) SwapAll(ctx context.Context, swaps []laceplatform.Swap) (laceplatform.Revision, error) {
	if s.unavailable {
		return 0, laceplatform.ErrUnavailable
	}
	return s.conflictingStore.SwapAll(ctx, swaps)
}

// fakeLender is a lender whose instances all lend from one wallet.
type fakeLender struct {
	wallet *Wallet
	calls  int
}

// Lend implements Lender.
func (l *fakeLender) Lend(_ context.Context, _ laceunit.InstanceID, q LoanQuery) laceunit.Tokens {
	l.calls++
	return l.wallet.Lend(time.Now(), Instant{}, q.Account, q.MinTokens, q.MaxTokens)
}

// Guards against a lender that has lost the store and lends under a total that the borrower knows to be lower, and
// against a borrower's older total replacing a newer one.
func TestLenderUsesNewestTotal(t *testing.T) {
	lend := func(paid laceunit.Tokens, version laceunit.Version) (amount, total laceunit.Tokens) {
		s := New(Options{Log: lacelog.Discard()})
		s.wallet = newTestWallet("lender", 1_000_000)
		s.wallet.SetPaid(testAccount, 1_000_000, true, 2)
		commitUpdate(s.wallet, time.Now(), Instant{}, Budgets{}, liveFleet(1))
		amount = s.Lend("borrower", LoanQuery{
			Account:   testAccount,
			MinTokens: 1,
			MaxTokens: 1_000_000,
			Paid:      paid,
			Version:   version,
		})
		return amount, s.wallet.State(testAccount).Paid
	}
	full, _ := lend(1_000_000, 2)
	if amount, total := lend(100_000, 3); amount != full/10 || total != 100_000 {
		t.Errorf("%d tokens were lent under a tenth of the total, %d under the full one; the lender uses a total of %d",
			amount, full, total)
	}
	if amount, total := lend(100_000, 1); amount != full || total != 1_000_000 {
		t.Errorf("%d tokens were lent to a borrower with an older total, want %d; the lender uses a total of %d",
			amount, full, total)
	}
}

// Guards against requests that wait for an unavailable store although another instance holds tokens of their account,
// and against repeated loan queries when it has none left.
func TestReserveBorrowsDuringStoreOutage(t *testing.T) {
	lender := newTestWallet("rich", 1_000_000)
	store := &outageStore{}
	u := lender.Plan(time.Now(), Instant{}, Budgets{}, []laceunit.AccountID{testAccount}, liveFleet(2), HeadroomShare)
	lender.Commit(time.Now(), u)
	value, err := Encode(u.Budgets.ByAccount[testAccount])
	if err != nil {
		t.Fatal(err)
	}
	store.entry = laceplatform.Entry{Value: value, Revision: 1}
	l := &fakeLender{wallet: lender}
	s := New(Options{
		Self:    laceunit.Holder{Instance: "poor", Incarnation: 1},
		Store:   store,
		Members: singleInstance{},
		Lender:  l,
		Log:     lacelog.Discard(),
	})
	s.Configure(laceroute.NewTable(laceroute.Document{
		Version:  1,
		Accounts: []laceroute.Account{{ID: testAccount, Paid: 1_000_000, Prepaid: true}},
	}))
	if err := s.update(t.Context(), []laceunit.AccountID{testAccount}); err != nil {
		t.Fatal(err)
	}
	store.unavailable = true
	s.markFailed()
	_, state := s.Reserve(t.Context(), testAccount, 1)
	maxTokens := state.Cap - state.Used + 1_000
	if v, state := s.Reserve(t.Context(), testAccount, maxTokens); v != Reserved || l.calls != 1 {
		t.Errorf("verdict %d after %d loan queries: %+v", v, l.calls, state)
	}
	if v, _ := s.Reserve(t.Context(), testAccount, 700_000); v != Insufficient || l.calls > 1+maxLenders {
		t.Errorf("verdict %d after %d loan queries for more than any instance has", v, l.calls)
	}
}
