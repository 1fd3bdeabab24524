package lacelimit

import (
	"time"

	"golang.org/x/time/rate"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// accountFor returns the state of a request's account, creating it or applying changed limits as needed.
func (l *Limiter) accountFor(now time.Time, request Request) *account {
	limits := mergeLimits(request.Limits, l.limits.Account)
	a := l.accounts[request.Account]
	if a == nil {
		l.evictIdleAccounts(now)
		a = &account{
			requests: rate.NewLimiter(rate.Inf, 1),
			tokens:   rate.NewLimiter(rate.Inf, 1),
		}
		l.accounts[request.Account] = a
	}
	if a.limits != limits {
		a.limits = limits
		a.requests = withRate(now, a.requests, limits.RequestsPerSecond)
		a.tokens = withRate(now, a.tokens, limits.TokensPerSecond)
	}
	return a
}

// evictIdleAccounts drops idle accounts once there are too many. An account without outstanding requests and with full
// buckets has the same state as a new one, so nothing is lost.
func (l *Limiter) evictIdleAccounts(now time.Time) {
	if len(l.accounts) < accountEvictionThreshold {
		return
	}
	for id, a := range l.accounts {
		if a.outstanding == 0 && isFull(now, a.requests) && isFull(now, a.tokens) {
			delete(l.accounts, id)
		}
	}
}

// isFull reports whether a token bucket is full or unlimited.
func isFull(now time.Time, r *rate.Limiter) bool {
	return r.Limit() == rate.Inf || r.TokensAt(now) >= float64(r.Burst())
}

// mergeLimits fills the unset limits of an account from the defaults.
func mergeLimits(own, defaults laceconfig.AccountLimits) laceconfig.AccountLimits {
	if own.RequestsPerSecond == 0 {
		own.RequestsPerSecond = defaults.RequestsPerSecond
	}
	if own.TokensPerSecond == 0 {
		own.TokensPerSecond = defaults.TokensPerSecond
	}
	if own.MaxConcurrent == 0 {
		own.MaxConcurrent = defaults.MaxConcurrent
	}
	return own
}

// withRate returns a limiter with a new rate and a burst of one second. An account that had no limit starts with a full
// bucket; one that had a limit keeps its bucket's level, and so its debt.
func withRate(now time.Time, r *rate.Limiter, perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	if r.Limit() == rate.Inf {
		return rate.NewLimiter(rate.Limit(perSecond), burstSize(perSecond))
	}
	r.SetLimitAt(now, rate.Limit(perSecond))
	r.SetBurstAt(now, burstSize(perSecond))
	return r
}

// allow reports whether the account's rate limits admit a request, and otherwise how long until they do. The number of
// output tokens is known only when a request ends, so the token bucket may go negative and then admits nothing until it
// has refilled. A request needs at most a full bucket, or one larger than the bucket would never be admitted.
func (a *account) allow(now time.Time, tokens laceunit.Tokens) (time.Duration, bool) {
	wait := max(timeUntilAvailable(now, a.requests, 1), timeUntilAvailable(now, a.tokens, float64(tokens)))
	if wait > 0 {
		return clampRetryAfter(wait), false
	}
	return 0, true
}

// timeUntilAvailable returns how long a bucket takes to hold the needed tokens.
func timeUntilAvailable(now time.Time, r *rate.Limiter, need float64) time.Duration {
	if r.Limit() == rate.Inf {
		return 0
	}
	missing := min(max(need, 1), float64(r.Burst())) - r.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(r.Limit()) * float64(time.Second))
}

// charge takes a number of requests and tokens from the account's buckets.
func (a *account) charge(now time.Time, requests int, tokens laceunit.Tokens) {
	chargeBucket(now, a.requests, requests)
	chargeBucket(now, a.tokens, int(tokens))
}

// chargeBucket takes tokens in steps of the burst, because a limiter rejects a larger reservation.
func chargeBucket(now time.Time, r *rate.Limiter, n int) {
	if r.Limit() == rate.Inf {
		return
	}
	for burst := r.Burst(); n > 0; n -= burst {
		r.ReserveN(now, min(n, burst))
	}
}
