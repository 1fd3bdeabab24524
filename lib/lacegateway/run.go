package lacegateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacegrant"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/lacerequest"
	"lacewingcove/lib/laceunit"
)

const (
	// engineTimeout bounds one attempt at a model engine; the longest drafts take minutes.
	engineTimeout = 5 * time.Minute
	// recordTimeout bounds one ledger record or journal copy; after it the request goes on without the platform.
	recordTimeout = 2 * time.Second
	// reserveTimeout bounds the wait for a grant.
	reserveTimeout = 2 * time.Second
	// inputQueue bounds the inputs that wait for the machine; a full queue slows the backend server's stream down.
	inputQueue = 64
)

// task is one request on its way through the gateway.
type task struct {
	caller     caller
	id         laceunit.RequestID
	choice     PickRequest
	spec       lacerequest.Spec
	call       lacebackend.GenerateRequest
	invocation *lacebackend.InvokeRequest
	timeout    time.Duration
	sink       sink
	decision   lacemember.Decision
}

// run admits a request, reserves its ceiling and drives its machine to the final answer.
func (g *Gateway) run(w http.ResponseWriter, r *http.Request, t task) {
	serial, fault := g.enter()
	if fault != nil {
		g.refuse(w, fault)
		return
	}
	defer g.running.Done()
	g.metrics.begin()
	defer g.metrics.end()
	release, fault := g.deps.Limiter.Admit(r.Context(), AdmissionRequest{
		Account:  t.caller.id,
		Priority: t.choice.Priority,
		Tokens:   t.due(),
		Limits:   t.caller.account.Limits,
	})
	if fault != nil {
		g.refuse(w, fault)
		return
	}
	var output laceunit.Tokens
	defer func() { release(output) }()
	t.choice.NonIdempotent = !t.spec.Idempotent
	t.spec.Request = t.request()
	t.spec.Budget = t.caller.budget
	t.spec.LedgerAttempt = laceunit.AttemptID(g.holder.String() + "/" + strconv.FormatUint(serial, 36))
	t.decision = g.deps.Membership.Authorize(t.spec.Request, t.spec.Idempotent)
	switch t.decision.Verdict {
	case lacemember.Refuse:
		g.refuse(w, refusedBy(t.decision))
		return
	case lacemember.AlreadyStarted:
		g.repeat(t)
		return
	}
	if t.decision.Verdict == lacemember.Offline && t.spec.Idempotent {
		if old, known := g.deps.Journal.Find(t.spec.Request); known {
			if !old.Finished || old.Digest != t.spec.Digest {
				g.repeat(t)
				return
			}
			// The journal has the bill of an earlier run, whose answer is not kept.
			t.spec.AlreadyBilled = true
		}
	}
	reservation, fault := g.reserve(r.Context(), t)
	if fault != nil {
		g.abandon(t)
		g.refuse(w, fault)
		return
	}
	t.spec.Offline = t.decision.Verdict == lacemember.Offline
	t.spec.Grant = reservation.Grant
	d := newDriver(g, t, reservation)
	d.loop(r.Context())
	output = d.output
}

// due is what the rate limit of the client account is charged at admission; the output follows when it is known.
func (t *task) due() laceunit.Tokens {
	if t.invocation != nil {
		return t.spec.Price
	}
	return t.spec.Prompt
}

// reserve takes the ceiling from the wallet.
func (g *Gateway) reserve(ctx context.Context, t task) (lacegrant.Reservation, *lacefault.Fault) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	if t.decision.Verdict == lacemember.Offline {
		r, err := g.deps.Wallet.ReserveOffline(ctx, t.spec.Budget, t.spec.Ceiling)
		if err != nil {
			return r, walletFault(err)
		}
		return r, nil
	}
	r, err := g.deps.Wallet.Reserve(ctx, t.spec.Budget, t.spec.Ceiling)
	if err != nil {
		return r, walletFault(err)
	}
	return r, nil
}

// repeat answers a call that is not idempotent and that this instance's journal knows: it never runs again.
func (g *Gateway) repeat(t task) {
	old, ok := g.deps.Journal.Find(t.spec.Request)
	switch {
	case ok && old.Digest != t.spec.Digest:
		t.sink.refuse(refusal(lacefault.IDReused, "the request id was used before with another body"))
	case ok && old.Finished && old.Response != nil:
		t.sink.reply(*old.Response, nil, false)
	case ok && old.Finished:
		t.sink.reply(laceledger.Response{}, nil, true)
	default:
		t.sink.refuse(&lacefault.Fault{
			Outcome:    lacefault.Unknown,
			Code:       lacefault.InProgress,
			Message:    "the request is running or its outcome is not known yet",
			RetryAfter: retryBudget,
		})
	}
}

// abandon ends the authorization of a call that is not idempotent and certainly did not run.
func (g *Gateway) abandon(t task) {
	if !t.spec.Idempotent {
		g.deps.Membership.Abandon(t.spec.Request)
	}
}

func refusedBy(d lacemember.Decision) *lacefault.Fault {
	return &lacefault.Fault{
		Outcome:    lacefault.NotRun,
		Code:       d.Code,
		Message:    "this instance may not run the request now",
		RetryAfter: d.RetryAfter,
		Instance:   d.RedirectAddress,
	}
}

// refuse sends a refusal that was decided before the request had a machine.
func (g *Gateway) refuse(w http.ResponseWriter, fault *lacefault.Fault) {
	g.metrics.refused(fault)
	writeFault(w, fault)
}
