package lacegrant

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

const (
	testBudget  = laceunit.BudgetID("acme/main")
	testAccount = laceunit.AccountID("acme")
	testPaid    = laceunit.Tokens(1000)
)

// simulation runs two wallets against one ledger state: records may be lost before or after they take effect, grants
// are closed without their holders, offline spend is settled late, and the wallets request transfers from each other.
type simulation struct {
	random       *rand.Rand
	now          time.Time
	state        laceledger.State
	wallets      [2]*Wallet
	reservations [2][]Reservation
	// unsettled is the offline spend for responses that were delivered to callers and are not settled in the ledger yet.
	unsettled [2][]laceledger.Offline
	// delayedVerdicts apply the verdicts on Opens that have not reached the wallets yet.
	delayedVerdicts [2]func()
	// delayedTransfers deliver responses to transfer requests that are still in flight, or duplicates of them.
	delayedTransfers [2][]func()
	// transferReservations counts the offline reservations from transferred tokens.
	transferReservations int
	serial               int
	failure              string
}

func (s *simulation) failf(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

// append appends a record to the ledger. It returns lost if the holder does not receive the verdict, and
// notAppended if the holder knows that the record was not appended.
func (s *simulation) append(r laceledger.Record) (v laceledger.Verdict, lost, notAppended bool) {
	outcome := s.random.Intn(10)
	if outcome == 0 {
		return v, true, true
	}
	if outcome == 1 {
		return v, true, false
	}
	entry, verdicts := s.state.Propose([]laceledger.Record{r}, s.now.Unix(), laceledger.Cutoff{})
	if len(entry.Records) > 0 {
		if err := s.state.Apply(entry); err != nil {
			s.failf("apply: %v", err)
		}
	}
	return verdicts[0], outcome == 2, false
}

func (s *simulation) step() {
	i := s.random.Intn(len(s.wallets))
	w := s.wallets[i]
	s.now = s.now.Add(time.Duration(s.random.Intn(20000)) * time.Millisecond)
	ceiling := laceunit.Tokens(1 + s.random.Intn(60))
	switch s.random.Intn(10) {
	case 8, 9:
		s.requestTransfer(i, ceiling)
	case 0, 1:
		s.reserve(i, ceiling)
	case 2:
		if r, ok := w.ReserveOffline(s.now, testBudget, ceiling); ok {
			s.reservations[i] = append(s.reservations[i], r)
			s.checkWitnesses(i, r)
		}
	case 3:
		s.finish(i)
	case 4:
		s.open(i, ceiling)
	case 5:
		for _, r := range append(w.RetryReturns(), w.ReturnIdle(s.now)...) {
			s.returnTokens(w, r)
		}
	case 6:
		s.settleOffline(i)
	case 7:
		if s.random.Intn(10) == 0 {
			s.closeGrants(i)
		}
	}
	if err := s.state.Check(); err != nil {
		s.failf("ledger: %v", err)
	}
}

func (s *simulation) reserve(i int, ceiling laceunit.Tokens) {
	r, ok := s.wallets[i].Reserve(s.now, testBudget, ceiling)
	if !ok {
		return
	}
	if s.random.Intn(3) == 0 {
		r, _ = s.wallets[i].Convert(r)
	}
	s.reservations[i] = append(s.reservations[i], r)
}

// witnesses returns the current witnesses, which change from time to time as in a changing membership.
func (s *simulation) witnesses() []laceunit.Holder {
	return []laceunit.Holder{{
		Instance:    "w",
		Incarnation: laceunit.Incarnation(1 + s.serial/20),
	}}
}

// requestTransfer sends a transfer request to the other wallet. The request may arrive twice, its response may be lost,
// and any response may be delayed.
func (s *simulation) requestTransfer(i int, ceiling laceunit.Tokens) {
	w := s.wallets[i]
	for _, f := range s.delayedTransfers[i] {
		f()
	}
	s.delayedTransfers[i] = nil
	request, ok := w.RequestTransfer(s.now, testBudget, ceiling)
	if !ok {
		return
	}
	transfer, ok := s.wallets[1-i].HandleTransferRequest(request)
	if repeated, granted := s.wallets[1-i].HandleTransferRequest(request); s.random.Intn(3) == 0 && ok &&
		(!granted || repeated.Tokens != transfer.Tokens || repeated.Grant != transfer.Grant) {
		s.failf("a repeated transfer request got %+v after %+v", repeated, transfer)
	}
	if !ok || s.random.Intn(5) == 0 {
		w.TransferFailed(s.now, request)
	}
	if !ok {
		return
	}
	deliver := func() { w.TransferReceived(request, transfer) }
	if s.random.Intn(2) == 0 {
		deliver()
	}
	if s.random.Intn(2) == 0 {
		s.delayedTransfers[i] = append(s.delayedTransfers[i], deliver)
	} else {
		w.TransferFailed(s.now, request)
	}
}

// checkWitnesses checks that the ledger names the same witnesses as the transfer to which the spender copies its
// journal entries.
func (s *simulation) checkWitnesses(i int, r Reservation) {
	_, witnesses, transferred := s.wallets[i].TransferOrigin(testBudget, r.Grant)
	if transferred {
		s.transferReservations++
	}
	balance, _ := s.state.Balance(testBudget)
	for _, g := range balance.Grants {
		if transferred && g.ID == r.Grant && !slices.Equal(witnesses, g.Witnesses) {
			s.failf("transfer under %s spent with the witnesses %v, the ledger names %v", g.ID, witnesses, g.Witnesses)
		}
	}
}

func (s *simulation) open(i int, ceiling laceunit.Tokens) {
	if s.delayedVerdicts[i] != nil {
		s.delayedVerdicts[i]()
		s.delayedVerdicts[i] = nil
		return
	}
	open, needed := s.wallets[i].PrepareOpen(s.now, testBudget, ceiling, s.random.Intn(2) == 0, s.witnesses())
	if !needed {
		return
	}
	v, lost, notAppended := s.append(open)
	switch {
	case notAppended:
		s.wallets[i].OpenFailed(testBudget)
	case lost:
		s.wallets[i].OpenUncertain(testBudget)
	case s.random.Intn(2) == 0:
		s.delayedVerdicts[i] = func() { s.wallets[i].ApplyOpenVerdict(open, v) }
	default:
		s.wallets[i].ApplyOpenVerdict(open, v)
	}
}

func (s *simulation) returnTokens(w *Wallet, r laceledger.Return) {
	v, lost, notAppended := s.append(r)
	switch {
	case notAppended:
		w.ReturnFailed(r)
	case lost:
		w.ReturnUncertain(r)
	default:
		w.ApplyReturnVerdict(r, v)
	}
}

// finish ends a reservation: an offline one becomes a journal record, any other is recorded by intent and settlement.
func (s *simulation) finish(i int) {
	if len(s.reservations[i]) == 0 {
		return
	}
	r := s.reservations[i][0]
	s.reservations[i] = s.reservations[i][1:]
	used := laceunit.Tokens(1 + s.random.Int63n(int64(r.Ceiling)))
	s.serial++
	request := laceledger.Request{
		Account: testAccount,
		ID:      laceunit.RequestID(fmt.Sprint("r", s.serial)),
	}
	if r.Offline {
		s.unsettled[i] = append(s.unsettled[i], laceledger.Offline{
			Budget:     testBudget,
			Request:    request,
			Digest:     "d",
			Grant:      r.Grant,
			Attempt:    "a",
			Tokens:     used,
			Idempotent: true,
			Finished:   true,
		})
		s.wallets[i].Settle(r, used)
		return
	}
	s.finishOnline(i, r, request, used)
}

func (s *simulation) finishOnline(i int, r Reservation, request laceledger.Request, used laceunit.Tokens) {
	records := []laceledger.Record{
		laceledger.Intent{
			Budget:     testBudget,
			Request:    request,
			Digest:     "d",
			Grant:      r.Grant,
			Ceiling:    r.Ceiling,
			Attempt:    "a",
			Idempotent: true,
		},
		laceledger.Settle{
			Budget:  testBudget,
			Request: request,
			Attempt: "a",
			Tokens:  used,
		},
	}
	entry, verdicts := s.state.Propose(records, s.now.Unix(), laceledger.Cutoff{})
	if len(entry.Records) > 0 {
		if err := s.state.Apply(entry); err != nil {
			s.failf("apply: %v", err)
		}
	}
	switch verdicts[0].Result {
	case laceledger.Accepted:
		s.wallets[i].Settle(r, used)
	case laceledger.Closed:
		s.wallets[i].Drop(testBudget, r.Grant)
	default:
		s.failf("intent against an open grant has result %d: the wallet holds more than the ledger", verdicts[0].Result)
	}
}

// settleOffline settles delivered offline spend in the ledger, which must always accept it.
func (s *simulation) settleOffline(i int) {
	for _, record := range s.unsettled[i] {
		entry, verdicts := s.state.Propose([]laceledger.Record{record}, s.now.Unix(), laceledger.Cutoff{})
		if verdicts[0].Result != laceledger.Accepted {
			s.failf("delivered offline spend of %d tokens was rejected with result %d", record.Tokens,
				verdicts[0].Result)
			return
		}
		if err := s.state.Apply(entry); err != nil {
			s.failf("apply: %v", err)
		}
		s.wallets[i].Flushed(testBudget, record.Grant, record.Tokens)
	}
	s.unsettled[i] = nil
}

// closeGrants closes every grant of a holder without its knowledge, as recovery does for an instance that is suspected
// to be dead.
func (s *simulation) closeGrants(i int) {
	balance, ok := s.state.Balance(testBudget)
	if !ok {
		return
	}
	for _, g := range balance.Grants {
		if g.Holder == s.wallets[i].holder {
			s.append(laceledger.Close{
				Budget: testBudget,
				Grant:  g.ID,
			})
		}
	}
}

func simulate(seed int64) (failure string, transferReservations int) {
	s := &simulation{
		random: rand.New(rand.NewSource(seed)),
		now:    time.Unix(1000, 0),
	}
	for i := range s.wallets {
		s.wallets[i] = NewWallet(laceunit.Holder{
			Instance:    laceunit.InstanceID(fmt.Sprint("i", i)),
			Incarnation: 1,
		}, DefaultPolicy(laceunit.ConsistencyAvailable))
		s.wallets[i].SetInstances(len(s.wallets))
	}
	s.append(laceledger.TopUp{
		Budget:  testBudget,
		Account: testAccount,
		ID:      "t",
		Tokens:  testPaid,
	})
	for range 300 {
		s.step()
	}
	for i := range s.wallets {
		s.settleOffline(i)
	}
	return s.failure, s.transferReservations
}

// Guards against a wallet that spends more than its grants in the ledger: with lost verdicts, grants closed without its
// knowledge and late settlement of offline spend, every delivered response can still be billed.
func TestWalletNeverExceedsItsGrants(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 3000
	properties := gopter.NewProperties(parameters)
	transfers := 0
	properties.Property("delivered spend fits the grants", prop.ForAll(func(seed int64) string {
		failure, n := simulate(seed)
		transfers += n
		if failure != "" {
			return fmt.Sprintf("seed %d: %s", seed, failure)
		}
		return ""
	}, gen.Int64()))
	properties.TestingRun(t)
	if transfers == 0 {
		t.Error("no transfer was spent")
	}
	t.Logf("%d reservations from transfers", transfers)
}
