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
	// shortRetry and longRetry bound the retry times that refused callers are given.
	shortRetry = 100 * time.Millisecond
	longRetry  = 30 * time.Second
	// idleAccounts is how many accounts are kept before those at rest are dropped.
	idleAccounts = 8192
	// latencyWeight smooths the time that admitted requests take, over about 20 of them.
	latencyWeight = 0.05
)

// Request asks for admission.
type Request struct {
	Account  laceunit.AccountID
	Priority laceunit.Priority
	// Tokens are charged to the account's token rate at admission: what the prompt has, or the price of a service.
	Tokens laceunit.Tokens
	// Limits are the account's limits; fields that are zero take the defaults of the document.
	Limits laceconfig.AccountLimits
	// Deadline ends the wait; the zero time stands for the configured wait.
	Deadline time.Time
}

// Ticket names a request from Admit to Done or Cancel.
type Ticket uint64

// Verdict says what becomes of a request.
type Verdict int

// The verdicts.
const (
	// Admitted means that the request may run; Done must follow.
	Admitted Verdict = iota + 1
	// Waiting means that the decision comes out of a later call, under the same ticket.
	Waiting
	// Refused means that the request does not run; the ticket has ended.
	Refused
)

// Decision is the answer to a request; Code and RetryAfter are set when it is refused.
type Decision struct {
	Ticket     Ticket
	Verdict    Verdict
	Code       lacefault.Code
	RetryAfter time.Duration
}

// Limiter admits requests to one instance.
type Limiter struct {
	limits   laceconfig.Limits
	accounts map[laceunit.AccountID]*account
	running  map[Ticket]run
	queue    *Queue[waiter]
	last     Ticket
	latency  float64
}

type account struct {
	limits   laceconfig.AccountLimits
	requests *rate.Limiter
	tokens   *rate.Limiter
	// present counts the account's admitted and waiting requests.
	present int
}

type run struct {
	account *account
	since   time.Time
}

type waiter struct {
	ticket  Ticket
	account *account
}

// New returns a limiter.
func New(limits laceconfig.Limits) *Limiter {
	return &Limiter{
		limits:   limits,
		accounts: map[laceunit.AccountID]*account{},
		running:  map[Ticket]run{},
		queue:    NewQueue[waiter](limits.Waiting),
	}
}

// Configure changes the limits; accounts take theirs with their next request.
func (l *Limiter) Configure(limits laceconfig.Limits) {
	l.limits = limits
	l.queue.SetBound(limits.Waiting)
}

// Admit decides whether a request may run. The second result holds decisions of other requests: one that gave way.
func (l *Limiter) Admit(now time.Time, request Request) (Decision, []Decision) {
	l.last++
	ticket := l.last
	a := l.account(now, request)
	if after, ok := a.allow(now, request.Tokens); !ok {
		return refusal(ticket, lacefault.RateLimited, after), nil
	}
	if a.limits.Concurrent > 0 && a.present >= a.limits.Concurrent {
		return refusal(ticket, lacefault.RateLimited, l.retryAfter(1, a.limits.Concurrent)), nil
	}
	others := l.expire(now)
	if l.queue.Len() == 0 && l.free() {
		l.admit(now, ticket, a)
		a.spend(now, 1, request.Tokens)
		return Decision{
			Ticket:  ticket,
			Verdict: Admitted,
		}, others
	}
	deadline := request.Deadline
	if latest := now.Add(l.limits.Wait); deadline.IsZero() || deadline.After(latest) {
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
		return refusal(ticket, lacefault.Overloaded, l.retryAfter(l.queue.Len(), l.limits.Concurrent)), others
	}
	a.present++
	a.spend(now, 1, request.Tokens)
	if displaced != nil {
		others = append(others, l.refuse(displaced.Value))
	}
	return Decision{
		Ticket:  ticket,
		Verdict: Waiting,
	}, others
}

// Done ends an admitted request, charges the tokens that Admit did not, and admits what waits. A second call for the
// same ticket is ignored.
func (l *Limiter) Done(now time.Time, ticket Ticket, tokens laceunit.Tokens) []Decision {
	r, ok := l.running[ticket]
	if !ok {
		return nil
	}
	delete(l.running, ticket)
	r.account.present--
	r.account.spend(now, 0, tokens)
	if l.latency == 0 {
		l.latency = now.Sub(r.since).Seconds()
	}
	l.latency += latencyWeight * (now.Sub(r.since).Seconds() - l.latency)
	return l.Tick(now)
}

// Cancel ends a waiting request; it reports whether it did wait.
func (l *Limiter) Cancel(ticket Ticket) bool {
	dropped := l.queue.Drop(func(i Item[waiter]) bool { return i.Value.ticket == ticket })
	for _, i := range dropped {
		i.Value.account.present--
	}
	return len(dropped) > 0
}

// Tick refuses what has waited past its deadline and admits what there is room for.
func (l *Limiter) Tick(now time.Time) []Decision {
	decisions := l.expire(now)
	for l.free() {
		i, ok := l.queue.Pop(func(waiter) bool { return true })
		if !ok {
			break
		}
		i.Value.account.present--
		l.admit(now, i.Value.ticket, i.Value.account)
		decisions = append(decisions, Decision{
			Ticket:  i.Value.ticket,
			Verdict: Admitted,
		})
	}
	return decisions
}

// Next returns when Tick has something to do, and false while nothing waits.
func (l *Limiter) Next() (time.Time, bool) { return l.queue.Next() }

// Running and Waiting return the numbers of requests.
func (l *Limiter) Running() int { return len(l.running) }

// Waiting returns the number of requests in the queue.
func (l *Limiter) Waiting() int { return l.queue.Len() }

func (l *Limiter) free() bool {
	return l.limits.Concurrent <= 0 || len(l.running) < l.limits.Concurrent
}

func (l *Limiter) admit(now time.Time, ticket Ticket, a *account) {
	a.present++
	l.running[ticket] = run{
		account: a,
		since:   now,
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
	w.account.present--
	return refusal(w.ticket, lacefault.Overloaded, l.retryAfter(l.queue.Len(), l.limits.Concurrent))
}

// retryAfter estimates how long it takes to serve some requests with some slots.
func (l *Limiter) retryAfter(requests, slots int) time.Duration {
	seconds := l.latency * float64(requests) / float64(max(slots, 1))
	return bounded(time.Duration(seconds * float64(time.Second)))
}

func bounded(d time.Duration) time.Duration { return min(max(d, shortRetry), longRetry) }

func refusal(ticket Ticket, code lacefault.Code, after time.Duration) Decision {
	return Decision{
		Ticket:     ticket,
		Verdict:    Refused,
		Code:       code,
		RetryAfter: after,
	}
}

// ceil returns a burst of one second of a rate, at least one.
func ceil(perSecond float64) int {
	return int(math.Max(1, math.Ceil(math.Min(perSecond, math.MaxInt32))))
}
