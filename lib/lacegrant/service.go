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
	// ErrSpent means that the budget has too few tokens left.
	ErrBudgetExhausted = errors.New("grant: budget is spent")
	// ErrElsewhere means that the tokens left are held by other instances or by running requests.
	ErrTokensReserved = errors.New("grant: tokens are reserved elsewhere")
	// ErrUnreachable means that the ledger can't be reached and the grant is too small.
	ErrUnreachable = errors.New("grant: ledger is out of reach")
	// ErrUnknownBudget means that the ledger has no such budget: nothing was paid into it.
	ErrUnknownBudget = errors.New("grant: budget does not exist")
)

// Recaller asks other instances to give back what they can spare of a budget.
type Recaller interface {
	Recall(ctx context.Context, budget laceunit.BudgetID) error
}

// Option changes a service at construction.
type Option func(*Service)

// WithRecaller sets the way to other instances' spare tokens.
func WithRecaller(r Recaller) Option {
	return func(s *Service) { s.recaller = r }
}

// WithClock replaces the system clock.
func WithClock(now func() time.Time) Option {
	return func(s *Service) { s.now = now }
}

// WithWitnesses sets who is named in new grants as holder of journal copies.
func WithWitnesses(witnesses func() []laceunit.Holder) Option {
	return func(s *Service) { s.witnesses = witnesses }
}

// WithInstances sets how many instances share the budgets.
func WithInstances(instances func() int) Option {
	return func(s *Service) { s.instances = instances }
}

const (
	// openTimeout bounds one Open; the ledger reads back a lost answer within it.
	openTimeout = 3 * time.Second
	// idleInterval is how often idle and retired grants are looked for.
	idleInterval = time.Second
	// refusalLife is how long a refusal is repeated without asking the ledger again, so that callers of a spent
	// budget don't turn into platform calls.
	refusalLife = 250 * time.Millisecond
)

// Service runs a wallet over the ledger.
type Service struct {
	ledger         laceledger.Ledger
	recaller       Recaller
	transferSource TransferSource
	now            func() time.Time
	witnesses      func() []laceunit.Holder
	instances      func() int

	mu       sync.Mutex
	wallet   *Wallet
	waiting  map[laceunit.BudgetID]chan struct{}
	refusals map[laceunit.BudgetID]refusal
	// requesting is closed when the transfer request of a budget has its answer.
	requesting map[laceunit.BudgetID]chan struct{}
	closed     bool
	tasks      sync.WaitGroup
}

// refusal remembers why and when an Open failed.
type refusal struct {
	at  time.Time
	err error
	// left is what the budget had left; a smaller ceiling is tried all the same.
	left laceunit.Tokens
}

// NewService returns a service over a wallet.
func NewService(wallet *Wallet, ledger laceledger.Ledger, options ...Option) *Service {
	s := &Service{
		ledger:     ledger,
		now:        time.Now,
		witnesses:  func() []laceunit.Holder { return nil },
		instances:  func() int { return 1 },
		wallet:     wallet,
		waiting:    map[laceunit.BudgetID]chan struct{}{},
		refusals:   map[laceunit.BudgetID]refusal{},
		requesting: map[laceunit.BudgetID]chan struct{}{},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Reserve takes a ceiling from the grant of a budget and opens or enlarges the grant when needed.
func (s *Service) Reserve(ctx context.Context, budget laceunit.BudgetID, ceiling laceunit.Tokens) (Reservation, error) {
	recalled := false
	for {
		r, wait, err := s.try(budget, ceiling)
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
			s.forget(budget)
			continue
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return Reservation{}, errors.Wrap(ErrUnreachable, "deadline passed")
		}
	}
}

// Convert turns a reservation into an offline one when the offline part is large enough.
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

// Forfeit ends a reservation whose tokens are the ledger's to decide on.
func (s *Service) Forfeit(r Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallet.Forfeit(r)
}

// Drop forgets a grant that the ledger has closed.
func (s *Service) Drop(budget laceunit.BudgetID, grant laceunit.GrantID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallet.Drop(budget, grant)
}

// Retire ends a grant whose size in the ledger differs from the wallet's; it is closed when its reservations end.
func (s *Service) Retire(budget laceunit.BudgetID, grant laceunit.GrantID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallet.Retire(budget, grant)
}

// Flushed tells that offline spend was settled in the ledger.
func (s *Service) Flushed(budget laceunit.BudgetID, grant laceunit.GrantID, tokens laceunit.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallet.Flushed(budget, grant, tokens)
}

// Witnesses returns the instances that a grant names as holders of journal copies.
func (s *Service) Witnesses(budget laceunit.BudgetID, grant laceunit.GrantID) []laceunit.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wallet.Witnesses(budget, grant)
}

// GiveBack returns the spare tokens of a budget to the ledger for an instance in need.
func (s *Service) ReturnSpare(ctx context.Context, budget laceunit.BudgetID) error {
	s.mu.Lock()
	record, ok := s.wallet.ReturnSpare(s.now(), budget)
	s.mu.Unlock()
	if !ok {
		return nil
	}
	return s.giveBack(ctx, record, laceledger.UrgencyImmediate)
}

// Serve returns idle grants until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	return lacekernel.Every(ctx, idleInterval, s.tidy)
}

// Drain gives every grant back; grants with reservations are closed when those end, by Close at the latest.
func (s *Service) Drain(ctx context.Context) {
	s.mu.Lock()
	s.wallet.Drain()
	s.closed = true
	s.mu.Unlock()
	s.tidy(ctx)
}

// Close drains the wallet and waits for what is under way.
func (s *Service) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	s.Drain(ctx)
	s.tasks.Wait()
	return nil
}

// try reserves, or returns a channel that is closed when the grant may have grown, or the reason of a refusal.
func (s *Service) try(budget laceunit.BudgetID, ceiling laceunit.Tokens) (Reservation, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return Reservation{}, nil, errors.Wrap(ErrUnreachable, "draining")
	}
	now := s.now()
	s.wallet.SetInstances(s.instances())
	r, ok := s.wallet.Reserve(now, budget, ceiling)
	if !ok {
		if old, refused := s.refusals[budget]; refused && now.Sub(old.at) < refusalLife && old.left < ceiling {
			return Reservation{}, nil, old.err
		}
	}
	if open, need := s.wallet.PrepareOpen(now, budget, ceiling, !ok, s.witnesses()); need {
		s.waiter(budget)
		s.tasks.Add(1)
		go s.open(open)
	}
	if ok {
		return r, nil, nil
	}
	return Reservation{}, s.waiter(budget), nil
}

// waiter returns the channel that is closed when a record of the budget has been decided on.
func (s *Service) waiter(budget laceunit.BudgetID) chan struct{} {
	c, ok := s.waiting[budget]
	if !ok {
		c = make(chan struct{})
		s.waiting[budget] = c
	}
	return c
}

func (s *Service) wake(budget laceunit.BudgetID) {
	if c, ok := s.waiting[budget]; ok {
		close(c)
		delete(s.waiting, budget)
	}
}

// open appends an Open and tells those who wait for it.
func (s *Service) open(open laceledger.Open) {
	defer s.tasks.Done()
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	verdict, err := s.ledger.Append(ctx, open, urgency(open))
	reason := s.reason(ctx, open, verdict, err)
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
	if reason != nil {
		s.refusals[open.Budget] = refusal{
			at:   s.now(),
			err:  reason,
			left: verdict.Available,
		}
	} else {
		delete(s.refusals, open.Budget)
	}
	s.wake(open.Budget)
}

// urgency returns Now for an Open that a request waits for. An early top-up shares the write of other records: the
// rest of the grant lasts much longer than they linger.
func urgency(open laceledger.Open) laceledger.Urgency {
	if open.MinTokens > 0 {
		return laceledger.UrgencyImmediate
	}
	return laceledger.UrgencyNormal
}

// reason returns why an Open gave nothing, or nil.
func (s *Service) reason(ctx context.Context, open laceledger.Open, verdict laceledger.Verdict, err error) error {
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	switch verdict.Result {
	case laceledger.Missing:
		return ErrUnknownBudget
	case laceledger.InsufficientTokens:
		if open.MinTokens == 0 {
			// An early top-up found nothing left; nobody waits for it.
			return nil
		}
		b, err := s.ledger.Balance(ctx, open.Budget)
		if err == nil && b.Paid-b.Settled >= open.MinTokens {
			return ErrTokensReserved
		}
		return ErrBudgetExhausted
	case laceledger.Closed:
		if open.Serial > 1 {
			// The grant was closed behind this instance; a new one may be opened.
			return nil
		}
		return errors.Wrap(ErrUnreachable, "this instance is shut out of the ledger")
	case laceledger.Invalid, laceledger.Conflict:
		return errors.Wrap(ErrUnreachable, "ledger refused the grant")
	default:
		return nil
	}
}

func (s *Service) forget(budget laceunit.BudgetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.refusals, budget)
}

// tidy appends the records that give back idle and retired grants.
func (s *Service) tidy(ctx context.Context) {
	s.mu.Lock()
	idle := append(s.wallet.RetryReturns(), s.wallet.ReturnIdle(s.now())...)
	ended := s.wallet.CloseRetired()
	s.mu.Unlock()
	for _, r := range idle {
		// A failed return is tried again at the next round.
		_ = s.giveBack(ctx, r, laceledger.UrgencyLow)
	}
	if len(ended) == 0 {
		return
	}
	s.tasks.Add(1)
	go s.end(ended)
}

// end appends the last records of retired grants, in order. A grant that can't be ended here is closed by recovery when
// the incarnation is gone.
func (s *Service) end(records []laceledger.Record) {
	defer s.tasks.Done()
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	for _, r := range records {
		if _, err := s.ledger.Append(ctx, r, laceledger.UrgencyNormal); err != nil {
			return
		}
	}
}

func (s *Service) giveBack(ctx context.Context, r laceledger.Return, urgency laceledger.Urgency) error {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
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
	s.wake(r.Budget)
	return errors.Wrap(err, "give back")
}
