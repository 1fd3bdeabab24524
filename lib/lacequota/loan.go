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
	// loanTimeout bounds a question to another instance; the round trip takes a few milliseconds.
	loanTimeout = 120 * time.Millisecond
	// lenders is how many instances are asked for one loan.
	lenders = 2
	// loanTime is how long a loan lasts at the borrower's rate, keepTime what a lender keeps for its own callers.
	loanTime = 2 * time.Second
	keepTime = 2 * time.Second
	// loanPause is how long nobody is asked for an account after all have refused.
	loanPause = 300 * time.Millisecond
)

// LoanQuery is a question for tokens of an account.
type LoanQuery struct {
	Account laceunit.AccountID
	// Least is what a request needs, Wish the most that is wished for.
	MinTokens laceunit.Tokens
	MaxTokens laceunit.Tokens
	// Paid is the account's total in a version of the configuration, as the borrower knows it.
	Paid    laceunit.Tokens
	Version laceunit.Version
}

// Lender is another instance that may hand over tokens.
type Lender interface {
	// Lend asks an instance for tokens. It returns zero when the instance can't spare them or does not answer.
	Lend(ctx context.Context, instance laceunit.InstanceID, query LoanQuery) laceunit.Tokens
}

// Lend takes tokens out of what this instance may spend and returns how many. They count as spent here from then on, so
// that the sum of what all instances may spend never grows, whatever becomes of the answer.
func (w *Wallet) Lend(now time.Time, at Instant, account laceunit.AccountID, least, wish laceunit.Tokens) laceunit.Tokens {
	p := w.purse(account)
	if !p.configured || !p.prepaid || least <= 0 {
		return 0
	}
	free := w.limit(p, at) - p.used - p.reserved
	kept := laceunit.Tokens(keepTime.Seconds()*float64(p.rate(now)) + p.lump*p.fade(now))
	amount := min(wish, max(free-kept, 0))
	if amount < least {
		return 0
	}
	p.used += amount
	return amount
}

// Borrow adds tokens that another instance has counted as spent.
func (w *Wallet) Borrow(account laceunit.AccountID, amount laceunit.Tokens) {
	p := w.purse(account)
	p.cap += amount
	p.ceiling += amount
	p.folded += amount
	p.borrowed += amount
	p.basis = max(p.basis, p.paid)
}

// need returns what is missing for a request, and how much an instance borrows then.
func (w *Wallet) need(now time.Time, at Instant, account laceunit.AccountID, most laceunit.Tokens) LoanQuery {
	p := w.purse(account)
	least := max(p.used+p.reserved+most-w.limit(p, at), 1)
	return LoanQuery{
		Account:   account,
		MinTokens: least,
		MaxTokens: least + laceunit.Tokens(loanTime.Seconds()*float64(p.rate(now))),
		Paid:      p.paid,
		Version:   p.version,
	}
}

// holders returns the instances that had most left of an account when its page was last seen.
func (b Budget) holders(self laceunit.Holder, live func(laceunit.Holder) bool) []laceunit.InstanceID {
	type rest struct {
		holder laceunit.Holder
		left   laceunit.Tokens
	}
	var list []rest
	for k, h := range b.Allocations {
		if k != self && h.Cap > h.Used && live(k) {
			list = append(list, rest{
				holder: k,
				left:   h.Cap - h.Used,
			})
		}
	}
	slices.SortFunc(list, func(x, y rest) int {
		return cmp.Or(cmp.Compare(y.left, x.left), cmp.Compare(x.holder.Instance, y.holder.Instance))
	})
	var ids []laceunit.InstanceID
	for _, r := range list[:min(len(list), lenders)] {
		ids = append(ids, r.holder.Instance)
	}
	return ids
}

// loan is a loan that is under way; requests of the account wait for it together.
type loan struct {
	done chan struct{}
}

// Lend hands tokens to another instance. A newer total that this one knows counts at once: what is held under an older and
// higher one is worth less.
func (s *Service) Lend(to laceunit.InstanceID, q LoanQuery) laceunit.Tokens {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallet.purse(q.Account).learn(q.Paid, q.Version)
	amount := s.wallet.Lend(time.Now(), s.options.Clock(), q.Account, q.MinTokens, q.MaxTokens)
	state := s.wallet.State(q.Account)
	s.options.Metrics.lent(amount)
	s.options.Log.Write(lacelog.Loan, lacelog.P("to", to), lacelog.P(lacelog.Account, q.Account),
		lacelog.P(lacelog.Tokens, amount), lacelog.P("least", q.MinTokens), lacelog.P("wish", q.MaxTokens),
		lacelog.P(lacelog.Cap, state.Cap), lacelog.P(lacelog.Used, state.Used), lacelog.P(lacelog.Held, state.Reserved))
	return amount
}

// borrow waits for a loan that a request needs and reports whether there was one.
func (s *Service) borrow(ctx context.Context, account laceunit.AccountID, most laceunit.Tokens) bool {
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
	from := s.pages[account].budget.holders(s.options.Self, s.options.Members.Live)
	if s.options.Lender == nil || len(from) == 0 || now.Sub(s.refused[account]) < loanPause {
		s.mu.Unlock()
		return false
	}
	l := &loan{done: make(chan struct{})}
	s.loans[account] = l
	query := s.wallet.need(now, s.options.Clock(), account, most)
	s.mu.Unlock()
	amount := s.ask(ctx, from, query)
	s.mu.Lock()
	defer s.mu.Unlock()
	if amount > 0 {
		s.wallet.Borrow(account, amount)
	} else {
		s.refused[account] = time.Now()
	}
	delete(s.loans, account)
	close(l.done)
	return amount > 0
}

// ask asks some instances one after the other and returns what the first that can spare it hands over.
func (s *Service) ask(ctx context.Context, from []laceunit.InstanceID, q LoanQuery) laceunit.Tokens {
	for _, id := range from {
		// A caller that leaves does not end the call: an answer that is not read loses the tokens in it.
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), loanTimeout)
		began := time.Now()
		amount := s.options.Lender.Lend(call, id, q)
		cancel()
		s.options.Metrics.borrowed(amount)
		s.options.Log.Write(lacelog.Loan, lacelog.P("from", id), lacelog.P(lacelog.Account, q.Account),
			lacelog.P(lacelog.Tokens, amount), lacelog.P("least", q.MinTokens), lacelog.P("wish", q.MaxTokens),
			lacelog.P(lacelog.Took, time.Since(began).Milliseconds()))
		if amount > 0 {
			return amount
		}
	}
	return 0
}
