package lacegrant

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// Errors of the wallet service.
var (
	// ErrBudgetExhausted means that the budget has too few unspent tokens.
	ErrBudgetExhausted = errors.New("grant: budget is exhausted")
	// ErrTokensReserved means that the unspent tokens are held by other instances or reserved by running requests.
	ErrTokensReserved = errors.New("grant: tokens are held by other instances or requests")
	// ErrUnreachable means that the grant is too small and the ledger is unreachable or rejects this instance.
	ErrUnreachable = errors.New("grant: ledger is unreachable")
	// ErrUnknownBudget means that the ledger has no such budget, because no top-up was made.
	ErrUnknownBudget = errors.New("grant: budget does not exist")
)

// Recaller asks other instances to return their spare tokens of a budget to the ledger.
type Recaller interface {
	Recall(ctx context.Context, budget laceunit.BudgetID) error
}

// Option configures a Service.
type Option func(*Service)

// WithRecaller sets how to recall spare tokens from other instances.
func WithRecaller(r Recaller) Option {
	return func(s *Service) { s.recaller = r }
}

// WithClock replaces the system clock.
func WithClock(now func() time.Time) Option {
	return func(s *Service) { s.now = now }
}

// WithWitnesses sets the function that returns the witnesses of new grants: the instances that hold copies of this
// instance's journal.
func WithWitnesses(witnesses func() []laceunit.Holder) Option {
	return func(s *Service) { s.witnesses = witnesses }
}

// WithInstances sets the function that returns the number of instances that share the budgets.
func WithInstances(instances func() int) Option {
	return func(s *Service) { s.instances = instances }
}

const (
	// appendTimeout is the timeout of one append. It leaves the ledger time to read back a record whose response was lost.
	appendTimeout = 3 * time.Second
	// cleanupInterval is the interval between searches for idle and retired grants.
	cleanupInterval = time.Second
	// failedOpenTTL is how long the error of a failed Open is cached, so that requests for an exhausted budget do not
	// cause platform calls.
	failedOpenTTL = 250 * time.Millisecond
)

// Service drives a wallet and appends its records to the ledger. It is safe for concurrent use.
type Service struct {
	ledger         laceledger.Ledger
	recaller       Recaller
	transferSource TransferSource
	now            func() time.Time
	witnesses      func() []laceunit.Holder
	instances      func() int

	mu          sync.Mutex
	wallet      *Wallet
	waiters     map[laceunit.BudgetID]chan struct{}
	failedOpens map[laceunit.BudgetID]failedOpen
	// transferWaiters holds the channels that are closed when the transfer request of a budget has completed.
	transferWaiters map[laceunit.BudgetID]chan struct{}
	closed          bool
	background      sync.WaitGroup
}

// failedOpen is a cached error of an Open.
type failedOpen struct {
	at  time.Time
	err error
	// available is what the budget had available; a ceiling up to this amount is tried regardless of the cached error.
	available laceunit.Tokens
}

// NewService returns a service for a wallet.
func NewService(wallet *Wallet, ledger laceledger.Ledger, options ...Option) *Service {
	s := &Service{
		ledger:          ledger,
		now:             time.Now,
		witnesses:       func() []laceunit.Holder { return nil },
		instances:       func() int { return 1 },
		wallet:          wallet,
		waiters:         map[laceunit.BudgetID]chan struct{}{},
		failedOpens:     map[laceunit.BudgetID]failedOpen{},
		transferWaiters: map[laceunit.BudgetID]chan struct{}{},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Reserve reserves a ceiling from the grant of a budget and opens or extends the grant if needed.
func (s *Service) Reserve(ctx context.Context, budget laceunit.BudgetID, ceiling laceunit.Tokens) (Reservation, error) {
	recalled := false
	for {
		r, wait, err := s.tryReserve(budget, ceiling)
		if err == nil && wait == nil {
			return r, nil
		}
		if err != nil {
			if recalled || !errors.Is(err, ErrTokensReserved) || s.recaller == nil {
				return Reservation{}, err
			}
			recalled = true
			if s.recaller.Recall(ctx, budget) != nil {
				return Reservation{}, err
			}
			s.clearFailedOpen(budget)
			continue
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return Reservation{}, errors.Wrap(ErrUnreachable, "context done while waiting for a grant")
		}
	}
}

// Convert turns a reservation into an offline one if the offline allowance is large enough.
func (s *Service) Convert(r Reservation) (Reservation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wallet.Convert(r)
}

// Settle ends a reservation of which some tokens were spent.
func (s *Service) Settle(r Reservation, used laceunit.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallet.Settle(r, used)
}

// Forfeit ends a reservation whose request stays open in the ledger; its tokens are not returned to the wallet.
func (s *Service) Forfeit(r Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallet.Forfeit(r)
}

// Drop deletes a grant that the ledger has closed.
func (s *Service) Drop(budget laceunit.BudgetID, grant laceunit.GrantID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallet.Drop(budget, grant)
}

// Retire stops new reservations from a grant whose size in the ledger differs from the wallet's; the grant is closed
// when its last reservation ends.
func (s *Service) Retire(budget laceunit.BudgetID, grant laceunit.GrantID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallet.Retire(budget, grant)
}

// Flushed records that offline spend was settled in the ledger.
func (s *Service) Flushed(budget laceunit.BudgetID, grant laceunit.GrantID, tokens laceunit.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallet.Flushed(budget, grant, tokens)
}

// Witnesses returns the witnesses of a grant: the instances that hold copies of the journal entries spent under it.
func (s *Service) Witnesses(budget laceunit.BudgetID, grant laceunit.GrantID) []laceunit.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wallet.Witnesses(budget, grant)
}

// ReturnSpare handles a recall by another instance: it returns this instance's spare tokens of a budget to the ledger.
func (s *Service) ReturnSpare(ctx context.Context, budget laceunit.BudgetID) error {
	s.mu.Lock()
	record, ok := s.wallet.ReturnSpare(s.now(), budget)
	s.mu.Unlock()
	if !ok {
		return nil
	}
	return s.appendReturn(ctx, record, laceledger.UrgencyImmediate)
}

// Serve returns idle grants and closes retired ones periodically until the context is done.
func (s *Service) Serve(ctx context.Context) error {
	return lacekernel.RunEvery(ctx, cleanupInterval, s.returnUnused)
}

// Drain stops new reservations and closes every grant that has none; Serve and Close close the others when their
// reservations have ended.
func (s *Service) Drain(ctx context.Context) {
	s.mu.Lock()
	s.wallet.Drain()
	s.closed = true
	s.mu.Unlock()
	s.returnUnused(ctx)
}

// Close drains the wallet and waits for pending appends.
func (s *Service) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	s.Drain(ctx)
	s.background.Wait()
	return nil
}

// tryReserve returns a reservation, or a channel that is closed when the grant may have grown, or an error.
func (s *Service) tryReserve(budget laceunit.BudgetID, ceiling laceunit.Tokens) (Reservation, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return Reservation{}, nil, errors.Wrap(ErrUnreachable, "draining")
	}
	now := s.now()
	s.wallet.SetInstances(s.instances())
	r, ok := s.wallet.Reserve(now, budget, ceiling)
	if !ok {
		if failed, found := s.failedOpens[budget]; found && now.Sub(failed.at) < failedOpenTTL &&
			failed.available < ceiling {
			return Reservation{}, nil, failed.err
		}
	}
	if open, needed := s.wallet.PrepareOpen(now, budget, ceiling, !ok, s.witnesses()); needed {
		s.waiterFor(budget)
		s.background.Add(1)
		go s.appendOpen(open)
	}
	if ok {
		return r, nil, nil
	}
	return Reservation{}, s.waiterFor(budget), nil
}

// waiterFor returns the channel that is closed when the append of a record of the budget has completed.
func (s *Service) waiterFor(budget laceunit.BudgetID) chan struct{} {
	c, ok := s.waiters[budget]
	if !ok {
		c = make(chan struct{})
		s.waiters[budget] = c
	}
	return c
}

func (s *Service) notifyWaiters(budget laceunit.BudgetID) {
	if c, ok := s.waiters[budget]; ok {
		close(c)
		delete(s.waiters, budget)
	}
}

// appendOpen appends an Open, applies its verdict and unblocks the callers that wait for it.
func (s *Service) appendOpen(open laceledger.Open) {
	defer s.background.Done()
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	verdict, err := s.ledger.Append(ctx, open, openUrgency(open))
	failure := s.openFailure(ctx, open, verdict, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.wallet.ApplyOpenVerdict(open, verdict)
	case errors.Is(err, laceplatform.ErrUnavailable):
		s.wallet.OpenFailed(open.Budget)
	default:
		s.wallet.OpenUncertain(open.Budget)
	}
	if failure != nil {
		s.failedOpens[open.Budget] = failedOpen{
			at:        s.now(),
			err:       failure,
			available: verdict.Available,
		}
	} else {
		delete(s.failedOpens, open.Budget)
	}
	s.notifyWaiters(open.Budget)
}

// openUrgency returns UrgencyImmediate for an Open that a request waits for. An early top-up can share a write with
// other records, because the remaining tokens of the grant last much longer than the batching delay.
func openUrgency(open laceledger.Open) laceledger.Urgency {
	if open.MinTokens > 0 {
		return laceledger.UrgencyImmediate
	}
	return laceledger.UrgencyNormal
}

// openFailure returns why an Open granted nothing, or nil.
func (s *Service) openFailure(ctx context.Context, open laceledger.Open, verdict laceledger.Verdict, err error) error {
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	switch verdict.Result {
	case laceledger.Missing:
		return ErrUnknownBudget
	case laceledger.InsufficientTokens:
		if open.MinTokens == 0 {
			// The budget has nothing available for an early top-up; no request waits for it.
			return nil
		}
		b, err := s.ledger.Balance(ctx, open.Budget)
		if err == nil && b.Paid-b.Settled >= open.MinTokens {
			return ErrTokensReserved
		}
		return ErrBudgetExhausted
	case laceledger.Closed:
		if open.Serial > 1 {
			// Another process, such as recovery, closed the grant; a new one may be opened.
			return nil
		}
		return errors.Wrap(ErrUnreachable, "the ledger rejects new grants of this instance")
	case laceledger.Invalid, laceledger.Conflict:
		return errors.Wrap(ErrUnreachable, "ledger rejected the grant")
	default:
		return nil
	}
}

func (s *Service) clearFailedOpen(budget laceunit.BudgetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failedOpens, budget)
}

// returnUnused appends the records that return idle grants and close retired ones.
func (s *Service) returnUnused(ctx context.Context) {
	s.mu.Lock()
	idle := append(s.wallet.RetryReturns(), s.wallet.ReturnIdle(s.now())...)
	closing := s.wallet.CloseRetired()
	s.mu.Unlock()
	for _, r := range idle {
		// A failed Return is retried by the next call.
		_ = s.appendReturn(ctx, r, laceledger.UrgencyLow)
	}
	if len(closing) == 0 {
		return
	}
	s.background.Add(1)
	go s.closeGrants(closing)
}

// closeGrants appends the last records of retired grants, in order. If an append fails, recovery closes the grants when
// this incarnation has left the fleet.
func (s *Service) closeGrants(records []laceledger.Record) {
	defer s.background.Done()
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	for _, r := range records {
		if _, err := s.ledger.Append(ctx, r, laceledger.UrgencyNormal); err != nil {
			return
		}
	}
}

func (s *Service) appendReturn(ctx context.Context, r laceledger.Return, urgency laceledger.Urgency) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	verdict, err := s.ledger.Append(ctx, r, urgency)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.wallet.ApplyReturnVerdict(r, verdict)
	case errors.Is(err, laceplatform.ErrUnavailable):
		s.wallet.ReturnFailed(r)
	default:
		s.wallet.ReturnUncertain(r)
	}
	s.notifyWaiters(r.Budget)
	return errors.Wrap(err, "give back")
}
