package lacequota

import (
	"context"
	"time"

	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

const (
	// silentTimeout is how long beyond the delay of its write a writer may take to answer.
	silentTimeout = 300 * time.Millisecond
	// writerRetryDelay is how long a silent writer is not asked again. The membership lists another one after 2.5 s.
	writerRetryDelay = time.Second
	// combineInterval is the interval at which due proposals are collected; urgent ones are sent at once.
	combineInterval = 100 * time.Millisecond
)

// Writers selects the instance that writes the budgets of a group.
type Writers interface {
	// BudgetWriter returns the writer of a group, false if there is none.
	BudgetWriter(group string) (laceunit.InstanceID, bool)
}

// Proposer sends proposals to other instances.
type Proposer interface {
	// Propose returns the answers of a writer to proposals of one group in order; the write may be delayed by within.
	Propose(
		ctx context.Context, writer laceunit.InstanceID, group GroupID, proposals []Proposal, within time.Duration,
	) ([]Answer, error)
}

// Combination configures the combination of the updates of all instances in one writer for each group of accounts.
type Combination struct {
	Writers  Writers
	Proposer Proposer
}

// call is a running call with proposals.
type call struct {
	group     GroupID
	proposals []Proposal
	within    time.Duration
}

// combination is the state of a service that sends its updates to writers.
type combination struct {
	Combination
	writer *Writer
	// groups are the groups of the accounts of the newest configuration.
	groups map[laceunit.AccountID]GroupID
	// running are the calls with the newest proposal of an account.
	running map[laceunit.AccountID]*call
	// silentAt is when a writer last failed to answer, directAt when this instance last wrote a group directly.
	silentAt map[laceunit.InstanceID]time.Time
	directAt map[GroupID]time.Time
}

// Writer returns the writer that serves the proposals of other instances, nil if updates are not combined.
func (s *Service) Writer() *Writer { return s.combination.writer }

// combines reports whether updates are sent to writers: only in fleets in which most instances are on standby, where
// the active ones share all accounts, and only with a clock that orders the proposals.
func (s *Service) combines() bool {
	return s.combination.writer != nil && s.options.Members.HasStandby() && s.options.Clock().BootID != ""
}

// setGroups assigns the accounts to groups; the lock must be held.
func (s *Service) setGroups(accounts []laceunit.AccountID) {
	if s.combination.writer != nil {
		s.combination.groups = groupAccounts(accounts)
	}
}

// proposeDue sends the proposals that are due. An account has one call at a time, or two if requests begin to wait
// while a report is delayed.
func (s *Service) proposeDue(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.combination
	s.applyEra()
	now, at, policy := time.Now(), s.options.Clock(), s.headroomPolicy()
	fleet := s.fleet()
	calls := map[GroupID]*call{}
	for _, a := range s.wallet.Accounts() {
		group, known := c.groups[a]
		delay, due := s.wallet.ProposalDelay(now, at, a)
		if due && !s.canPropose(now, group) {
			continue
		}
		if running := c.running[a]; !known || !due || running != nil && (delay > urgentDelay || running.within <= delay) {
			continue
		}
		x, material := s.wallet.Propose(now, at, a, fleet, policy)
		if !material {
			continue
		}
		if calls[group] == nil {
			calls[group] = &call{
				group:  group,
				within: delay,
			}
		}
		calls[group].proposals = append(calls[group].proposals, x)
		calls[group].within = min(calls[group].within, delay)
		c.running[a] = calls[group]
	}
	for _, x := range calls {
		s.calls.Add(1)
		go s.send(ctx, x)
	}
}

// canPropose reports whether the writer of a group, or the store, may answer; the lock must be held.
func (s *Service) canPropose(now time.Time, group GroupID) bool {
	writer, ok := s.combination.Writers.BudgetWriter(string(group))
	return ok && now.Sub(s.combination.silentAt[writer]) >= writerRetryDelay || s.gate.isOpen(now)
}

// send sends proposals to the writer of their group, and writes directly if the writer does not answer.
func (s *Service) send(ctx context.Context, c *call) {
	defer s.calls.Done()
	answers, err := s.ask(ctx, c)
	if err == nil {
		s.accept(c, answers)
		return
	}
	s.options.Metrics.countFallback()
	s.mu.Lock()
	var accounts []laceunit.AccountID
	for _, x := range c.proposals {
		// A newer call writes the others.
		if s.combination.running[x.Account] == c {
			accounts = append(accounts, x.Account)
		}
	}
	wait := minUrgentInterval - time.Since(s.combination.directAt[c.group])
	s.mu.Unlock()
	if len(accounts) > 0 && (wait <= 0 || lacekernel.Sleep(ctx, wait)) {
		if err := s.update(ctx, accounts); err != nil && ctx.Err() == nil {
			s.reportFailure(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.combination.directAt[c.group] = time.Now()
	s.end(c)
}

// end removes a call; the lock must be held.
func (s *Service) end(c *call) {
	for _, x := range c.proposals {
		if s.combination.running[x.Account] == c {
			delete(s.combination.running, x.Account)
		}
	}
}

// ask returns the answers of the writer of a group.
func (s *Service) ask(ctx context.Context, c *call) ([]Answer, error) {
	writer, ok := s.combination.Writers.BudgetWriter(string(c.group))
	s.mu.Lock()
	silent := time.Since(s.combination.silentAt[writer]) < writerRetryDelay
	s.mu.Unlock()
	if !ok || silent {
		return nil, ErrWriter
	}
	callCtx, cancel := context.WithTimeout(ctx, c.within+silentTimeout)
	defer cancel()
	var answers []Answer
	var err error
	if writer == s.options.Self.Instance {
		answers, err = s.combination.writer.Propose(callCtx, c.group, c.proposals, c.within)
	} else {
		answers, err = s.combination.Proposer.Propose(callCtx, writer, c.group, c.proposals, c.within)
	}
	if err == nil && (len(answers) != len(c.proposals) || !canRestate(c.proposals, answers)) {
		err = ErrWriter
	}
	if err != nil && ctx.Err() == nil {
		s.markSilent(writer, err)
	}
	return answers, err
}

// canRestate reports whether a writer knows of eras, if an allocation is restated. Older ones take a lower stored cap for
// one that was closed.
func canRestate(proposals []Proposal, answers []Answer) bool {
	for i, p := range proposals {
		if p.Restate && p.Era > 0 && answers[i].Era == 0 {
			return false
		}
	}
	return true
}

// markSilent records that a writer did not answer.
func (s *Service) markSilent(writer laceunit.InstanceID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.combination.silentAt[writer]; !known {
		s.options.Log.Error(err, "budgets are written directly, as their writer does not answer",
			lacelog.P("writer", writer))
	}
	s.combination.silentAt[writer] = time.Now()
}

// accept applies the answers of a writer.
func (s *Service) accept(c *call, answers []Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEra()
	now := time.Now()
	for i, x := range c.proposals {
		before := s.wallet.State(x.Account).Cap
		s.wallet.Accept(now, x, answers[i])
		state := s.wallet.State(x.Account)
		s.options.Metrics.observe(x.Account, state)
		if state.Cap != before {
			s.logUpdate(x.Account, state)
		}
		if answers[i].Outcome == OutcomeApplied {
			s.storeFailing = false
		}
	}
	s.lastUpdate = now
	s.end(c)
	s.notifyWaiters()
	s.triggerUpdate()
}
