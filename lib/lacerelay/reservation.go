package lacerelay

import (
	"context"
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacequota"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

const (
	// restartPeriod is how long after its start an instance keeps tokens for streams that clients take up. When all
	// instances have been killed, the tokens that they held are lost, and requests for new streams, which need many more,
	// would take the rest before the clients of interrupted streams return.
	restartPeriod = 10 * time.Second
	// keptTakeUps is how many of them the tokens are kept for, of the size of the new request; maxKeptDivisor bounds that
	// to a fraction of what the instance holds of the account.
	keptTakeUps    = 4
	maxKeptDivisor = 8
)

// reserve reserves tokens for a request. For some time after the start of the instance, a new stream of an account that has
// lost tokens with other processes is refused unless tokens for streams that are taken up remain.
func (r *Relay) reserve(
	ctx context.Context, j *job, tokens laceunit.Tokens,
) (verdict lacequota.Verdict, state lacequota.State) {
	if j.call.LastEventID != "" || j.route.RetryMode != laceroute.Resumable || time.Since(r.startedAt) >= restartPeriod {
		return r.options.Quota.Reserve(ctx, j.account, tokens)
	}
	kept := keptTakeUps * j.call.MaxOutput
	if verdict, state = r.reserveKeeping(ctx, j, tokens, kept); verdict == lacequota.Reserved {
		return verdict, state
	}
	kept = 0
	if state.Lost > 0 {
		kept = min(keptTakeUps*j.call.MaxOutput, state.Cap/maxKeptDivisor)
	}
	if verdict, state = r.reserveKeeping(ctx, j, tokens, kept); verdict != lacequota.Exhausted || kept == 0 {
		return verdict, state
	}
	// The account may pay for the request, but not for what is kept too.
	if verdict, state = r.options.Quota.Reserve(ctx, j.account, tokens); verdict == lacequota.Reserved {
		r.options.Quota.Settle(j.account, tokens, 0)
		verdict = lacequota.Insufficient
	}
	return verdict, state
}

// reserveKeeping reserves tokens if some more are available, which are not reserved.
func (r *Relay) reserveKeeping(
	ctx context.Context, j *job, tokens, kept laceunit.Tokens,
) (lacequota.Verdict, lacequota.State) {
	verdict, state := r.options.Quota.Reserve(ctx, j.account, tokens+kept)
	if verdict == lacequota.Reserved {
		r.options.Quota.Settle(j.account, kept, 0)
	}
	return verdict, state
}

// reserveTokens reserves the tokens that a request costs at most, unless it costs none.
func (r *Relay) reserveTokens(ctx context.Context, j *job) *lacefault.Fault {
	if !j.call.Metered || j.account == "" {
		return nil
	}
	maxTokens := j.input() + j.call.MaxOutput
	reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	verdict, state := r.reserve(reserveCtx, j, maxTokens)
	if verdict == lacequota.Reserved {
		j.reserved, j.reserving = maxTokens, true
		return nil
	}
	j.refusalFields = []lacelog.Pair{
		lacelog.P(lacelog.Tokens, maxTokens), lacelog.P("paid", state.Paid), lacelog.P(lacelog.Cap, state.Cap),
		lacelog.P(lacelog.Used, state.Used), lacelog.P(lacelog.Held, state.Reserved),
		lacelog.P("others", state.OthersSpent), lacelog.P("lost", state.Lost), lacelog.P("free", state.Unallocated),
		lacelog.P(lacelog.Age, time.Since(state.UpdatedAt).Milliseconds()),
	}
	if verdict == lacequota.Exhausted {
		return j.freshness.orStale(newRefusal(lacefault.BudgetSpent, "prepaid tokens are spent", 0))
	}
	return newRefusal(lacefault.BudgetUnavailable, "prepaid tokens are not at this instance", budgetRetryAfter(state))
}

// settle ends the reservation of a request. What other instances deliver from then on is settled there.
func (r *Relay) settle(j *job) {
	if j.reserving {
		j.reserving = false
		r.options.Quota.Settle(j.account, j.reserved, j.consumedTokens())
	}
}

// budgetRetryAfter returns when a caller whose tokens are not held by this instance should retry.
func budgetRetryAfter(s lacequota.State) time.Duration {
	switch {
	case s.UsedElsewhere:
		return otherInstanceRetryAfter
	case time.Since(s.UpdatedAt) > storeDownAge:
		return storeDownRetryAfter
	default:
		return rebalanceRetryAfter
	}
}

// consumedTokens returns the cost of a request: its prompt once, and the forwarded events. A request of which the
// caller received nothing is free.
func (j *job) consumedTokens() laceunit.Tokens {
	if j.response.events == 0 {
		return 0
	}
	return j.input() + min(j.call.MaxOutput, laceunit.Tokens(j.response.events*max(j.tokensPerEvent, 1)))
}
