package lacequota

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lacewingcove/lib/laceplatform"
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
	maxRequest    int
	delayedWrites []func()
	// writers are what two writers of the account have cached; either may get a proposal.
	writers [2]verifiedBudget
	queues  [2][]queuedProposal
	// messages are proposals and answers on their way, combined is whether tokens are held for fast updates.
	messages []func()
	combined bool
	// direct is true if no proposals are sent, partitions if running holders may be considered ended.
	direct     bool
	partitions bool
	// fixedTotal is true if the total is not raised, allowed is the bound of what may be spent after it was lowered.
	fixedTotal bool
	allowed    laceunit.Tokens
	// malformed is the first proposal that a writer would reject as malformed.
	malformed string
	// outcomes counts the answers that holders applied.
	outcomes        map[Outcome]int
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
		combined:   seed%2 == 0,
		outcomes:   map[Outcome]int{},
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
	u := m.wallet.Plan(s.now, s.instant(i), budgets, []laceunit.AccountID{testAccount}, s.fleet(), policy)
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
			if s.random.Intn(4) == 0 { // The answer arrives late.
				wallet := m.wallet
				s.messages = append(s.messages, func() { wallet.Commit(s.now, u) })
				return
			}
			m.wallet.Commit(s.now, u)
		}
	}
}

func (s *simulation) fleet() Fleet {
	// Which holders count as ended does not depend on the order in which a map is read, so that a seed can be repeated.
	chosen := s.random.Intn(60)
	return Fleet{
		ActiveCount: machineCount,
		Combined:    s.combined,
		Live:        func(laceunit.Holder) bool { return true },
		// A holder may be considered ended while it runs without access to the store.
		Ended: func(h laceunit.Holder) bool {
			return s.partitions && (int(h.Incarnation)*17+chosen)%60 == 0
		},
	}
}

// propose makes a machine send a proposal to a writer, and at times a copy to another one.
func (s *simulation) propose(i int) {
	m := &s.machines[i]
	policy := []HeadroomPolicy{HeadroomShare, HeadroomShare, HeadroomMinimal, HeadroomPending}[s.random.Intn(4)]
	x, material := m.wallet.Propose(s.now, s.instant(i), testAccount, s.fleet(), policy)
	if !material {
		return
	}
	if x.Used > x.Least || x.Least > x.Floor || x.Floor > x.Want {
		s.malformed = fmt.Sprintf("malformed proposal %+v", x)
	}
	wallet := m.wallet
	for range 1 + s.random.Intn(5)/4 {
		k := s.random.Intn(len(s.writers))
		s.post(func() {
			s.queues[k] = append(s.queues[k], queuedProposal{proposal: x, sender: wallet})
			if s.random.Intn(3) > 0 {
				s.merge(k, s.queues[k])
				s.queues[k] = nil
			}
		})
	}
}

// queuedProposal is a proposal that a writer merges together with others.
type queuedProposal struct {
	proposal Proposal
	sender   *Wallet
}

// merge makes a writer merge proposals; the write may fail, be delayed or lost, and so may the answers.
func (s *simulation) merge(k int, queue []queuedProposal) {
	var proposals []Proposal
	for _, q := range queue {
		proposals = append(proposals, q.proposal)
	}
	if s.random.Intn(20) == 0 { // The writer was killed.
		s.writers[k] = verifiedBudget{}
	}
	for range maxMergeAttempts {
		c, fleet := s.writers[k], s.fleet()
		merged := c.merge(s.now, proposals, mergePolicy{
			ended:    func(h laceunit.Holder, a Allocation) (laceunit.Tokens, bool) { return a.Cap, fleet.Ended(h) },
			holdIdle: s.random.Intn(4) == 0,
		})
		data, err := Encode(merged.Budget)
		if err != nil {
			panic(err)
		}
		stored := merged.Budget
		write := func() bool {
			if s.revision != int(c.revision) {
				return false
			}
			s.stored = data
			s.revision++
			return true
		}
		lost := s.random.Intn(8)
		switch {
		case !merged.written:
			stored = c.budget
		case lost == 0: // The writer is suspended during its write.
			s.delayedWrites = append(s.delayedWrites, func() { write() })
			return
		case !write():
			budget, err := Decode(s.stored)
			if err != nil {
				panic(err)
			}
			s.writers[k] = verifiedBudget{
				cachedBudget: cachedBudget{budget: budget, revision: laceplatform.Revision(s.revision)},
				verifiedAt:   s.now,
			}
			continue
		case lost == 1: // The answer of the store is lost.
			return
		default:
			s.writers[k] = verifiedBudget{
				cachedBudget: cachedBudget{budget: stored, revision: laceplatform.Revision(s.revision)},
				verifiedAt:   s.now,
			}
		}
		for i, q := range queue {
			answer := merged.answer(i, q.proposal.Sender.Holder, stored, false, s.fleet().Live)
			s.post(func() {
				s.outcomes[answer.Outcome]++
				q.sender.Accept(s.now, q.proposal, answer)
			})
		}
		return
	}
}

// post delivers a message at once, later or never.
func (s *simulation) post(deliver func()) {
	switch s.random.Intn(8) {
	case 0: // The message is lost.
	case 1, 2:
		s.messages = append(s.messages, deliver)
	default:
		deliver()
	}
}

func (s *simulation) step() {
	i := s.random.Intn(machineCount)
	m := &s.machines[i]
	if s.random.Intn(4) > 0 {
		s.now = s.now.Add(time.Duration(s.random.Intn(500)) * time.Millisecond)
	}
	switch c := s.random.Intn(60); c {
	case 3:
		if len(s.delayedWrites) > 0 {
			s.delayedWrites[0]()
			s.delayedWrites = s.delayedWrites[1:]
		}
	case 1, 2: // A delayed message arrives, possibly after later ones.
		if n := len(s.messages); n > 0 {
			k := s.random.Intn(n)
			deliver := s.messages[k]
			s.messages = append(s.messages[:k], s.messages[k+1:]...)
			deliver()
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
		if s.fixedTotal {
			return
		}
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
			if s.direct || s.random.Intn(4) == 0 {
				s.update(i)
			} else {
				s.propose(i)
			}
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
		s.machines[to].wallet.Borrow(s.now, testAccount, amount)
		s.loans++
	}
}

// reachable is what was consumed and what the running processes may still spend without another update.
func (s *simulation) reachable() laceunit.Tokens {
	sum := s.consumed
	for i := range s.machines {
		state := s.machines[i].wallet.State(testAccount)
		sum += max(state.Cap-state.Used-state.Reserved, 0)
	}
	return sum
}

// usable is what was consumed and what the running processes may still spend under the totals that they know, after the
// ceilings in force have ended.
func (s *simulation) usable() laceunit.Tokens {
	sum := s.consumed
	for i := range s.machines {
		w := s.machines[i].wallet
		p := w.portion(testAccount)
		sum += max(w.limit(p, Instant{})-p.used-p.reserved, 0)
	}
	return sum
}

// lower lowers the total at all machines. What is held is scaled with it; the caps of ended processes are not.
func (s *simulation) lower() {
	total := s.paid / laceunit.Tokens(2+s.random.Intn(3))
	s.allowed = s.consumed + (s.paid-s.consumed)*total/s.paid + machineCount
	s.paid = total
	s.version++
	for i := range s.machines {
		s.machines[i].wallet.SetPaid(testAccount, s.paid, true, s.version)
	}
}

// fault returns a description of a state in which an account may be overspent, empty if there is none. The caps in the
// store cover what may be spent at any time, also while tokens are free: a cap without cover would be granted twice.
func (s *simulation) fault() string {
	stored, err := Decode(s.stored)
	if err != nil {
		panic(err)
	}
	n := s.reachable()
	if s.allowed > 0 {
		if x := s.usable(); x > s.allowed || n > stored.Committed() {
			return fmt.Sprintf("consumed %d, may consume %d of %d, stored caps %d, total lowered to %d",
				s.consumed, x, s.allowed, stored.Committed(), s.paid)
		}
		return s.malformed
	}
	if n > s.paid || n > stored.Committed() || stored.Committed() > s.paid {
		return fmt.Sprintf("consumed %d, may consume %d, stored caps %d, paid %d", s.consumed, n, stored.Committed(), s.paid)
	}
	return s.malformed
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
// and partitions, by direct writes alone and by proposals that are lost, duplicated, delayed, or merged by two writers
// which are suspended or killed.
func TestNeverOverspends(t *testing.T) {
	for name, direct := range map[string]bool{"direct": true, "proposals": false} {
		t.Run(name, func(t *testing.T) {
			parameters := gopter.DefaultTestParametersWithSeed(20261204)
			parameters.MinSuccessfulTests = 400
			properties := gopter.NewProperties(parameters)
			outcomes := map[Outcome]int{}
			properties.Property("consumption does not exceed what was paid", prop.ForAll(func(seed int64) bool {
				s := newSimulation(seed)
				s.direct, s.partitions = direct, !direct && seed%3 == 0
				for range 800 {
					s.step()
					if fault := s.fault(); fault != "" {
						t.Logf("seed %d: %s", seed, fault)
						return false
					}
				}
				for o, n := range s.outcomes {
					outcomes[o] += n
				}
				return true
			}, gen.Int64()))
			properties.TestingRun(t)
			for o := OutcomeApplied; !direct && o <= OutcomeUnavailable; o++ {
				if outcomes[o] == 0 {
					t.Errorf("no answer with outcome %q in all runs", o)
				}
			}
			t.Log(outcomes)
		})
	}
}

// Guards against spending more than a lower total allows of what is held, in the same orders of events, among them answers
// to proposals and writes that were sent before.
func TestLowerTotalIsNotOverspent(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261206)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("consumption does not exceed a lower total", prop.ForAll(func(seed int64) bool {
		s := newSimulation(seed)
		s.fixedTotal, s.partitions = true, seed%3 == 0
		for i := range 600 {
			if i == 100 {
				s.lower()
			}
			s.step()
			if fault := s.fault(); fault != "" {
				t.Logf("seed %d, step %d: %s", seed, i, fault)
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
	s.direct = true
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
