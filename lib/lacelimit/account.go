package lacelimit

import (
	"time"

	"golang.org/x/time/rate"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// account returns the state of a request's account under the limits that hold for it.
func (l *Limiter) account(now time.Time, request Request) *account {
	limits := merged(request.Limits, l.limits.Account)
	a := l.accounts[request.Account]
	if a == nil {
		l.sweep(now)
		a = &account{
			requests: rate.NewLimiter(rate.Inf, 1),
			tokens:   rate.NewLimiter(rate.Inf, 1),
		}
		l.accounts[request.Account] = a
	}
	if a.limits != limits {
		a.limits = limits
		a.requests = changed(now, a.requests, limits.Requests)
		a.tokens = changed(now, a.tokens, limits.Tokens)
	}
	return a
}

// sweep drops the accounts at rest when there are too many; a full bucket holds nothing worth keeping.
func (l *Limiter) sweep(now time.Time) {
	if len(l.accounts) < idleAccounts {
		return
	}
	for id, a := range l.accounts {
		if a.present == 0 && full(now, a.requests) && full(now, a.tokens) {
			delete(l.accounts, id)
		}
	}
}

func full(now time.Time, r *rate.Limiter) bool {
	return r.Limit() == rate.Inf || r.TokensAt(now) >= float64(r.Burst())
}

func merged(own, common laceconfig.AccountLimits) laceconfig.AccountLimits {
	if own.Requests == 0 {
		own.Requests = common.Requests
	}
	if own.Tokens == 0 {
		own.Tokens = common.Tokens
	}
	if own.Concurrent == 0 {
		own.Concurrent = common.Concurrent
	}
	return own
}

// changed returns a limiter with a new rate and a burst of one second. An account that had no limit starts with a full
// bucket; one that had keeps its debt.
func changed(now time.Time, r *rate.Limiter, perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	if r.Limit() == rate.Inf {
		return rate.NewLimiter(rate.Limit(perSecond), ceil(perSecond))
	}
	r.SetLimitAt(now, rate.Limit(perSecond))
	r.SetBurstAt(now, ceil(perSecond))
	return r
}

// allow reports whether the account's rates leave room for a request, and else when they do. The output of a request
// is known only at its end, so the token rate runs into debt and admits again when that is paid off; a request needs
// at most a full bucket, so that one larger than the bucket is not refused for ever.
func (a *account) allow(now time.Time, tokens laceunit.Tokens) (time.Duration, bool) {
	wait := max(shortage(now, a.requests, 1), shortage(now, a.tokens, float64(tokens)))
	if wait > 0 {
		return bounded(wait), false
	}
	return 0, true
}

func shortage(now time.Time, r *rate.Limiter, need float64) time.Duration {
	if r.Limit() == rate.Inf {
		return 0
	}
	missing := min(max(need, 1), float64(r.Burst())) - r.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(r.Limit()) * float64(time.Second))
}

func (a *account) spend(now time.Time, requests int, tokens laceunit.Tokens) {
	charge(now, a.requests, requests)
	charge(now, a.tokens, int(tokens))
}

// charge takes tokens in pieces, because a limiter refuses to reserve more than its burst at once.
func charge(now time.Time, r *rate.Limiter, n int) {
	if r.Limit() == rate.Inf {
		return
	}
	for burst := r.Burst(); n > 0; n -= burst {
		r.ReserveN(now, min(n, burst))
	}
}
