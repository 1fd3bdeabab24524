package lacequota

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// updateAll updates the accounts that are due until a call fails. Urgent accounts are updated first and separately,
// since an update of many budgets is more likely to conflict with writes of other instances. It reports whether any
// account was due, so that the store was called.
func (s *Service) updateAll(ctx context.Context, minAge time.Duration) (called bool, err error) {
	s.mu.Lock()
	urgent, others := s.wallet.Due(time.Now(), s.options.Clock(), minAge, s.headroomPolicy())
	s.mu.Unlock()
	for _, accounts := range [][]laceunit.AccountID{urgent, others} {
		for batch := range slices.Chunk(accounts, maxAccountsPerCall) {
			if err := s.update(ctx, batch); err != nil {
				return true, err
			}
		}
	}
	return len(urgent)+len(others) > 0, nil
}

// update writes the budgets of some accounts with this instance's new caps by compare-and-swap. It starts from the
// cached budgets; if another instance has changed one, the conflict returns the current ones and the update is planned
// again.
func (s *Service) update(ctx context.Context, accounts []laceunit.AccountID) error {
	for range maxUpdateAttempts {
		if err := s.gate.enter(time.Now()); err != nil {
			return err
		}
		u, swaps, err := s.plan(accounts)
		if err != nil {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, updateTimeout(swaps))
		s.setCallStarted(time.Now())
		revision, err := s.options.Store.SwapAll(callCtx, swaps)
		s.setCallStarted(time.Time{})
		cancel()
		s.gate.record(err)
		if err == nil {
			s.commit(u, accounts, revision)
			return nil
		}
		if !errors.Is(err, laceplatform.ErrConflict) {
			return errors.Wrap(err, "quota: write budgets")
		}
		s.options.Metrics.countConflict()
		conflict := &laceplatform.Conflict{}
		errors.As(err, &conflict)
		if err := s.cacheConflict(conflict, accounts); err != nil {
			return err
		}
	}
	return errors.New("quota: too many write conflicts")
}

func (s *Service) setCallStarted(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callStarted = at
}

// updateTimeout is the timeout of a call that sends some budgets.
func updateTimeout(swaps []laceplatform.Swap) time.Duration {
	size := 0
	for _, x := range swaps {
		size += len(x.Value)
	}
	return callTimeout + time.Duration(size)*time.Second/linkRate
}

// cacheConflict caches the current budgets of some accounts from a conflict. A malformed budget is never overwritten.
func (s *Service) cacheConflict(conflict *laceplatform.Conflict, accounts []laceunit.AccountID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range accounts {
		e := conflict.Entry(s.key(a))
		c, err := s.cache[a].next(s.wallet.era, e)
		if err != nil {
			return errors.Wrap(err, string(e.Key))
		}
		s.cache[a] = c
	}
	return nil
}

func (s *Service) plan(accounts []laceunit.AccountID) (Update, []laceplatform.Swap, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEra()
	cached := Budgets{ByAccount: make(map[laceunit.AccountID]Budget, len(accounts))}
	for _, a := range accounts {
		cached.ByAccount[a] = s.cache[a].budget
	}
	u := s.wallet.Plan(time.Now(), s.options.Clock(), cached, accounts, s.fleet(), s.headroomPolicy())
	swaps := make([]laceplatform.Swap, 0, len(accounts))
	for _, a := range accounts {
		b := u.Budgets.ByAccount[a]
		b.After = s.cache[a].revision
		u.Budgets.ByAccount[a] = b
		value, err := Encode(b)
		if err != nil {
			return u, nil, err
		}
		swaps = append(swaps, laceplatform.Swap{
			Key:    s.key(a),
			Value:  value,
			Expect: s.cache[a].revision,
		})
	}
	return u, swaps, nil
}

// updateEra applies the present era of the store and returns it.
func (s *Service) updateEra() laceplatform.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEra()
	return s.wallet.era
}

// applyEra is updateEra with the lock held.
func (s *Service) applyEra() {
	now := time.Now()
	era := s.era.current(now).era
	if s.wallet.BeginEra(now, era) {
		s.options.Log.Write(lacelog.BudgetUpdate, lacelog.P("era", int64(era)))
		s.triggerUpdate()
	}
}

// lostCopies returns the copies of budgets that are of earlier eras.
func (s *Service) lostCopies(era laceplatform.Era) map[laceunit.AccountID]cachedBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	copies := map[laceunit.AccountID]cachedBudget{}
	for a, c := range s.cache {
		if c.revision != 0 && c.revision.Era() < era {
			copies[a] = c
		}
	}
	return copies
}

// fleet returns the membership as of now.
func (s *Service) fleet() Fleet {
	now := time.Now()
	era := s.era.current(now)
	return Fleet{
		Unconfirmed: func(b Budget) bool { return era.unconfirmed(now, b, s.options.Members) },

		ActiveCount: s.options.Members.Size(),
		HasStandby:  s.options.Members.HasStandby(),
		Combined:    s.combines(),
		Live:        s.options.Members.Live,
		Ended:       s.options.Members.Ended,
	}
}

func (s *Service) commit(u Update, accounts []laceunit.AccountID, revision laceplatform.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEra()
	now := time.Now()
	s.wallet.Commit(now, u)
	s.lastUpdate, s.storeFailing = now, false
	s.notifyWaiters()
	for _, a := range accounts {
		s.cache[a] = cachedBudget{
			budget:   u.Budgets.ByAccount[a],
			revision: revision,
		}
		state := s.wallet.State(a)
		s.options.Metrics.observe(a, state)
		s.logUpdate(a, state)
	}
}

// logUpdate logs the state of an account after an update.
func (s *Service) logUpdate(a laceunit.AccountID, state State) {
	s.options.Log.Write(lacelog.BudgetUpdate, lacelog.P(lacelog.Account, a), lacelog.P("paid", state.Paid),
		lacelog.P(lacelog.Cap, state.Cap), lacelog.P(lacelog.Used, state.Used),
		lacelog.P(lacelog.Held, state.Reserved), lacelog.P("others", state.OthersSpent),
		lacelog.P("lost", state.Lost), lacelog.P("free", state.Unallocated))
}
