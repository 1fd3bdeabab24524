package lacegateway

import (
	"context"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacelimit"
	"lacewingcove/lib/laceunit"
)

// Admitter runs the admission limits of an instance; it implements Limiter.
type Admitter struct {
	board   *board[lacelimit.Ticket, lacelimit.Decision]
	limiter *lacelimit.Limiter
	now     func() time.Time
}

// NewAdmitter returns an admitter with the limits of a document.
func NewAdmitter(limits laceconfig.Limits, now func() time.Time) *Admitter {
	limiter := lacelimit.New(limits)
	return &Admitter{
		board: newBoard[lacelimit.Ticket, lacelimit.Decision](limiter, func(d lacelimit.Decision) lacelimit.Ticket {
			return d.Ticket
		}),
		limiter: limiter,
		now:     now,
	}
}

// Configure takes over the limits of a new document.
func (a *Admitter) Configure(limits laceconfig.Limits) {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	a.limiter.Configure(limits)
}

// Serve decides what time decides until the context ends.
func (a *Admitter) Serve(ctx context.Context) error {
	return a.board.serve(ctx, a.now)
}

// Admit implements Limiter.
func (a *Admitter) Admit(ctx context.Context, admission AdmissionRequest) (func(laceunit.Tokens), *lacefault.Fault) {
	b := a.board
	b.mu.Lock()
	decision, others := a.limiter.Admit(a.now(), lacelimit.Request{
		Account:  admission.Account,
		Priority: admission.Priority,
		Tokens:   admission.Tokens,
		Limits:   admission.Limits,
	})
	b.deliver(others)
	if decision.Verdict == lacelimit.Waiting {
		c := b.await(decision.Ticket)
		b.mu.Unlock()
		decision = b.wait(ctx, decision.Ticket, c, a.limiter.Cancel, lacelimit.Decision{
			Ticket:  decision.Ticket,
			Verdict: lacelimit.Refused,
			Code:    lacefault.Overloaded,
		})
	} else {
		b.mu.Unlock()
	}
	if decision.Verdict != lacelimit.Admitted {
		return nil, &lacefault.Fault{
			Outcome:    lacefault.NotRun,
			Code:       decision.Code,
			Message:    "the instance or the client account is at its limit",
			RetryAfter: decision.RetryAfter,
		}
	}
	return func(output laceunit.Tokens) { a.done(decision.Ticket, output) }, nil
}

func (a *Admitter) done(ticket lacelimit.Ticket, output laceunit.Tokens) {
	b := a.board
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deliver(a.limiter.Done(a.now(), ticket, output))
}
