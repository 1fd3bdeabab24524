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

// bench drives two wallets against one ledger state: records may be lost before or after they take effect, grants are
// closed under their holders, offline spend is settled late, and the wallets requestTransfer with each other.
type bench struct {
	random  *rand.Rand
	now     time.Time
	state   laceledger.State
	wallets [2]*Wallet
	live    [2][]Reservation
	// unsettled is offline spend that was delivered to callers and has not reached the ledger.
	unsettled [2][]laceledger.Offline
	// delayed is the verdict on an Open that is still on its way to the holder.
	delayed [2]func()
	// late are answers to transfer requests that are still on their way, or that arrive again.
	late [2][]func()
	// transfers counts the offline reservations of tokens that the other wallet gave.
	transfers int
	serial    int
	broken    string
}

func (b *bench) failf(format string, args ...any) {
	if b.broken == "" {
		b.broken = fmt.Sprintf(format, args...)
	}
}

// append gives a record to the ledger; lost is true when the holder does not learn the verdict, sure when it knows that
// the record was not appended.
func (b *bench) append(r laceledger.Record) (v laceledger.Verdict, lost, sure bool) {
	fate := b.random.Intn(10)
	if fate == 0 {
		return v, true, true
	}
	if fate == 1 {
		return v, true, false
	}
	entry, verdicts := b.state.Propose([]laceledger.Record{r}, b.now.Unix(), laceledger.Cutoff{})
	if len(entry.Records) > 0 {
		if err := b.state.Apply(entry); err != nil {
			b.failf("apply: %v", err)
		}
	}
	return verdicts[0], fate == 2, false
}

func (b *bench) step() {
	i := b.random.Intn(len(b.wallets))
	w := b.wallets[i]
	b.now = b.now.Add(time.Duration(b.random.Intn(20000)) * time.Millisecond)
	ceiling := laceunit.Tokens(1 + b.random.Intn(60))
	switch b.random.Intn(10) {
	case 8, 9:
		b.requestTransfer(i, ceiling)
	case 0, 1:
		b.reserve(i, ceiling)
	case 2:
		if r, ok := w.ReserveOffline(b.now, testBudget, ceiling); ok {
			b.live[i] = append(b.live[i], r)
			b.witnessed(i, r)
		}
	case 3:
		b.end(i)
	case 4:
		b.open(i, ceiling)
	case 5:
		for _, r := range append(w.RetryReturns(), w.ReturnIdle(b.now)...) {
			b.giveBack(w, r)
		}
	case 6:
		b.settle(i)
	case 7:
		if b.random.Intn(10) == 0 {
			b.closeAll(i)
		}
	}
	if err := b.state.Check(); err != nil {
		b.failf("ledger: %v", err)
	}
}

func (b *bench) reserve(i int, ceiling laceunit.Tokens) {
	r, ok := b.wallets[i].Reserve(b.now, testBudget, ceiling)
	if !ok {
		return
	}
	if b.random.Intn(3) == 0 {
		r, _ = b.wallets[i].Convert(r)
	}
	b.live[i] = append(b.live[i], r)
}

// witnesses changes now and then, as members come and go.
func (b *bench) witnesses() []laceunit.Holder {
	return []laceunit.Holder{{
		Instance:    "w",
		Incarnation: laceunit.Incarnation(1 + b.serial/20),
	}}
}

// requestTransfer asks the other wallet. The transfer request may arrive twice, its answer may be lost, and any answer
// may arrive late.
func (b *bench) requestTransfer(i int, ceiling laceunit.Tokens) {
	w := b.wallets[i]
	for _, f := range b.late[i] {
		f()
	}
	b.late[i] = nil
	transferRequest, ok := w.RequestTransfer(b.now, testBudget, ceiling)
	if !ok {
		return
	}
	transfer, ok := b.wallets[1-i].HandleTransferRequest(transferRequest)
	if again, known := b.wallets[1-i].HandleTransferRequest(transferRequest); b.random.Intn(3) == 0 && ok && (!known || again.Tokens != transfer.Tokens || again.Grant != transfer.Grant) {
		b.failf("a repeated transfer request got %+v after %+v", again, transfer)
	}
	if !ok || b.random.Intn(5) == 0 {
		w.TransferFailed(b.now, transferRequest)
	}
	if !ok {
		return
	}
	arrive := func() { w.TransferReceived(transferRequest, transfer) }
	if b.random.Intn(2) == 0 {
		arrive()
	}
	if b.random.Intn(2) == 0 {
		b.late[i] = append(b.late[i], arrive)
	} else {
		w.TransferFailed(b.now, transferRequest)
	}
}

// witnessed checks that the ledger would ask the witnesses that a spender of a transfer copies its entries to.
func (b *bench) witnessed(i int, r Reservation) {
	_, told, transfer := b.wallets[i].TransferOrigin(testBudget, r.Grant)
	if transfer {
		b.transfers++
	}
	balance, _ := b.state.Balance(testBudget)
	for _, g := range balance.Grants {
		if transfer && g.ID == r.Grant && !slices.Equal(told, g.Witnesses) {
			b.failf("transfer under %s spent with the witnesses %v, the ledger names %v", g.ID, told, g.Witnesses)
		}
	}
}

func (b *bench) open(i int, ceiling laceunit.Tokens) {
	if b.delayed[i] != nil {
		b.delayed[i]()
		b.delayed[i] = nil
		return
	}
	open, need := b.wallets[i].PrepareOpen(b.now, testBudget, ceiling, b.random.Intn(2) == 0, b.witnesses())
	if !need {
		return
	}
	v, lost, sure := b.append(open)
	switch {
	case sure:
		b.wallets[i].OpenFailed(testBudget)
	case lost:
		b.wallets[i].OpenUncertain(testBudget)
	case b.random.Intn(2) == 0:
		b.delayed[i] = func() { b.wallets[i].ApplyOpenVerdict(open, v) }
	default:
		b.wallets[i].ApplyOpenVerdict(open, v)
	}
}

func (b *bench) giveBack(w *Wallet, r laceledger.Return) {
	v, lost, sure := b.append(r)
	switch {
	case sure:
		w.ReturnFailed(r)
	case lost:
		w.ReturnUncertain(r)
	default:
		w.ApplyReturnVerdict(r, v)
	}
}

// end finishes a reservation: offline ones leave a journal record, others run through intent and settlement.
func (b *bench) end(i int) {
	if len(b.live[i]) == 0 {
		return
	}
	r := b.live[i][0]
	b.live[i] = b.live[i][1:]
	used := laceunit.Tokens(1 + b.random.Int63n(int64(r.Ceiling)))
	b.serial++
	request := laceledger.Request{
		Account: testAccount,
		ID:      laceunit.RequestID(fmt.Sprint("r", b.serial)),
	}
	if r.Offline {
		b.unsettled[i] = append(b.unsettled[i], laceledger.Offline{
			Budget:     testBudget,
			Request:    request,
			Digest:     "d",
			Grant:      r.Grant,
			Attempt:    "a",
			Tokens:     used,
			Idempotent: true,
			Finished:   true,
		})
		b.wallets[i].Settle(r, used)
		return
	}
	b.online(i, r, request, used)
}

func (b *bench) online(i int, r Reservation, request laceledger.Request, used laceunit.Tokens) {
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
	entry, verdicts := b.state.Propose(records, b.now.Unix(), laceledger.Cutoff{})
	if len(entry.Records) > 0 {
		if err := b.state.Apply(entry); err != nil {
			b.failf("apply: %v", err)
		}
	}
	switch verdicts[0].Result {
	case laceledger.Accepted:
		b.wallets[i].Settle(r, used)
	case laceledger.Closed:
		b.wallets[i].Drop(testBudget, r.Grant)
	default:
		b.failf("intent against an open grant got result %d: the wallet holds more than the ledger", verdicts[0].Result)
	}
}

// settle brings delivered offline spend to the ledger; it must always fit.
func (b *bench) settle(i int) {
	for _, record := range b.unsettled[i] {
		entry, verdicts := b.state.Propose([]laceledger.Record{record}, b.now.Unix(), laceledger.Cutoff{})
		if verdicts[0].Result != laceledger.Accepted {
			b.failf("delivered offline spend of %d was refused with result %d", record.Tokens, verdicts[0].Result)
			return
		}
		if err := b.state.Apply(entry); err != nil {
			b.failf("apply: %v", err)
		}
		b.wallets[i].Flushed(testBudget, record.Grant, record.Tokens)
	}
	b.unsettled[i] = nil
}

// closeAll closes every grant of a holder behind its back, as recovery does for an instance that seems dead.
func (b *bench) closeAll(i int) {
	balance, ok := b.state.Balance(testBudget)
	if !ok {
		return
	}
	for _, g := range balance.Grants {
		if g.Holder == b.wallets[i].holder {
			b.append(laceledger.Close{
				Budget: testBudget,
				Grant:  g.ID,
			})
		}
	}
}

func play(seed int64) (broken string, transfers int) {
	b := &bench{
		random: rand.New(rand.NewSource(seed)),
		now:    time.Unix(1000, 0),
	}
	for i := range b.wallets {
		b.wallets[i] = NewWallet(laceunit.Holder{
			Instance:    laceunit.InstanceID(fmt.Sprint("i", i)),
			Incarnation: 1,
		}, DefaultPolicy(laceunit.ConsistencyAvailable))
		b.wallets[i].SetInstances(len(b.wallets))
	}
	b.append(laceledger.TopUp{
		Budget:  testBudget,
		Account: testAccount,
		ID:      "t",
		Tokens:  testPaid,
	})
	for range 300 {
		b.step()
	}
	for i := range b.wallets {
		b.settle(i)
	}
	return b.broken, b.transfers
}

// Guards against a wallet that spends more than the ledger holds for it: with lost verdicts, grants closed behind its
// back and offline spend that is settled late, every delivered answer can still be billed.
func TestWalletNeverExceedsItsGrants(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 3000
	properties := gopter.NewProperties(parameters)
	transfers := 0
	properties.Property("delivered spend fits the grants", prop.ForAll(func(seed int64) string {
		broken, n := play(seed)
		transfers += n
		if broken != "" {
			return fmt.Sprintf("seed %d: %s", seed, broken)
		}
		return ""
	}, gen.Int64()))
	properties.TestingRun(t)
	if transfers == 0 {
		t.Error("no transfer was spent")
	}
	t.Logf("%d reservations from transfers", transfers)
}
