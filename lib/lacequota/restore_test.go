package lacequota

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// restorableStore has the budget of one account and is restored from backups, as its client sees it.
type restorableStore struct {
	era    laceplatform.Era
	number int64
	entry  laceplatform.Entry
}

// swap writes at a revision that was read when the era was known. Like the client, it fails for revisions of other eras,
// and its outcome is unknown if the store was restored in between.
func (s *restorableStore) swap(known laceplatform.Era, expect laceplatform.Revision, value []byte) (laceplatform.Revision, error) {
	if expect != 0 && expect.Era() != known || expect.Number() != s.entry.Revision.Number() {
		return 0, laceplatform.ErrConflict
	}
	s.number++
	s.entry = laceplatform.Entry{
		Value:    value,
		Revision: s.revision(s.number),
	}
	if expect != 0 && known != s.era {
		return 0, laceplatform.ErrUnknown
	}
	return s.entry.Revision, nil
}

func (s *restorableStore) revision(number int64) laceplatform.Revision {
	r, err := laceplatform.NewRevision(s.era, number)
	if err != nil {
		panic(err)
	}
	return r
}

// restore begins an era with a former content.
func (s *restorableStore) restore(backup restorableStore) {
	s.era++
	s.number, s.entry = backup.number, backup.entry
	s.entry.Revision = s.revision(backup.entry.Revision.Number())
}

func (s *restorableStore) budget() Budget {
	b, err := Decode(s.entry.Value)
	if err != nil {
		panic(err)
	}
	return b
}

// restoredNode is an instance in a simulation with a store that is restored.
type restoredNode struct {
	wallet *Wallet
	era    storeEra
	// firstEra is the era in which the instance started.
	firstEra laceplatform.Era
	// copied is what the instance has read or written itself, written what its writer has.
	copied  cachedBudget
	written verifiedBudget
	// contactAt is when the store last answered, cut until when it does not.
	contactAt, cut time.Time
	reserved       []laceunit.Tokens
}

// restoreSimulation plays instances of an account whose store is restored.
type restoreSimulation struct {
	random *rand.Rand
	now    time.Time
	store  restorableStore
	// backups are former contents with their times; the store is restored from recent ones.
	backups  []restorableStore
	nodes    [3]*restoredNode
	messages []func()
	// endedAt is when the processes that have ended did so.
	endedAt  map[laceunit.Holder]time.Time
	last     laceunit.Incarnation
	combined bool
	paid     laceunit.Tokens
	// failures is whether processes die and are cut off.
	failures bool
	// unknown is the spend that no live instance had a record of when the store lost it.
	unknown  laceunit.Tokens
	consumed laceunit.Tokens
	restores int
}

func newRestoreSimulation(seed int64) *restoreSimulation {
	s := &restoreSimulation{
		random:   rand.New(rand.NewSource(seed)),
		now:      time.Unix(1_000_000, 0),
		endedAt:  map[laceunit.Holder]time.Time{},
		combined: seed%2 == 0,
		failures: seed%3 > 0,
		paid:     []laceunit.Tokens{6_000, 20_000, 60_000}[int(uint64(seed)/6%3)],
	}
	for i := range s.nodes {
		s.start(i)
	}
	return s
}

func (s *restoreSimulation) instant() Instant {
	return Instant{BootID: "b", SinceBoot: s.now.Sub(time.Unix(900_000, 0))}
}

func (s *restoreSimulation) start(i int) {
	s.last++
	s.nodes[i] = &restoredNode{wallet: NewWallet(laceunit.Holder{
		Instance:    laceunit.InstanceID(fmt.Sprint("router-", i)),
		Incarnation: s.last,
	}, DefaultShare, s.instant())}
	s.nodes[i].wallet.SetPaid(testAccount, s.paid, true, 1)
	s.nodes[i].firstEra = s.store.era
	s.reach(s.nodes[i])
}

// end ends a process. What only it knew is unknown from then on.
func (s *restoreSimulation) end(i int) {
	n := s.nodes[i]
	p := n.wallet.portion(testAccount)
	s.endedAt[n.wallet.self] = s.now
	caps := map[laceunit.Holder]laceunit.Tokens{}
	for _, c := range []cachedBudget{n.copied, n.written.cachedBudget} {
		if c.revision.Era() == s.store.era && len(c.former) == 0 {
			continue
		}
		s.unknown += max(c.budget.ClosedCap-s.store.budget().ClosedCap, 0)
		for h, a := range c.budget.Allocations {
			caps[h] = max(caps[h], a.Cap)
		}
	}
	caps[n.wallet.self] = p.cap - p.chargedElsewhere
	for h, c := range caps {
		known := s.store.budget().Allocations[h].Cap
		for _, other := range s.nodes {
			if other != n {
				known = max(known, s.known(other, h))
			}
		}
		s.unknown += max(c-known, 0)
	}
}

// known returns the cap of a holder in the records of an instance, zero while it is cut off.
func (s *restoreSimulation) known(n *restoredNode, h laceunit.Holder) laceunit.Tokens {
	if s.now.Before(n.cut) {
		return 0
	}
	return max(n.copied.budget.Allocations[h].Cap, n.written.budget.Allocations[h].Cap)
}

// restore restores the store from a backup of the last seconds.
func (s *restoreSimulation) restore() {
	lost := s.store.budget()
	s.store.restore(s.backups[s.random.Intn(len(s.backups))])
	s.restores++
	s.forget(lost)
}

// swap writes to the store. A write of an earlier era replaces what was restated, if its revision was given out again.
func (s *restoreSimulation) swap(
	known laceplatform.Era, expect laceplatform.Revision, value []byte,
) (laceplatform.Revision, error) {
	replaced := s.store.budget()
	revision, err := s.store.swap(known, expect, value)
	if known != s.store.era && !errors.Is(err, laceplatform.ErrConflict) {
		s.forget(replaced)
	}
	return revision, err
}

// forget counts what the store has lost and no instance in touch with it knows.
func (s *restoreSimulation) forget(lost Budget) {
	restored := s.store.budget()
	closed := restored.ClosedCap
	live := map[laceunit.Holder]bool{}
	for _, n := range s.nodes {
		if !s.now.Before(n.cut) {
			live[n.wallet.self] = true
			closed = max(closed, n.copied.budget.ClosedCap, n.written.budget.ClosedCap)
		}
	}
	s.unknown += max(lost.ClosedCap-closed, 0)
	for h, a := range lost.Allocations {
		known := restored.Allocations[h].Cap
		for _, n := range s.nodes {
			known = max(known, s.known(n, h))
		}
		if !live[h] {
			s.unknown += max(a.Cap-known, 0)
		}
	}
}

// reach makes an instance receive a response of the store.
func (s *restoreSimulation) reach(n *restoredNode) {
	n.contactAt = s.now
	n.era.observe(s.now, laceplatform.Connectivity{LastReachable: 1, Era: s.store.era})
	n.wallet.BeginEra(s.now, n.era.era)
}

// restoreMembers is the membership as an instance knows it.
type restoreMembers struct {
	*restoreSimulation

	node *restoredNode
}

// Live implements eraMembers.
func (m restoreMembers) Live(h laceunit.Holder) bool { return m.live(h) }

// HasEarlier implements eraMembers.
func (m restoreMembers) HasEarlier(era laceplatform.Era) bool {
	for _, n := range m.nodes {
		if n != m.node && n.firstEra < era {
			return true
		}
	}
	return false
}

func (s *restoreSimulation) live(h laceunit.Holder) bool { return s.endedAt[h].IsZero() }

func (s *restoreSimulation) ended(h laceunit.Holder) bool {
	at, ok := s.endedAt[h]
	return ok && s.now.Sub(at) > 8*time.Second
}

func (s *restoreSimulation) fleet(n *restoredNode) Fleet {
	return Fleet{
		ActiveCount: len(s.nodes),
		Combined:    s.combined,
		Live:        s.live,
		Ended:       s.ended,
		Unconfirmed: func(b Budget) bool { return n.era.unconfirmed(s.now, b, restoreMembers{s, n}) },
	}
}

// update makes an instance write directly. A lossy write may be delayed, and its answer lost.
func (s *restoreSimulation) update(n *restoredNode, policy HeadroomPolicy, lossy bool) {
	for range maxUpdateAttempts {
		if s.now.Before(n.cut) {
			return
		}
		u := n.wallet.Plan(s.now, s.instant(), Budgets{ByAccount: map[laceunit.AccountID]Budget{
			testAccount: n.copied.budget,
		}}, []laceunit.AccountID{testAccount}, s.fleet(n), policy)
		b := u.Budgets.ByAccount[testAccount]
		b.After = n.copied.revision
		value, err := Encode(b)
		if err != nil {
			panic(err)
		}
		known, expect := n.era.era, n.copied.revision
		if lossy && s.random.Intn(5) == 0 {
			s.messages = append(s.messages, func() { _, _ = s.swap(known, expect, value) })
			return
		}
		revision, err := s.swap(known, expect, value)
		s.reach(n)
		switch {
		case lossy && s.random.Intn(5) == 0:
			return
		case err == nil:
			n.wallet.Commit(s.now, u)
			n.copied = cachedBudget{budget: b, revision: revision}
			return
		case errors.Is(err, laceplatform.ErrUnknown):
			return
		}
		if n.copied, err = n.copied.next(n.wallet.era, s.store.entry); err != nil {
			panic(err)
		}
	}
}

// propose makes an instance send a proposal to the writer at another one.
func (s *restoreSimulation) propose(n, writer *restoredNode, policy HeadroomPolicy) {
	x, material := n.wallet.Propose(s.now, s.instant(), testAccount, s.fleet(n), policy)
	if !material {
		return
	}
	for range 1 + s.random.Intn(6)/5 {
		s.post(func() {
			s.merge(writer, []Proposal{x}, func(a Answer) {
				s.post(func() { n.wallet.Accept(s.now, x, a) })
			})
		})
	}
}

// merge makes a writer write proposals and answer them.
func (s *restoreSimulation) merge(n *restoredNode, proposals []Proposal, answer func(Answer)) {
	for range maxMergeAttempts {
		if s.now.Before(n.cut) || !s.live(n.wallet.self) {
			return
		}
		c := n.written
		m := c.merge(s.now, proposals, mergePolicy{
			ended:       func(h laceunit.Holder, a Allocation) (laceunit.Tokens, bool) { return a.Cap, s.ended(h) },
			era:         n.era.era,
			unconfirmed: n.era.unconfirmed(s.now, c.budget, restoreMembers{s, n}),
		})
		stored := c.budget
		if m.written {
			value, err := Encode(m.Budget)
			if err != nil {
				panic(err)
			}
			revision, err := s.swap(n.era.era, c.revision, value)
			s.reach(n)
			switch {
			case err == nil && revision.Era() != m.era:
				return
			case err == nil:
				stored = m.Budget
				n.written = verifiedBudget{cachedBudget: cachedBudget{budget: stored, revision: revision}, verifiedAt: s.now}
			case errors.Is(err, laceplatform.ErrConflict):
				if n.written.cachedBudget, err = c.next(n.era.era, s.store.entry); err != nil {
					panic(err)
				}
				n.written.verifiedAt = s.now
				continue
			default:
				return
			}
		}
		for i, p := range proposals {
			answer(m.answer(i, p.Sender.Holder, stored, false, s.live))
		}
		return
	}
}

// post delivers a message at once, later or never.
func (s *restoreSimulation) post(deliver func()) {
	switch s.random.Intn(8) {
	case 0: // The message is lost.
	case 1:
		s.messages = append(s.messages, deliver)
	default:
		deliver()
	}
}

// maintain does what instances connected to the store do in time: they receive responses, and restate in a new era.
func (s *restoreSimulation) maintain(n *restoredNode) {
	if s.now.Before(n.cut) {
		return
	}
	if s.now.Sub(n.contactAt) > 1500*time.Millisecond {
		s.reach(n)
	}
	if s.now.Sub(n.era.since) > time.Second && n.wallet.mustRestate(n.wallet.portion(testAccount)) {
		s.update(n, HeadroomShare, false)
	}
	if s.combined && n.copied.revision.Era() < n.era.era && n.copied.revision != 0 {
		n.written.cachedBudget = n.written.withFormer(n.copied)
		n.copied = cachedBudget{}
	}
	if n.written.revision.Era() < n.era.era && n.written.revision != 0 || len(n.written.former) > 0 {
		s.merge(n, nil, nil)
	}
}

func (s *restoreSimulation) step() {
	if s.random.Intn(3) > 0 {
		s.now = s.now.Add(time.Duration(s.random.Intn(300)) * time.Millisecond)
	}
	for _, n := range s.nodes {
		s.maintain(n)
	}
	i := s.random.Intn(len(s.nodes))
	n, other := s.nodes[i], s.nodes[s.random.Intn(len(s.nodes))]
	policy := []HeadroomPolicy{HeadroomShare, HeadroomShare, HeadroomMinimal, HeadroomPending}[s.random.Intn(4)]
	switch c := s.random.Intn(64); {
	case c < 6:
		s.update(n, policy, true)
	case c < 18 && !s.combined:
		s.update(n, HeadroomShare, true)
	case c < 18:
		s.propose(n, s.nodes[s.random.Intn(2)], policy)
	case c < 22 && len(s.messages) > 0: // A delayed message arrives, possibly after later ones.
		k := s.random.Intn(len(s.messages))
		deliver := s.messages[k]
		s.messages = append(s.messages[:k], s.messages[k+1:]...)
		deliver()
	case c < 24:
		s.backups = append(s.backups, s.store)
		s.backups = s.backups[max(len(s.backups)-3, 0):]
	case c == 24 && len(s.backups) > 0 && s.random.Intn(2) == 0:
		s.restore()
	case c == 25: // A planned stop.
		s.reach(n)
		s.update(n, HeadroomNone, false)
		s.end(i)
		s.start(i)
	case c == 26 && s.failures:
		s.end(i)
		s.start(i)
	case c == 27 && s.failures:
		n.cut = s.now.Add(time.Duration(s.random.Intn(12_000)) * time.Millisecond)
	case c < 30:
		s.lend(n, other)
	case c < 34 && len(n.reserved) > 0:
		n.wallet.Settle(testAccount, n.reserved[0], n.reserved[0])
		n.reserved = n.reserved[1:]
	case c >= 34:
		size := laceunit.Tokens(1 + s.random.Intn(900))
		if n.wallet.Reserve(s.now, s.instant(), testAccount, size) == Reserved {
			n.reserved = append(n.reserved, size)
			s.consumed += size
		}
	}
}

func (s *restoreSimulation) lend(from, to *restoredNode) {
	size := laceunit.Tokens(1 + s.random.Intn(900))
	if from == to {
		return
	}
	if amount := from.wallet.Lend(s.now, s.instant(), testAccount, size, 2*size); amount > 0 && s.random.Intn(4) > 0 {
		to.wallet.Borrow(s.now, testAccount, amount)
	}
}

// spendable is what was consumed and what instances may still spend.
func (s *restoreSimulation) spendable() laceunit.Tokens {
	sum := s.consumed
	for _, n := range s.nodes {
		state := n.wallet.State(testAccount)
		sum += max(state.Cap-state.Used-state.Reserved, 0)
	}
	return sum
}

// restoreSeeds is a short run; by hand thousands are played.
const restoreSeeds = 600

// Guards against tokens that are sold twice when the store is restored, in any order of backups, restores, planned stops
// and starts, kills, cut-offs, loans, late writes, proposals and answers. Spend that no live instance had a record of may be sold again.
func TestRestoredStoreIsNotOverspent(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261208)
	parameters.MinSuccessfulTests = restoreSeeds
	properties := gopter.NewProperties(parameters)
	restores, strict := 0, 0
	properties.Property("what may be spent does not exceed what was paid", prop.ForAll(func(seed int64) bool {
		s := newRestoreSimulation(seed)
		for i := range 400 {
			s.step()
			if n := s.spendable(); n > s.paid+s.unknown {
				t.Logf("seed %d, step %d: consumed %d, may consume %d of %d and %d that nobody knew, era %d",
					seed, i, s.consumed, n, s.paid, s.unknown, s.store.era)
				return false
			}
		}
		restores += s.restores
		if s.unknown == 0 && s.restores > 0 {
			strict++
		}
		return true
	}, gen.Int64()))
	properties.TestingRun(t)
	t.Logf("%d restores, %d runs with restores in which everything was known to an instance", restores, strict)
}
