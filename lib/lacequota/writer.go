package lacequota

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// ErrWriter means that a writer did not answer a proposal; it may have been stored.
var ErrWriter = errors.New("quota: proposals were not answered")

const (
	// maxGroups bounds the groups with waiting proposals: 21,000 accounts make 1,313.
	maxGroups = 4096
	// cacheIdleTimeout is how long the copy of an account's budget is kept after the last call that returned or wrote it.
	// A copy that old is probably outdated, so that the next write would conflict with or without it.
	cacheIdleTimeout = time.Minute
	// maxPending bounds the proposals that wait for the writes of a group: 16 accounts with 340 instances are 5,440.
	maxPending = 8192
	// maxProposalAge is the age from which a proposal is not written. Its sender has written directly by then; a writer
	// that was suspended would only cause conflicts with old proposals.
	maxProposalAge = 3 * time.Second
	// verifiedAge is the age of the last write or conflict up to which the cached budget is trusted when tokens that
	// requests need are not free: another instance may have written directly.
	verifiedAge = 500 * time.Millisecond
	// minWriteInterval is the time between two writes of a group. Requests wait for tokens up to 240 ms.
	minWriteInterval = 60 * time.Millisecond
	// maxMergeAttempts is how often a group is merged before the proposals fail on write conflicts; two writers that
	// disagree about the membership conflict once or twice.
	maxMergeAttempts = 4
)

// Writer merges the proposals of all instances into the stored budgets of the groups that it writes.
type Writer struct {
	self    laceunit.Holder
	store   laceplatform.Batcher
	key     func(laceunit.AccountID) laceplatform.Key
	members Members
	metrics *Metrics
	gate    *outageGate
	era     *eraTracker

	flushes sync.WaitGroup

	mu sync.Mutex
	// ctx is the context of the running flushes, nil while the writer is not running.
	ctx    context.Context
	cache  map[laceunit.AccountID]verifiedBudget
	groups map[GroupID]*batch
	// writtenAt is when the groups were last written.
	writtenAt map[GroupID]time.Time
	// shortages are until when requests at some instance lack tokens of an account.
	shortages map[laceunit.AccountID]time.Time
	evictedAt time.Time
}

// verifiedBudget is a stored budget with the time of the call that returned or wrote it.
type verifiedBudget struct {
	cachedBudget
	verifiedAt time.Time
}

// batch is the queue of one group.
type batch struct {
	pending []pendingProposal
	due     time.Time
	// wake is signaled when due moves forward.
	wake chan struct{}
}

// pendingProposal is a proposal whose answer is sent on a channel with room for it; a closed channel means an error.
type pendingProposal struct {
	proposal  Proposal
	arrivedAt time.Time
	answer    chan Answer
}

// newWriter returns a writer; start must be called before it accepts proposals.
func newWriter(
	o Options, key func(laceunit.AccountID) laceplatform.Key, gate *outageGate, era *eraTracker,
) *Writer {
	return &Writer{
		gate:      gate,
		era:       era,
		self:      o.Self,
		store:     o.Store,
		key:       key,
		members:   o.Members,
		metrics:   o.Metrics,
		cache:     map[laceunit.AccountID]verifiedBudget{},
		groups:    map[GroupID]*batch{},
		writtenAt: map[GroupID]time.Time{},
		shortages: map[laceunit.AccountID]time.Time{},
	}
}

// start accepts proposals until the context is done.
func (w *Writer) start(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctx = ctx
}

// stop accepts no more proposals and waits for the running writes, whose context must be done.
func (w *Writer) stop() {
	w.mu.Lock()
	w.ctx = nil
	w.mu.Unlock()
	w.flushes.Wait()
}

// Propose merges proposals of accounts of one group and returns their answers in order. The write is delayed by at most
// within, so that proposals of other instances share it.
func (w *Writer) Propose(
	ctx context.Context, group GroupID, proposals []Proposal, within time.Duration,
) ([]Answer, error) {
	channels, err := w.enqueue(group, proposals, within)
	if err != nil {
		return nil, err
	}
	answers := make([]Answer, len(proposals))
	for i, c := range channels {
		select {
		case a, ok := <-c:
			if !ok {
				return nil, ErrWriter
			}
			answers[i] = a
		case <-ctx.Done():
			return nil, errors.Wrap(ErrWriter, ctx.Err().Error())
		}
	}
	return answers, nil
}

func (w *Writer) enqueue(group GroupID, proposals []Proposal, within time.Duration) ([]chan Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g, running := w.groups[group]
	if w.ctx == nil || w.ctx.Err() != nil || running && len(g.pending)+len(proposals) > maxPending ||
		!running && len(w.groups) >= maxGroups {
		return nil, ErrWriter
	}
	now := time.Now()
	w.evictIdle(now)
	// Within is counted from the last write, so that a proposal after a pause is not delayed without need.
	due := now.Add(urgentDelay)
	if t := w.writtenAt[group].Add(max(within, minWriteInterval)); due.Before(t) {
		due = t
	}
	if !running {
		g = &batch{
			due:  due,
			wake: make(chan struct{}, 1),
		}
		w.groups[group] = g
		ctx := w.ctx
		w.flushes.Add(1)
		go w.run(ctx, group, g)
	}
	channels := make([]chan Answer, len(proposals))
	for i, p := range proposals {
		channels[i] = make(chan Answer, 1)
		g.pending = append(g.pending, pendingProposal{
			proposal:  p,
			arrivedAt: now,
			answer:    channels[i],
		})
	}
	if due.Before(g.due) || len(g.pending) == len(proposals) {
		g.due = due
		select {
		case g.wake <- struct{}{}:
		default:
			// The loop has not read the previous signal yet and will read the new time.
		}
	}
	return channels, nil
}

// restate merges the copies of earlier eras into the stored budgets, also of accounts without proposals: those of the
// writer, and others that the service has from direct writes.
func (w *Writer) restate(ctx context.Context, others map[laceunit.AccountID]cachedBudget) {
	w.mu.Lock()
	now := time.Now()
	era := w.era.current(now).era
	for a, c := range others {
		w.cache[a] = verifiedBudget{
			cachedBudget: w.cache[a].withFormer(c),
			verifiedAt:   now,
		}
	}
	var accounts []laceunit.AccountID
	for a, c := range w.cache {
		if c.revision.Era() < era || len(c.former) > 0 {
			accounts = append(accounts, a)
		}
	}
	if len(accounts) == 0 || w.ctx == nil || w.ctx.Err() != nil {
		w.mu.Unlock()
		return
	}
	w.flushes.Add(1)
	w.mu.Unlock()
	go func() {
		defer w.flushes.Done()
		slices.Sort(accounts)
		for batch := range slices.Chunk(accounts, maxAccountsPerCall) {
			if err := w.write(ctx, batch, nil); err != nil {
				w.metrics.countFailure()
			}
		}
	}()
}

// evictIdle drops what is known of accounts and groups without proposals, at most once per cacheIdleTimeout; the lock
// must be held.
func (w *Writer) evictIdle(now time.Time) {
	if now.Sub(w.evictedAt) < cacheIdleTimeout {
		return
	}
	w.evictedAt = now
	maps.DeleteFunc(w.cache, func(_ laceunit.AccountID, b verifiedBudget) bool {
		return now.Sub(b.verifiedAt) >= cacheIdleTimeout
	})
	maps.DeleteFunc(w.writtenAt, func(_ GroupID, at time.Time) bool { return now.Sub(at) >= cacheIdleTimeout })
	maps.DeleteFunc(w.shortages, func(_ laceunit.AccountID, until time.Time) bool { return now.After(until) })
}

// run writes the proposals of a group until there are none.
func (w *Writer) run(ctx context.Context, id GroupID, g *batch) {
	defer w.flushes.Done()
	for {
		w.mu.Lock()
		if len(g.pending) == 0 {
			delete(w.groups, id)
			w.mu.Unlock()
			return
		}
		wait := time.Until(g.due)
		if wait <= 0 || ctx.Err() != nil {
			pending := g.pending
			g.pending, w.writtenAt[id] = nil, time.Now()
			w.mu.Unlock()
			w.flush(ctx, pending)
			continue
		}
		w.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-g.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// flush writes and answers proposals.
func (w *Writer) flush(ctx context.Context, pending []pendingProposal) {
	defer func() {
		for _, p := range pending {
			close(p.answer)
		}
	}()
	now := time.Now()
	byAccount := map[laceunit.AccountID][]pendingProposal{}
	var accounts []laceunit.AccountID
	for _, p := range pending {
		if now.Sub(p.arrivedAt) > maxProposalAge {
			continue
		}
		a := p.proposal.Account
		if byAccount[a] == nil {
			accounts = append(accounts, a)
		}
		byAccount[a] = append(byAccount[a], p)
	}
	for len(accounts) > 0 && ctx.Err() == nil {
		n := min(len(accounts), maxAccountsPerCall)
		if err := w.write(ctx, accounts[:n], byAccount); err != nil {
			w.metrics.countFailure()
			return
		}
		accounts = accounts[n:]
	}
}

// write merges and writes the proposals of some accounts, and answers them.
func (w *Writer) write(
	ctx context.Context, accounts []laceunit.AccountID, pending map[laceunit.AccountID][]pendingProposal,
) error {
	for range maxMergeAttempts {
		merged, swaps, err := w.merge(accounts, pending)
		if err != nil {
			return err
		}
		var revision laceplatform.Revision
		if len(swaps) > 0 {
			if err = w.gate.enter(time.Now()); err != nil {
				return err
			}
			callCtx, cancel := context.WithTimeout(ctx, updateTimeout(swaps))
			revision, err = w.store.SwapAll(callCtx, swaps)
			cancel()
			w.gate.record(err)
			w.metrics.countGroupWrite()
			if era := revision.Era(); err == nil && era != merged[accounts[0]].era {
				// The entries were missing, so that nothing showed that the store was restored before the write.
				return errors.Wrapf(laceplatform.ErrUnknown, "quota: write a group in era %d", era)
			}
		}
		if err == nil {
			w.answer(accounts, pending, merged, revision)
			return nil
		}
		conflict := &laceplatform.Conflict{}
		if !errors.Is(err, laceplatform.ErrConflict) {
			return errors.Wrap(err, "quota: write a group")
		}
		w.metrics.countConflict()
		errors.As(err, &conflict)
		if err := w.cacheConflict(conflict, swaps, accounts); err != nil {
			return err
		}
	}
	return errors.New("quota: too many write conflicts")
}

// mergedAccount is the result for one account.
type mergedAccount struct {
	Merged
	// cached is the copy of the stored budget that the proposals were merged into.
	cached Budget
	// written is true if the budget has to be written before the proposals are answered.
	written bool
	era     laceplatform.Era
}

// merge merges proposals into a cached budget, which may be outdated.
func (c verifiedBudget) merge(now time.Time, proposals []Proposal, policy mergePolicy) mergedAccount {
	m := Merge(c.budget, proposals, policy)
	m.Budget.After = c.revision
	return mergedAccount{
		Merged: m,
		cached: c.budget,
		written: m.Material || m.Lacking > 0 && now.Sub(c.verifiedAt) > verifiedAge || len(c.former) > 0 ||
			c.revision != 0 && c.revision.Era() < policy.era,
		era: policy.era,
	}
}

// answer returns the answer to a proposal; stored is the merged budget if it was written, otherwise the cached one.
func (m mergedAccount) answer(
	i int, holder laceunit.Holder, stored Budget, shortage bool, live func(laceunit.Holder) bool,
) Answer {
	outcome := m.Outcomes[i]
	if !m.written && outcome == OutcomeApplied {
		outcome = OutcomeUnchanged
	}
	return Answer{
		Outcome:  outcome,
		Standing: stored.standing(holder, live),
		Shortage: shortage,
		Lenders:  stored.lenders(holder, live),
		Era:      m.era,
	}
}

// merge merges the proposals into the cached budgets and returns the swaps that are necessary.
func (w *Writer) merge(
	accounts []laceunit.AccountID, pending map[laceunit.AccountID][]pendingProposal,
) (map[laceunit.AccountID]mergedAccount, []laceplatform.Swap, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	era := w.era.current(now)
	result := make(map[laceunit.AccountID]mergedAccount, len(accounts))
	var swaps []laceplatform.Swap
	for _, a := range accounts {
		proposals := make([]Proposal, 0, len(pending[a]))
		for _, p := range pending[a] {
			proposals = append(proposals, p.proposal)
		}
		cached := w.cache[a]
		x := cached.merge(now, proposals, mergePolicy{
			ended:       w.ended,
			holdIdle:    now.Before(w.shortages[a]),
			era:         era.era,
			unconfirmed: era.unconfirmed(now, cached.budget, w.members),
		})
		if x.Lacking > 0 {
			w.shortages[a] = now.Add(shortageDuration)
		}
		result[a] = x
		if !x.written {
			continue
		}
		value, err := Encode(x.Budget)
		if err != nil {
			return nil, nil, err
		}
		swaps = append(swaps, laceplatform.Swap{
			Key:    w.key(a),
			Value:  value,
			Expect: cached.revision,
		})
	}
	return result, swaps, nil
}

func (w *Writer) ended(h laceunit.Holder, x Allocation) (laceunit.Tokens, bool) {
	return x.Cap, h != w.self && w.members.Ended(h)
}

// cacheConflict caches the current budgets of the accounts whose swaps failed. A malformed one is never overwritten.
func (w *Writer) cacheConflict(
	conflict *laceplatform.Conflict, swaps []laceplatform.Swap, accounts []laceunit.AccountID,
) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	era := w.era.current(now).era
	for _, a := range accounts {
		for _, s := range swaps {
			if s.Key != w.key(a) {
				continue
			}
			e := conflict.Entry(s.Key)
			c, err := w.cache[a].next(era, e)
			if err != nil {
				return errors.Wrap(err, string(e.Key))
			}
			w.cache[a] = verifiedBudget{
				cachedBudget: c,
				verifiedAt:   now,
			}
		}
	}
	return nil
}

// answer caches what was written and answers the proposals.
func (w *Writer) answer(
	accounts []laceunit.AccountID, pending map[laceunit.AccountID][]pendingProposal,
	merged map[laceunit.AccountID]mergedAccount, revision laceplatform.Revision,
) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, a := range accounts {
		m := merged[a]
		b := m.cached
		if m.written {
			b = m.Budget
			w.cache[a] = verifiedBudget{
				cachedBudget: cachedBudget{
					budget:   m.Budget,
					revision: revision,
				},
				verifiedAt: now,
			}
		}
		for i, p := range pending[a] {
			answer := m.answer(i, p.proposal.Sender.Holder, b, now.Before(w.shortages[a]), w.members.Live)
			w.metrics.countProposal(answer.Outcome)
			p.answer <- answer
		}
	}
}
