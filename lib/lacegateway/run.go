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
	"lacewingcove/lib/lacelistener"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/lacerequest"
	"lacewingcove/lib/laceunit"
)

const (
	// engineTimeout bounds one attempt at a model engine; the longest generations take minutes.
	engineTimeout = 5 * time.Minute
	// recordTimeout bounds one ledger append or journal copy; after it the request continues without the platform.
	recordTimeout = 2 * time.Second
	// reserveTimeout bounds the wait for a grant.
	reserveTimeout = 2 * time.Second
	// inputQueueSize bounds the queue of inputs to the machine; a full queue applies backpressure to the server's
	// stream.
	inputQueueSize = 64
)

// task holds everything that the gateway needs to process one request.
type task struct {
	caller      caller
	id          laceunit.RequestID
	pickRequest PickRequest
	spec        lacerequest.Spec
	call        lacebackend.GenerateRequest
	invocation  *lacebackend.InvokeRequest
	timeout     time.Duration
	sink        sink
	// holding bounds the memory of the request; nil bounds nothing.
	holding  *lacelistener.Holding
	decision lacemember.Decision
}

// run admits a request, reserves its ceiling and runs its state machine until the final response has been sent.
func (g *Gateway) run(w http.ResponseWriter, r *http.Request, t task) {
	sequence, fault := g.startRequest()
	if fault != nil {
		g.refuse(w, fault)
		return
	}
	defer g.running.Done()
	g.metrics.requestStarted()
	defer g.metrics.requestEnded()
	release, fault := g.deps.Limiter.Admit(r.Context(), AdmissionRequest{
		Account:  t.caller.id,
		Priority: t.pickRequest.Priority,
		Tokens:   t.admissionTokens(),
		Limits:   t.caller.account.Limits,
	})
	if fault != nil {
		g.refuse(w, fault)
		return
	}
	var output laceunit.Tokens
	defer func() { release(output) }()
	t.pickRequest.NonIdempotent = !t.spec.Idempotent
	t.holding = lacelistener.FromContext(r.Context())
	t.spec.Request = t.ledgerRequest()
	t.spec.Budget = t.caller.budget
	t.spec.LedgerAttempt = laceunit.AttemptID(g.holder.String() + "/" + strconv.FormatUint(sequence, 36))
	t.decision = g.deps.Membership.Authorize(t.spec.Request, t.spec.Idempotent)
	switch t.decision.Verdict {
	case lacemember.Refuse:
		g.refuse(w, authorizationFault(t.decision))
		return
	case lacemember.AlreadyStarted:
		g.replyFromJournal(t)
		return
	}
	if t.decision.Verdict == lacemember.Offline && t.spec.Idempotent {
		if entry, found := g.deps.Journal.Find(t.spec.Request); found {
			if !entry.Finished || entry.Digest != t.spec.Digest {
				g.replyFromJournal(t)
				return
			}
			// The journal has the usage of an earlier run but not its response, so this run is not billed.
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

// admissionTokens returns the tokens that the account's rate limit is charged at admission. The output is charged at
// the end of the request.
func (t *task) admissionTokens() laceunit.Tokens {
	if t.invocation != nil {
		return t.spec.Price
	}
	return t.spec.Prompt
}

// reserve reserves the ceiling in the wallet.
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

// replyFromJournal responds to a repeated request from its entry in this instance's journal, without running it again.
func (g *Gateway) replyFromJournal(t task) {
	entry, ok := g.deps.Journal.Find(t.spec.Request)
	switch {
	case ok && entry.Digest != t.spec.Digest:
		t.sink.refuse(refusal(lacefault.IDReused, "the request id was used before with another body"))
	case ok && entry.Finished && entry.Response != nil:
		t.sink.reply(*entry.Response, nil, false)
	case ok && entry.Finished:
		t.sink.reply(laceledger.Response{}, nil, true)
	default:
		t.sink.refuse(&lacefault.Fault{
			Outcome:    lacefault.Unknown,
			Code:       lacefault.InProgress,
			Message:    "the request is running or its outcome is not known yet",
			RetryAfter: retryAfterRunning,
		})
	}
}

// abandon revokes the authorization of a non-idempotent call that certainly did not run.
func (g *Gateway) abandon(t task) {
	if !t.spec.Idempotent {
		g.deps.Membership.Abandon(t.spec.Request)
	}
}

func authorizationFault(d lacemember.Decision) *lacefault.Fault {
	return &lacefault.Fault{
		Outcome:    lacefault.NotRun,
		Code:       d.Code,
		Message:    "this instance may not run the request now",
		RetryAfter: d.RetryAfter,
		Instance:   d.RedirectAddress,
	}
}

// refuse sends the fault of a request that is refused before its state machine starts.
func (g *Gateway) refuse(w http.ResponseWriter, fault *lacefault.Fault) {
	g.metrics.requestRefused(fault)
	writeFault(w, fault)
}
