package lacelimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceunit"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry time that refused callers get.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// accountEvictionThreshold is the number of accounts at which idle ones are evicted.
	accountEvictionThreshold = 8192
	// latencyWeight is the weight of a new sample in the moving average of request latency, so that it covers about
	// 20 requests.
	latencyWeight = 0.05
)

// Request is a request for admission.
type Request struct {
	Account  laceunit.AccountID
	Priority laceunit.Priority
	// Tokens are charged to the account's token rate at admission: the length of the prompt, or the price of a service.
	Tokens laceunit.Tokens
	// Limits are the account's own limits; zero fields take the defaults of the configuration.
	Limits laceconfig.AccountLimits
	// Deadline is when a waiting request is refused. It is limited to the configured wait, which is also the default.
	Deadline time.Time
}

// Ticket identifies a request from Admit to Done or Cancel.
type Ticket uint64

// Verdict is the outcome of an admission decision.
type Verdict int

// Verdicts on requests.
const (
	// Admitted means that the request may run; the caller must call Done when it ends.
	Admitted Verdict = iota + 1
	// Waiting means that the request is queued; a later call returns the decision under the same ticket.
	Waiting
	// Refused means that the request must not run; its ticket is no longer valid.
	Refused
)

// Decision is the result for a request; Code and RetryAfter are set if it is refused.
type Decision struct {
	Ticket     Ticket
	Verdict    Verdict
	Code       lacefault.Code
	RetryAfter time.Duration
}

// Limiter is the admission control of one instance.
type Limiter struct {
	limits     laceconfig.Limits
	accounts   map[laceunit.AccountID]*account
	running    map[Ticket]runningRequest
	queue      *Queue[waiter]
	lastTicket Ticket
	// latency is the moving average of the time that admitted requests take, in seconds.
	latency float64
}

type account struct {
	limits   laceconfig.AccountLimits
	requests *rate.Limiter
	tokens   *rate.Limiter
	// outstanding counts the account's admitted and waiting requests.
	outstanding int
}

type runningRequest struct {
	account    *account
	admittedAt time.Time
}

type waiter struct {
	ticket  Ticket
	account *account
}

// New returns a limiter with the given limits and an empty queue.
func New(limits laceconfig.Limits) *Limiter {
	return &Limiter{
		limits:   limits,
		accounts: map[laceunit.AccountID]*account{},
		running:  map[Ticket]runningRequest{},
		queue:    NewQueue[waiter](limits.MaxQueued),
	}
}

// Configure changes the limits; those of an account take effect with its next request.
func (l *Limiter) Configure(limits laceconfig.Limits) {
	l.limits = limits
	l.queue.SetBound(limits.MaxQueued)
}

// Admit decides whether a request may run. The second result holds the decisions on other requests that the call
// refused: those whose deadline has passed and one that was displaced from the full queue.
func (l *Limiter) Admit(now time.Time, request Request) (Decision, []Decision) {
	l.lastTicket++
	ticket := l.lastTicket
	a := l.accountFor(now, request)
	if wait, ok := a.allow(now, request.Tokens); !ok {
		return refusal(ticket, lacefault.RateLimited, wait), nil
	}
	if a.limits.MaxConcurrent > 0 && a.outstanding >= a.limits.MaxConcurrent {
		return refusal(ticket, lacefault.RateLimited, l.retryAfter(1, a.limits.MaxConcurrent)), nil
	}
	others := l.expire(now)
	if l.queue.Len() == 0 && l.hasCapacity() {
		l.admit(now, ticket, a)
		a.charge(now, 1, request.Tokens)
		return Decision{
			Ticket:  ticket,
			Verdict: Admitted,
		}, others
	}
	deadline := request.Deadline
	if latest := now.Add(l.limits.QueueTimeout); deadline.IsZero() || deadline.After(latest) {
		deadline = latest
	}
	displaced, ok := l.queue.Push(Item[waiter]{
		Account:  request.Account,
		Priority: request.Priority,
		Deadline: deadline,
		Value: waiter{
			ticket:  ticket,
			account: a,
		},
	})
	if !ok {
		return refusal(ticket, lacefault.Overloaded, l.retryAfter(l.queue.Len(), l.limits.MaxConcurrent)), others
	}
	a.outstanding++
	a.charge(now, 1, request.Tokens)
	if displaced != nil {
		others = append(others, l.refuse(displaced.Value))
	}
	return Decision{
		Ticket:  ticket,
		Verdict: Waiting,
	}, others
}

// Done ends an admitted request, charges the tokens that Admit has not charged, and admits waiting requests. A second
// call for the same ticket is ignored.
func (l *Limiter) Done(now time.Time, ticket Ticket, tokens laceunit.Tokens) []Decision {
	r, ok := l.running[ticket]
	if !ok {
		return nil
	}
	delete(l.running, ticket)
	r.account.outstanding--
	r.account.charge(now, 0, tokens)
	if l.latency == 0 {
		l.latency = now.Sub(r.admittedAt).Seconds()
	}
	l.latency += latencyWeight * (now.Sub(r.admittedAt).Seconds() - l.latency)
	return l.Tick(now)
}

// Cancel removes a waiting request from the queue and reports whether it was there.
func (l *Limiter) Cancel(ticket Ticket) bool {
	dropped := l.queue.Drop(func(i Item[waiter]) bool { return i.Value.ticket == ticket })
	for _, i := range dropped {
		i.Value.account.outstanding--
	}
	return len(dropped) > 0
}

// Tick refuses waiting requests whose deadline has passed and admits others up to the concurrency limit.
func (l *Limiter) Tick(now time.Time) []Decision {
	decisions := l.expire(now)
	for l.hasCapacity() {
		i, ok := l.queue.Pop(func(waiter) bool { return true })
		if !ok {
			break
		}
		i.Value.account.outstanding--
		l.admit(now, i.Value.ticket, i.Value.account)
		decisions = append(decisions, Decision{
			Ticket:  i.Value.ticket,
			Verdict: Admitted,
		})
	}
	return decisions
}

// Next returns when Tick is due, and false while the queue is empty.
func (l *Limiter) Next() (time.Time, bool) { return l.queue.Next() }

// Running returns the number of admitted requests.
func (l *Limiter) Running() int { return len(l.running) }

// Waiting returns the number of queued requests.
func (l *Limiter) Waiting() int { return l.queue.Len() }

func (l *Limiter) hasCapacity() bool {
	return l.limits.MaxConcurrent <= 0 || len(l.running) < l.limits.MaxConcurrent
}

func (l *Limiter) admit(now time.Time, ticket Ticket, a *account) {
	a.outstanding++
	l.running[ticket] = runningRequest{
		account:    a,
		admittedAt: now,
	}
}

func (l *Limiter) expire(now time.Time) []Decision {
	var decisions []Decision
	for _, i := range l.queue.Expire(now) {
		decisions = append(decisions, l.refuse(i.Value))
	}
	return decisions
}

func (l *Limiter) refuse(w waiter) Decision {
	w.account.outstanding--
	return refusal(w.ticket, lacefault.Overloaded, l.retryAfter(l.queue.Len(), l.limits.MaxConcurrent))
}

// retryAfter estimates how long it takes to serve a number of requests with a number of slots.
func (l *Limiter) retryAfter(requests, slots int) time.Duration {
	seconds := l.latency * float64(requests) / float64(max(slots, 1))
	return clampRetryAfter(time.Duration(seconds * float64(time.Second)))
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

func refusal(ticket Ticket, code lacefault.Code, retryAfter time.Duration) Decision {
	return Decision{
		Ticket:     ticket,
		Verdict:    Refused,
		Code:       code,
		RetryAfter: retryAfter,
	}
}

// burstSize returns the burst for one second of a rate, at least one.
func burstSize(perSecond float64) int {
	return int(math.Max(1, math.Ceil(math.Min(perSecond, math.MaxInt32))))
}
