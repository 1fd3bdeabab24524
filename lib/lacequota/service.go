package lacequota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

const (
	// minInterval is how often an instance reports spend and adapts its caps, with two calls to the store each time.
	minInterval = time.Second
	// In larger fleets, the interval is intervalPerInstance times the number of active instances, to keep write
	// conflicts rare. maxInterval bounds it, since the successor of a killed process reclaims its tokens only if the
	// last report is within CeilingTTL.
	intervalPerInstance = 140 * time.Millisecond
	maxInterval         = 2500 * time.Millisecond
	// minUrgentInterval is the minimum time from one update to an urgent one. Requests wait for urgent updates, so it
	// is shorter than the time they wait.
	minUrgentInterval = 200 * time.Millisecond
	// callTimeout bounds one call to the store, which answers in milliseconds when it is healthy. The budgets that a
	// call sends, and gets back on a conflict, extend the timeout by their size: linkRate is the throughput in bytes
	// per second of one connection among many over a link of 10 Mbit/s.
	callTimeout = 800 * time.Millisecond
	linkRate    = 30 << 10
	// maxUpdateAttempts is how often an update is attempted before it fails on write conflicts.
	maxUpdateAttempts = 6
	// maxAccountsPerCall is how many accounts one call changes; the store accepts 32 entries and an account needs two.
	maxAccountsPerCall = 16
)

// Members is the membership of the instances that share the accounts.
type Members interface {
	// Size is the number of active instances, which serve clients.
	Size() int
	// HasStandby reports whether there are also standby instances.
	HasStandby() bool
	// Active reports whether this instance is active.
	Active() bool
	// Live reports whether an incarnation is a member.
	Live(holder laceunit.Holder) bool
	// Ended reports whether an incarnation is known to have ended for good.
	Ended(holder laceunit.Holder) bool
	// HasEarlier reports whether another member may have used the store before an era.
	HasEarlier(era laceplatform.Era) bool
}

// Options configure a quota service.
type Options struct {
	Self  laceunit.Holder
	Store laceplatform.Batcher
	// Prefix is the key prefix of the stored budgets.
	Prefix  laceplatform.Key
	Share   float64
	Members Members
	// Lender sends loan queries to other instances; if nil, nothing is borrowed.
	Lender Lender
	// Combination is how updates are sent to the writers of the accounts; without a Proposer, each instance writes the
	// budgets itself.
	Combination Combination
	// Contact tells whether the store answers; if nil, each write is attempted.
	Contact Contact
	// Clock is the machine's boot clock; if nil, no tokens of an ended process are reclaimed.
	Clock func() Instant
	// WarmUp is how long after the first configuration only minimal headroom is held. When all instances start
	// together, the first ones would otherwise take the shares of those that are not members yet.
	WarmUp  time.Duration
	Log     *lacelog.Logger
	Metrics *Metrics
}

// Service reserves tokens for requests and updates the stored budgets in the background.
type Service struct {
	options Options
	trigger chan struct{}
	// calls are the running calls with proposals.
	calls sync.WaitGroup
	gate  *outageGate
	era   *eraTracker

	mu     sync.Mutex
	wallet *Wallet
	// cache holds the stored budgets as this instance last read or wrote them.
	cache       map[laceunit.AccountID]cachedBudget
	combination combination
	// loans are the loans in flight, loanRefusedAt is when all lenders last refused a loan for an account.
	loans         map[laceunit.AccountID]*loan
	loanRefusedAt map[laceunit.AccountID]time.Time
	// updated is closed and replaced after each update, successful or not.
	updated chan struct{}
	// storeFailing is true if the last call to the store failed.
	storeFailing bool
	// headroom is the base policy; a planned stop lowers it.
	headroom HeadroomPolicy
	// standby is true while other instances serve the clients.
	standby bool
	// configuredAt is when the first configuration was applied.
	configuredAt time.Time
	// lastReserve is when tokens were last requested by Reserve.
	lastReserve time.Time
	// lastUpdate is when the store last confirmed an update.
	lastUpdate time.Time
	// callStarted is when the running direct call to the store was sent, zero if there is none.
	callStarted time.Time
}

// New returns a quota service; Serve must be running for its budgets to be updated.
func New(options Options) *Service {
	if options.Clock == nil {
		options.Clock = func() Instant { return Instant{} }
	}
	if options.Share <= 0 {
		options.Share = DefaultShare
	}
	s := &Service{
		options:       options,
		gate:          &outageGate{contact: options.Contact},
		era:           &eraTracker{contact: options.Contact},
		trigger:       make(chan struct{}, 1),
		wallet:        NewWallet(options.Self, options.Share, options.Clock()),
		cache:         map[laceunit.AccountID]cachedBudget{},
		loans:         map[laceunit.AccountID]*loan{},
		loanRefusedAt: map[laceunit.AccountID]time.Time{},
		updated:       make(chan struct{}),
		combination: combination{
			Combination: options.Combination,
			running:     map[laceunit.AccountID]*call{},
			silentAt:    map[laceunit.InstanceID]time.Time{},
			directAt:    map[GroupID]time.Time{},
		},
	}
	if options.Combination.Proposer != nil {
		s.combination.writer = newWriter(options, s.key, s.gate, s.era)
	}
	return s
}

// Configure applies what the accounts have paid.
func (s *Service) Configure(t *laceroute.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configuredAt.IsZero() {
		s.configuredAt = time.Now()
	}
	var prepaid []laceunit.AccountID
	for _, a := range t.Accounts() {
		s.wallet.SetPaid(a.ID, a.Paid, a.Prepaid, t.Version())
		if a.Prepaid {
			prepaid = append(prepaid, a.ID)
		}
	}
	s.setGroups(prepaid)
	s.triggerUpdate()
}

// Reserve reserves tokens. If the cap does not cover them, it waits for an update if the store is healthy and an update
// may raise the limit, otherwise for a loan from another instance, at most until the context is done.
func (s *Service) Reserve(ctx context.Context, account laceunit.AccountID, maxTokens laceunit.Tokens) (Verdict, State) {
	reserve := s.wallet.Reserve
	combines := s.combines()
	for {
		s.mu.Lock()
		now := time.Now()
		s.lastReserve = now
		v := reserve(now, s.options.Clock(), account, maxTokens)
		reserve = s.wallet.RetryReserve
		state := s.wallet.State(account)
		updated := s.updated
		canGrow := v == Insufficient && s.canGrow(now, account, combines)
		if canGrow {
			s.triggerUpdate()
		}
		wait := canGrow && !s.storeFailing && !s.callOverdue(now)
		if wait {
			s.wallet.AddWaiting(account, maxTokens)
		}
		s.mu.Unlock()
		if v != Insufficient {
			return v, state
		}
		if !wait {
			if s.borrow(ctx, account, maxTokens) {
				continue
			}
			return v, state
		}
		select {
		case <-ctx.Done():
		case <-updated:
		}
		s.mu.Lock()
		s.wallet.AddWaiting(account, -maxTokens)
		s.mu.Unlock()
		if ctx.Err() != nil {
			return v, state
		}
	}
}

// canGrow reports whether an update may raise the limit of an account; the lock must be held.
func (s *Service) canGrow(now time.Time, account laceunit.AccountID, combines bool) bool {
	if combines {
		return s.wallet.MayAsk(now, account)
	}
	return s.wallet.CanGrow(account)
}

// callOverdue reports whether a call to the store takes longer than requests wait for it; the lock must be held.
func (s *Service) callOverdue(now time.Time) bool {
	return !s.callStarted.IsZero() && now.Sub(s.callStarted) > maxCallAge
}

// LastReserve returns when tokens were last requested.
func (s *Service) LastReserve() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastReserve
}

// maxCallAge is the age of a call to the store up to which requests wait for its result, as long as a request waits at
// most.
const maxCallAge = 240 * time.Millisecond

// Settle replaces a reservation by what was consumed.
func (s *Service) Settle(account laceunit.AccountID, maxTokens, consumed laceunit.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallet.Settle(account, maxTokens, consumed)
	if s.wallet.Urgent(s.options.Clock(), account) {
		s.triggerUpdate()
	}
}

// Serve implements suture.Service: it updates the budgets until the context is done.
func (s *Service) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.calls.Wait()
	if w := s.combination.writer; w != nil {
		w.start(ctx)
		defer w.stop()
	}
	defer cancel()
	// Without jitter, instances that start together would keep writing at the same time.
	timer := time.NewTimer(rand.N(minInterval / 4))
	defer timer.Stop()
	eraTicker := time.NewTicker(eraInterval)
	defer eraTicker.Stop()
	var last time.Time
	var restated laceplatform.Era
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.trigger:
			if wait := minUrgentInterval - time.Since(last); !s.combines() && !last.IsZero() && wait > 0 &&
				!lacekernel.Sleep(ctx, wait) {
				return ctx.Err()
			}
		case <-timer.C:
		case <-eraTicker.C:
			era := s.updateEra()
			if era == restated {
				continue
			}
			restated = era
			if w := s.combination.writer; w != nil {
				w.restate(ctx, s.lostCopies(era))
			}
		}
		if s.combines() {
			s.proposeDue(ctx)
			timer.Reset(combineInterval)
			continue
		}
		interval := min(max(minInterval, intervalPerInstance*time.Duration(s.options.Members.Size())), maxInterval)
		started := time.Now()
		called, err := s.updateAll(ctx, interval/2)
		if called {
			// An update that found nothing to write does not delay the first request after it.
			last = started
		}
		if err != nil && ctx.Err() == nil {
			s.reportFailure(err)
		}
		timer.Reset(interval*3/4 + rand.N(interval/2))
	}
}

// reportFailure records, logs and counts that budgets could not be written.
func (s *Service) reportFailure(err error) {
	s.markFailed()
	s.options.Log.Error(err, "budget update failed", lacelog.P(lacelog.Age, s.sinceLastUpdate().Milliseconds()))
	s.options.Metrics.countFailure()
}

// Drain returns most of what is neither spent nor reserved with the next updates, since clients are about to switch to
// other instances.
func (s *Service) Drain() { s.setHeadroom(HeadroomMinimal) }

// SetStandby sets whether other instances serve the clients. On standby, only what waiting requests need is held.
func (s *Service) SetStandby(standby bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standby = standby
	s.triggerUpdate()
}

func (s *Service) setHeadroom(policy HeadroomPolicy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.headroom = policy
	s.triggerUpdate()
}

// Release returns what is neither spent nor reserved and waits until it is written, at the end of a planned stop. It
// writes directly, since the writer may stop at the same time. It is attempted also after a failed write: the lease, whose
// renewals would show that the store answers again, has ended by then, and there is no later attempt.
func (s *Service) Release(ctx context.Context) error {
	s.setHeadroom(HeadroomNone)
	s.gate.reset()
	_, err := s.updateAll(ctx, 0)
	return err
}

// markFailed records that the store failed and makes waiting requests try a loan.
func (s *Service) markFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFailing = true
	s.notifyWaiters()
}

// notifyWaiters makes the requests that wait for an update retry; the lock must be held.
func (s *Service) notifyWaiters() {
	close(s.updated)
	s.updated = make(chan struct{})
}

func (s *Service) sinceLastUpdate() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastUpdate)
}

// headroomPolicy returns the policy in effect; the lock must be held.
func (s *Service) headroomPolicy() HeadroomPolicy {
	switch {
	case s.standby:
		return max(s.headroom, HeadroomPending)
	case time.Since(s.configuredAt) < s.options.WarmUp:
		return max(s.headroom, HeadroomMinimal)
	case !s.options.Members.Active():
		return max(s.headroom, HeadroomIfRequested)
	default:
		return s.headroom
	}
}

// triggerUpdate makes Serve update soon.
func (s *Service) triggerUpdate() {
	select {
	case s.trigger <- struct{}{}:
	default:
		// An update is already pending.
	}
}

// key returns the store key of an account's budget.
func (s *Service) key(account laceunit.AccountID) laceplatform.Key {
	return s.options.Prefix + laceplatform.Key(account)
}
