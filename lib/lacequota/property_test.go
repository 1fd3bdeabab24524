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
	testAccount  = laceunit.AccountID("coop")
	testPaid     = laceunit.Tokens(60_000)
	machineCount = 4
)

// simulation runs wallets on machines against one budget in a store that loses answers and delays writes.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	stored   []byte
	revision int
	paid     laceunit.Tokens
	version  laceunit.Version
	consumed laceunit.Tokens
	// loans counts the loans that were received.
	loans int
	// maxRequest is the maximum size of a request.
	maxRequest      int
	delayedWrites   []func()
	machines        [machineCount]machine
	lastIncarnation laceunit.Incarnation
}

// machine is a machine and the process that runs on it.
type machine struct {
	wallet       *Wallet
	boots        int
	bootedAt     time.Time
	reservations []laceunit.Tokens
}

func newSimulation(seed int64) *simulation {
	s := &simulation{
		random:     rand.New(rand.NewSource(seed)),
		now:        time.Unix(1_000_000, 0),
		paid:       testPaid,
		version:    1,
		maxRequest: []int{300, 900, 6_000}[int(uint64(seed)%3)],
	}
	for i := range s.machines {
		s.machines[i].bootedAt = s.now.Add(-time.Hour)
		s.restart(i)
	}
	return s
}

func (s *simulation) restart(i int) {
	s.lastIncarnation++
	m := &s.machines[i]
	m.wallet = NewWallet(laceunit.Holder{
		Instance:    laceunit.InstanceID(fmt.Sprint("router-", i)),
		Incarnation: s.lastIncarnation,
	}, DefaultShare, s.instant(i))
	m.reservations = nil
	m.wallet.SetPaid(testAccount, s.paid, true, s.version)
}

func (s *simulation) instant(i int) Instant {
	return Instant{
		BootID:    fmt.Sprint(s.machines[i].boots),
		SinceBoot: s.now.Sub(s.machines[i].bootedAt),
	}
}

// update makes a machine update the budget; the outcome of the write is random.
func (s *simulation) update(i int) {
	m := &s.machines[i]
	budget, err := Decode(s.stored)
	if err != nil {
		panic(err)
	}
	budgets := Budgets{ByAccount: map[laceunit.AccountID]Budget{testAccount: budget}}
	revision := s.revision
	policy := HeadroomShare
	if s.random.Intn(5) == 0 { // Other instances serve the clients for a while.
		policy = HeadroomPending
	}
	u := m.wallet.Plan(s.now, s.instant(i), budgets, []laceunit.AccountID{testAccount}, Fleet{
		ActiveCount: machineCount,
		Live:        func(laceunit.Holder) bool { return true },
		Ended:       func(laceunit.Holder) bool { return false },
	}, policy)
	data, err := Encode(u.Budgets.ByAccount[testAccount])
	if err != nil {
		panic(err)
	}
	write := func() bool {
		if s.revision != revision {
			return false
		}
		s.stored = data
		s.revision++
		return true
	}
	switch s.random.Intn(6) {
	case 0: // The write is lost.
	case 1: // The write is applied, the answer is lost.
		write()
	case 2: // The write is delayed and applied if there is no conflict by then.
		s.delayedWrites = append(s.delayedWrites, func() { write() })
	default:
		if write() {
			if s.random.Intn(4) == 0 {
				s.lend(s.random.Intn(machineCount), i)
			}
			m.wallet.Commit(s.now, u)
		}
	}
}

func (s *simulation) step() {
	i := s.random.Intn(machineCount)
	m := &s.machines[i]
	s.now = s.now.Add(time.Duration(s.random.Intn(500)) * time.Millisecond)
	switch c := s.random.Intn(60); c {
	case 3:
		if len(s.delayedWrites) > 0 {
			s.delayedWrites[0]()
			s.delayedWrites = s.delayedWrites[1:]
		}
	case 4: // The process is killed and restarted.
		s.restart(i)
	case 5: // The machine loses power; its boot clock restarts.
		if s.random.Intn(8) == 0 {
			m.boots++
			m.bootedAt = s.now
			s.restart(i)
		}
	case 6:
		s.version++
		s.paid += laceunit.Tokens(s.random.Intn(4_000))
		for k := range s.machines {
			if s.random.Intn(2) == 0 {
				s.machines[k].wallet.SetPaid(testAccount, s.paid, true, s.version)
			}
		}
	case 7:
		if len(m.reservations) > 0 {
			maxTokens := m.reservations[0]
			m.reservations = m.reservations[1:]
			m.wallet.Settle(testAccount, maxTokens, maxTokens)
		}
	case 10, 11:
		s.lend(i, s.random.Intn(machineCount))
	default:
		if c%4 == 0 {
			s.update(i)
			return
		}
		requests := 1
		if c == 9 { // A burst of requests.
			requests = 20
		}
		for range requests {
			s.request(i)
		}
	}
}

// lend lends tokens from one machine to another; the answer may be lost, or arrive while an update of the borrower is
// in flight.
func (s *simulation) lend(from, to int) {
	minTokens := laceunit.Tokens(1 + s.random.Intn(s.maxRequest))
	if from == to {
		return
	}
	amount := s.machines[from].wallet.Lend(s.now, s.instant(from), testAccount, minTokens, 2*minTokens)
	if amount > 0 && s.random.Intn(4) > 0 {
		s.machines[to].wallet.Borrow(testAccount, amount)
		s.loans++
	}
}

func (s *simulation) request(i int) {
	m := &s.machines[i]
	maxTokens := laceunit.Tokens(1 + s.random.Intn(s.maxRequest))
	if m.wallet.Reserve(s.now, s.instant(i), testAccount, maxTokens) != Reserved {
		return
	}
	m.reservations = append(m.reservations, maxTokens)
	// The server may deliver the full response even if the process is killed.
	s.consumed += maxTokens
}

// Guards against spending more than was paid in any order of kills, power losses, lost answers, late writes, top-ups
// and partitions.
func TestNeverOverspends(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	properties.Property("consumption does not exceed what was paid", prop.ForAll(func(seed int64) bool {
		s := newSimulation(seed)
		for range 800 {
			s.step()
			if s.consumed > s.paid {
				t.Logf("seed %d: consumed %d of %d", seed, s.consumed, s.paid)
				return false
			}
		}
		return true
	}, gen.Int64()))
	properties.TestingRun(t)
}

// Guards against losing the tokens of killed processes: while a fleet reports regularly, killing its processes one
// after the other leaves most of an account usable.
func TestRestartsReclaimTokens(t *testing.T) {
	s := newSimulation(7)
	s.paid = 10_000_000
	for i := range s.machines {
		s.machines[i].wallet.SetPaid(testAccount, s.paid, true, s.version)
	}
	for round := range 100 {
		s.now = s.now.Add(500 * time.Millisecond)
		for i := range s.machines {
			m := &s.machines[i]
			if m.wallet.Reserve(s.now, s.instant(i), testAccount, 1_000) == Reserved {
				m.wallet.Settle(testAccount, 1_000, 1_000)
				s.consumed += 1_000
			}
			for {
				before := s.revision
				s.update(i)
				if s.revision > before {
					break
				}
			}
		}
		if round%25 == 24 {
			for i := range s.machines {
				s.restart(i)
			}
		}
	}
	b, err := Decode(s.stored)
	if err != nil {
		t.Fatal(err)
	}
	if lost := b.ClosedCap - b.ClosedUsed; lost > s.paid/10 {
		t.Errorf("killed processes lost %d of %d tokens, more than a tenth", lost, s.paid)
	}
}
