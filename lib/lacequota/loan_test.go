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

// Guards against an instance that refuses its callers during an outage of the store while another one holds tokens of
// their account that nobody asks it for.
func TestLoanServesCallersDuringAnOutage(t *testing.T) {
	rich, poor := wallet("rich", 1_000_000), wallet("poor", 1_000_000)
	now, at := time.Unix(1000, 0), Instant{}
	put(rich, now, at, Budgets{}, everybody(1))
	if v := poor.Reserve(now, at, testAccount, 5_000); v != Insufficient {
		t.Fatalf("verdict %d without tokens", v)
	}
	amount := rich.Lend(now, at, testAccount, 5_000, 8_000)
	poor.Borrow(testAccount, amount)
	if v := poor.RetryReserve(now, at, testAccount, 5_000); v != Reserved {
		t.Errorf("verdict %d after a loan of %d", v, amount)
	}
	if s := rich.State(testAccount); s.Used != amount {
		t.Errorf("the lender counts %d of %d tokens as spent", s.Used, amount)
	}
}

// Guards against a lender that hands over what its own callers need in the next moments, and against loans that are too
// small to serve anyone.
func TestLendersKeepWhatTheyNeed(t *testing.T) {
	w := wallet("router", 1_000_000)
	now, at := time.Unix(1000, 0), Instant{}
	page := put(w, now, at, Budgets{}, everybody(1))
	for range 12 {
		_, now, at = ask(w, now, at, 10, 1_000)
		page = put(w, now, at, page, everybody(1))
	}
	s := w.State(testAccount)
	free := s.Cap - s.Used
	if amount := w.Lend(now, at, testAccount, 1, free); amount > free-15_000 {
		t.Errorf("%d of %d tokens were lent at a rate of 10,000 a second", amount, free)
	}
	if amount := w.Lend(now, at, testAccount, free, free); amount != 0 {
		t.Errorf("%d tokens were lent where %d are needed", amount, free)
	}
}

// Guards against loans that a draw takes back, because its answer came after them.
func TestLoansOutlastADraw(t *testing.T) {
	w := wallet("router", 1_000_000)
	now, at := time.Unix(1000, 0), Instant{}
	d := w.Plan(now, at, Budgets{}, []laceunit.AccountID{testAccount}, everybody(2), HeadroomShare)
	w.Borrow(testAccount, 7_000)
	w.Commit(now, d)
	want := d.Budgets.ByAccount[testAccount].Allocations[w.self].Cap + 7_000
	if got := w.State(testAccount).Cap; got != want {
		t.Errorf("cap %d after a draw of %d and a loan of 7000", got, want-7_000)
	}
}

// down is a store that has an outage after its first answer.
type down struct {
	contested
	away bool
}

// SwapAll implements laceplatform.Batcher.
func (d *down) SwapAll(ctx context.Context, swaps []laceplatform.Swap) (laceplatform.Revision, error) {
	if d.away {
		return 0, laceplatform.ErrUnavailable
	}
	return d.contested.SwapAll(ctx, swaps)
}

// neighbour is an instance that lends from a wallet.
type neighbour struct {
	wallet *Wallet
	asked  int
}

// Lend implements Lender.
func (n *neighbour) Lend(_ context.Context, _ laceunit.InstanceID, q LoanQuery) laceunit.Tokens {
	n.asked++
	return n.wallet.Lend(time.Now(), Instant{}, q.Account, q.MinTokens, q.MaxTokens)
}

// Guards against a lender that has lost the store and hands over tokens by a total which the borrower knows to be lower, and
// against a borrower whose older total undoes a newer one.
func TestLendersGoByTheNewestTotal(t *testing.T) {
	lend := func(paid laceunit.Tokens, version laceunit.Version) (amount, known laceunit.Tokens) {
		s := New(Options{Log: lacelog.Discard()})
		s.wallet = wallet("lender", 1_000_000)
		s.wallet.SetPaid(testAccount, 1_000_000, true, 2)
		put(s.wallet, time.Now(), Instant{}, Budgets{}, everybody(1))
		amount = s.Lend("borrower", LoanQuery{
			Account:   testAccount,
			MinTokens: 1,
			MaxTokens: 1_000_000,
			Paid:      paid,
			Version:   version,
		})
		return amount, s.wallet.State(testAccount).Paid
	}
	whole, _ := lend(1_000_000, 2)
	if amount, known := lend(100_000, 3); amount != whole/10 || known != 100_000 {
		t.Errorf("%d of %d tokens were lent under a tenth of the total, %d is known", amount, whole, known)
	}
	if amount, known := lend(100_000, 1); amount != whole || known != 1_000_000 {
		t.Errorf("%d of %d tokens were lent to a borrower with an older total, %d is known", amount, whole, known)
	}
}

// Guards against requests that wait for a store which does not answer although another instance has their tokens, and
// against questions to it that never end when it has none.
func TestReserveBorrowsWhenTheStoreIsAway(t *testing.T) {
	rich := wallet("rich", 1_000_000)
	store := &down{}
	d := rich.Plan(time.Now(), Instant{}, Budgets{}, []laceunit.AccountID{testAccount}, everybody(2), HeadroomShare)
	rich.Commit(time.Now(), d)
	value, err := Encode(d.Budgets.ByAccount[testAccount])
	if err != nil {
		t.Fatal(err)
	}
	store.entry = laceplatform.Entry{Value: value, Revision: 1}
	n := &neighbour{wallet: rich}
	s := New(Options{
		Self:    laceunit.Holder{Instance: "poor", Incarnation: 1},
		Store:   store,
		Members: alone{},
		Lender:  n,
		Log:     lacelog.Discard(),
	})
	s.Configure(laceroute.NewTable(laceroute.Document{
		Version:  1,
		Accounts: []laceroute.Account{{ID: testAccount, Paid: 1_000_000, Prepaid: true}},
	}))
	if err := s.draw(t.Context(), []laceunit.AccountID{testAccount}); err != nil {
		t.Fatal(err)
	}
	store.away = true
	s.fail()
	_, state := s.Reserve(t.Context(), testAccount, 1)
	most := state.Cap - state.Used + 1_000
	if v, state := s.Reserve(t.Context(), testAccount, most); v != Reserved || n.asked != 1 {
		t.Errorf("verdict %d after %d questions: %+v", v, n.asked, state)
	}
	if v, _ := s.Reserve(t.Context(), testAccount, 700_000); v != Insufficient || n.asked > 1+lenders {
		t.Errorf("verdict %d after %d questions for more than anyone has", v, n.asked)
	}
}
