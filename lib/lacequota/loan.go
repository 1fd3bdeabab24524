package lacequota

import (
	"cmp"
	"context"
	"slices"
	"time"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

const (
	// loanTimeout bounds a loan query to another instance; the round trip takes a few milliseconds.
	loanTimeout = 120 * time.Millisecond
	// maxLenders is how many instances are queried for one loan.
	maxLenders = 2
	// loanDuration is how long a loan lasts at the borrower's rate, lenderReserve how long the tokens that a lender
	// keeps for its own clients last.
	loanDuration  = 2 * time.Second
	lenderReserve = 2 * time.Second
	// loanRetryDelay is the time without loan queries for an account after all lenders have refused one.
	loanRetryDelay = 300 * time.Millisecond
)

// LoanQuery is a request to borrow tokens of an account.
type LoanQuery struct {
	Account laceunit.AccountID
	// MinTokens is what a client request still needs, MaxTokens the upper bound of the loan.
	MinTokens laceunit.Tokens
	MaxTokens laceunit.Tokens
	// Paid is the account's total in the borrower's version of the configuration.
	Paid    laceunit.Tokens
	Version laceunit.Version
}

// Lender sends loan queries to other instances.
type Lender interface {
	// Lend sends a loan query to an instance and returns the tokens lent. It returns zero if the instance refuses the
	// loan or does not answer.
	Lend(ctx context.Context, instance laceunit.InstanceID, query LoanQuery) laceunit.Tokens
}

// Lend deducts tokens from what this instance may spend and returns their number. They count as spent here at once, so
// the sum of what all instances may spend never grows, even if the answer is lost.
func (w *Wallet) Lend(
	now time.Time, at Instant, account laceunit.AccountID, minTokens, maxTokens laceunit.Tokens,
) laceunit.Tokens {
	p := w.portion(account)
	if !p.configured || !p.prepaid || minTokens <= 0 {
		return 0
	}
	available := w.limit(p, at) - p.used - p.reserved
	reserve := laceunit.Tokens(lenderReserve.Seconds()*float64(p.rate(now)) + p.largestRequest*p.decay(now))
	if w.keepsNothing {
		reserve = 0
	}
	amount := min(maxTokens, max(available-reserve, 0))
	if amount < minTokens {
		return 0
	}
	p.used += amount
	return amount
}

// Borrow adds tokens that another instance has lent and counted as spent.
func (w *Wallet) Borrow(now time.Time, account laceunit.AccountID, amount laceunit.Tokens) {
	p := w.portion(account)
	p.cap += amount
	p.ceilings.raise(amount)
	p.charge(now, amount)
	p.borrowed += amount
	p.paidBasis = max(p.paidBasis, p.paid)
}

// loanQuery returns the query for a request that the limit does not cover: at least what is missing, and at most that
// and the demand of loanDuration.
func (w *Wallet) loanQuery(
	now time.Time, at Instant, account laceunit.AccountID, maxTokens laceunit.Tokens,
) LoanQuery {
	p := w.portion(account)
	minTokens := max(p.used+p.reserved+maxTokens-w.limit(p, at), 1)
	return LoanQuery{
		Account:   account,
		MinTokens: minTokens,
		MaxTokens: minTokens + laceunit.Tokens(loanDuration.Seconds()*float64(p.rate(now))),
		Paid:      p.paid,
		Version:   p.version,
	}
}

// lenders returns the instances with the most unspent tokens of an account as of this budget, largest first.
func (b Budget) lenders(self laceunit.Holder, live func(laceunit.Holder) bool) []laceunit.InstanceID {
	type candidate struct {
		holder  laceunit.Holder
		unspent laceunit.Tokens
	}
	var candidates []candidate
	for h, a := range b.Allocations {
		if h != self && a.Cap > a.Used && live(h) {
			candidates = append(candidates, candidate{
				holder:  h,
				unspent: a.Cap - a.Used,
			})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.unspent, x.unspent), cmp.Compare(x.holder.Instance, y.holder.Instance))
	})
	var ids []laceunit.InstanceID
	for _, c := range candidates[:min(len(candidates), maxLenders)] {
		ids = append(ids, c.holder.Instance)
	}
	return ids
}

// loan is a loan in flight; concurrent requests of the account wait for the same one.
type loan struct {
	done chan struct{}
}

// SetIsolated sets whether this instance reaches no backend server. The requests of its clients then need the tokens at
// other instances, so that it keeps none of those that are not reserved.
func (s *Service) SetIsolated(isolated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallet.keepsNothing = isolated
}

// Lend lends tokens to another instance. A newer total in the query is applied first, since a cap that is based on an
// older, higher total is scaled down.
func (s *Service) Lend(to laceunit.InstanceID, q LoanQuery) laceunit.Tokens {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallet.portion(q.Account).adoptTotal(q.Paid, q.Version)
	amount := s.wallet.Lend(time.Now(), s.options.Clock(), q.Account, q.MinTokens, q.MaxTokens)
	state := s.wallet.State(q.Account)
	s.options.Metrics.addLent(amount)
	s.options.Log.Write(lacelog.Loan, lacelog.P("to", to), lacelog.P(lacelog.Account, q.Account),
		lacelog.P(lacelog.Tokens, amount), lacelog.P("least", q.MinTokens), lacelog.P("wish", q.MaxTokens),
		lacelog.P(lacelog.Cap, state.Cap), lacelog.P(lacelog.Used, state.Used), lacelog.P(lacelog.Held, state.Reserved))
	return amount
}

// borrow waits for a loan for a request and reports whether one was received.
func (s *Service) borrow(ctx context.Context, account laceunit.AccountID, maxTokens laceunit.Tokens) bool {
	s.mu.Lock()
	if l := s.loans[account]; l != nil {
		s.mu.Unlock()
		select {
		case <-l.done:
			return true
		case <-ctx.Done():
			return false
		}
	}
	now := time.Now()
	lenders := s.wallet.portion(account).lenders
	if len(lenders) == 0 {
		lenders = s.cache[account].budget.lenders(s.options.Self, s.options.Members.Live)
	}
	if s.options.Lender == nil || len(lenders) == 0 || now.Sub(s.loanRefusedAt[account]) < loanRetryDelay {
		s.mu.Unlock()
		return false
	}
	l := &loan{done: make(chan struct{})}
	s.loans[account] = l
	query := s.wallet.loanQuery(now, s.options.Clock(), account, maxTokens)
	s.mu.Unlock()
	amount := s.requestLoan(ctx, lenders, query)
	s.mu.Lock()
	defer s.mu.Unlock()
	if amount > 0 {
		s.wallet.Borrow(time.Now(), account, amount)
	} else {
		s.loanRefusedAt[account] = time.Now()
	}
	delete(s.loans, account)
	close(l.done)
	return amount > 0
}

// requestLoan queries lenders one after the other and returns the tokens of the first that grants a loan.
func (s *Service) requestLoan(ctx context.Context, lenders []laceunit.InstanceID, q LoanQuery) laceunit.Tokens {
	for _, id := range lenders {
		// The call continues if the client disconnects, since the tokens in an answer that is not read are lost.
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loanTimeout)
		start := time.Now()
		amount := s.options.Lender.Lend(callCtx, id, q)
		cancel()
		s.options.Metrics.addBorrowed(amount)
		s.options.Log.Write(lacelog.Loan, lacelog.P("from", id), lacelog.P(lacelog.Account, q.Account),
			lacelog.P(lacelog.Tokens, amount), lacelog.P("least", q.MinTokens), lacelog.P("wish", q.MaxTokens),
			lacelog.P(lacelog.Took, time.Since(start).Milliseconds()))
		if amount > 0 {
			return amount
		}
	}
	return 0
}
