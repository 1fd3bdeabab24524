package lacegateway

import (
	"context"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacelimit"
	"lacewingcove/lib/laceunit"
)

// Admitter is the admission control of an instance; it implements Limiter.
type Admitter struct {
	runner  *deciderRunner[lacelimit.Ticket, lacelimit.Decision]
	limiter *lacelimit.Limiter
	now     func() time.Time
}

// NewAdmitter returns an admitter with the limits of a configuration document.
func NewAdmitter(limits laceconfig.Limits, now func() time.Time) *Admitter {
	limiter := lacelimit.New(limits)
	return &Admitter{
		runner: newRunner[lacelimit.Ticket, lacelimit.Decision](limiter, func(d lacelimit.Decision) lacelimit.Ticket {
			return d.Ticket
		}),
		limiter: limiter,
		now:     now,
	}
}

// Configure applies the limits of a new configuration document.
func (a *Admitter) Configure(limits laceconfig.Limits) {
	a.runner.mu.Lock()
	defer a.runner.mu.Unlock()
	a.limiter.Configure(limits)
}

// Serve makes the decisions that depend on time, such as timeouts of queued requests, until the context ends.
func (a *Admitter) Serve(ctx context.Context) error {
	return a.runner.serve(ctx, a.now)
}

// Admit implements Limiter.
func (a *Admitter) Admit(ctx context.Context, request AdmissionRequest) (func(laceunit.Tokens), *lacefault.Fault) {
	r := a.runner
	r.mu.Lock()
	decision, others := a.limiter.Admit(a.now(), lacelimit.Request{
		Account:  request.Account,
		Priority: request.Priority,
		Tokens:   request.Tokens,
		Limits:   request.Limits,
	})
	r.deliver(others)
	if decision.Verdict == lacelimit.Waiting {
		c := r.register(decision.Ticket)
		r.mu.Unlock()
		decision = r.wait(ctx, decision.Ticket, c, a.limiter.Cancel, lacelimit.Decision{
			Ticket:  decision.Ticket,
			Verdict: lacelimit.Refused,
			Code:    lacefault.Overloaded,
		})
	} else {
		r.mu.Unlock()
	}
	if decision.Verdict != lacelimit.Admitted {
		return nil, &lacefault.Fault{
			Outcome:    lacefault.NotRun,
			Code:       decision.Code,
			Message:    "the instance or the client account is at its limit",
			RetryAfter: decision.RetryAfter,
		}
	}
	return func(output laceunit.Tokens) { a.release(decision.Ticket, output) }, nil
}

func (a *Admitter) release(ticket lacelimit.Ticket, output laceunit.Tokens) {
	r := a.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(a.limiter.Done(a.now(), ticket, output))
}
