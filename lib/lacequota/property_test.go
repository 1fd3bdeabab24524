package lacequota

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lacewingcove/lib/laceunit"
)

const (
	testAccount = laceunit.AccountID("coop")
	testPaid    = laceunit.Tokens(60_000)
	machines    = 4
)

// world plays wallets on machines against one page of a store that loses answers and carries writes out late.
type world struct {
	random   *rand.Rand
	now      time.Time
	page     []byte
	revision int
	paid     laceunit.Tokens
	version  laceunit.Version
	consumed laceunit.Tokens
	// lent counts the loans that arrived.
	lent int
	// size is the largest request.
	size   int
	late   []func()
	nodes  [machines]node
	serial laceunit.Incarnation
}

// node is a machine with the process that runs on it.
type node struct {
	wallet *Wallet
	boot   int
	start  time.Time
	live   []laceunit.Tokens
}

func newWorld(seed int64) *world {
	w := &world{
		random:  rand.New(rand.NewSource(seed)),
		now:     time.Unix(1_000_000, 0),
		paid:    testPaid,
		version: 1,
		size:    []int{300, 900, 6_000}[int(uint64(seed)%3)],
	}
	for i := range w.nodes {
		w.nodes[i].start = w.now.Add(-time.Hour)
		w.restart(i)
	}
	return w
}

func (w *world) restart(i int) {
	w.serial++
	n := &w.nodes[i]
	n.wallet = NewWallet(laceunit.Holder{
		Instance:    laceunit.InstanceID(fmt.Sprint("router-", i)),
		Incarnation: w.serial,
	}, DefaultShare, w.instant(i))
	n.live = nil
	n.wallet.SetPaid(testAccount, w.paid, true, w.version)
}

func (w *world) instant(i int) Instant {
	return Instant{
		BootID:    fmt.Sprint(w.nodes[i].boot),
		SinceBoot: w.now.Sub(w.nodes[i].start),
	}
}

// draw lets a machine change the page; the fate of the write is drawn.
func (w *world) draw(i int) {
	n := &w.nodes[i]
	budget, err := Decode(w.page)
	if err != nil {
		panic(err)
	}
	page := Budgets{ByAccount: map[laceunit.AccountID]Budget{testAccount: budget}}
	read := w.revision
	keep := HeadroomShare
	if w.random.Intn(5) == 0 { // Others take the callers for a while.
		keep = HeadroomPending
	}
	d := n.wallet.Plan(w.now, w.instant(i), page, []laceunit.AccountID{testAccount}, Fleet{
		ActiveCount: machines,
		Live:        func(laceunit.Holder) bool { return true },
		Ended:       func(laceunit.Holder) bool { return false },
	}, keep)
	text, err := Encode(d.Budgets.ByAccount[testAccount])
	if err != nil {
		panic(err)
	}
	write := func() bool {
		if w.revision != read {
			return false
		}
		w.page = text
		w.revision++
		return true
	}
	switch w.random.Intn(6) {
	case 0: // Not carried out.
	case 1: // Carried out, not answered.
		write()
	case 2: // Carried out later if nobody else has written.
		w.late = append(w.late, func() { write() })
	default:
		if write() {
			if w.random.Intn(4) == 0 {
				w.lend(w.random.Intn(machines), i)
			}
			n.wallet.Commit(w.now, d)
		}
	}
}

func (w *world) step() {
	i := w.random.Intn(machines)
	n := &w.nodes[i]
	w.now = w.now.Add(time.Duration(w.random.Intn(500)) * time.Millisecond)
	switch c := w.random.Intn(60); c {
	case 3:
		if len(w.late) > 0 {
			w.late[0]()
			w.late = w.late[1:]
		}
	case 4: // The process is killed and starts again.
		w.restart(i)
	case 5: // The machine loses power; its clock starts anew.
		if w.random.Intn(8) == 0 {
			n.boot++
			n.start = w.now
			w.restart(i)
		}
	case 6:
		w.version++
		w.paid += laceunit.Tokens(w.random.Intn(4_000))
		for k := range w.nodes {
			if w.random.Intn(2) == 0 {
				w.nodes[k].wallet.SetPaid(testAccount, w.paid, true, w.version)
			}
		}
	case 7:
		if len(n.live) > 0 {
			most := n.live[0]
			n.live = n.live[1:]
			n.wallet.Settle(testAccount, most, most)
		}
	case 10, 11:
		w.lend(i, w.random.Intn(machines))
	default:
		if c%4 == 0 {
			w.draw(i)
			return
		}
		requests := 1
		if c == 9 { // One account sends many times its usual.
			requests = 20
		}
		for range requests {
			w.request(i)
		}
	}
}

// lend hands tokens from one machine to another; the answer may be lost, or come while a draw of the borrower is under
// way.
func (w *world) lend(from, to int) {
	least := laceunit.Tokens(1 + w.random.Intn(w.size))
	if from == to {
		return
	}
	amount := w.nodes[from].wallet.Lend(w.now, w.instant(from), testAccount, least, 2*least)
	if amount > 0 && w.random.Intn(4) > 0 {
		w.nodes[to].wallet.Borrow(testAccount, amount)
		w.lent++
	}
}

func (w *world) request(i int) {
	n := &w.nodes[i]
	most := laceunit.Tokens(1 + w.random.Intn(w.size))
	if n.wallet.Reserve(w.now, w.instant(i), testAccount, most) != Reserved {
		return
	}
	n.live = append(n.live, most)
	// The server may deliver everything, whatever becomes of the process.
	w.consumed += most
}

// Guards against spending more than was paid, by any order of kills, power losses, lost answers, late writes, top-ups
// and partitions.
func TestNeverOverspends(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	properties.Property("consumed is at most what was paid", prop.ForAll(func(seed int64) bool {
		w := newWorld(seed)
		for range 800 {
			w.step()
			if w.consumed > w.paid {
				t.Logf("seed %d: consumed %d of %d", seed, w.consumed, w.paid)
				return false
			}
		}
		return true
	}, gen.Int64()))
	properties.TestingRun(t)
}

// Guards against tokens that stay with killed processes: a fleet whose processes are killed one after the other while
// it reports keeps most of an account usable.
func TestRestartsGetTokensBack(t *testing.T) {
	w := newWorld(7)
	w.paid = 10_000_000
	for i := range w.nodes {
		w.nodes[i].wallet.SetPaid(testAccount, w.paid, true, w.version)
	}
	for round := range 100 {
		w.now = w.now.Add(500 * time.Millisecond)
		for i := range w.nodes {
			n := &w.nodes[i]
			if n.wallet.Reserve(w.now, w.instant(i), testAccount, 1_000) == Reserved {
				n.wallet.Settle(testAccount, 1_000, 1_000)
				w.consumed += 1_000
			}
			for {
				before := w.revision
				w.draw(i)
				if w.revision > before {
					break
				}
			}
		}
		if round%25 == 24 {
			for i := range w.nodes {
				w.restart(i)
			}
		}
	}
	b, err := Decode(w.page)
	if err != nil {
		t.Fatal(err)
	}
	if lost := b.ClosedCap - b.ClosedUsed; lost > w.paid/10 {
		t.Errorf("killed processes keep %d of %d tokens, more than a tenth", lost, w.paid)
	}
}
