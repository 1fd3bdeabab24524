package lacerelay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacelog"
)

// maxPeersTried limits to how many instances a request is forwarded.
const maxPeersTried = 3

// ForwardParams are the parameters of a request that is forwarded to another instance.
type ForwardParams struct {
	// Timeout is how long the instance may process the request.
	Timeout time.Duration
	// LastEventID is the id of the last event that the caller has, Resumes the attempt that brought the first one; empty
	// unless the request resumes a stream.
	LastEventID string
	Resumes     string
}

// forwardsFromStart reports whether a request that no server has got yet is forwarded without a local attempt. The other
// instance then reserves its tokens.
func (r *Relay) forwardsFromStart(j *job) bool {
	j.forwardOnly = j.origin == nil && r.options.Reach.Isolated() && r.mayForward(j)
	return j.forwardOnly
}

// mayForward reports whether a request may be repeated at another instance. One that was forwarded already stays where
// it is.
func (r *Relay) mayForward(j *job) bool {
	if r.options.Peers == nil || j.origin != nil || j.history.notResumable || r.shutdown.refuses(j) {
		return false
	}
	return !j.history.mayHaveRun || retrySafe(j.route)
}

// forwardInstead forwards a request that can't be served by this instance's own attempts, and reports whether it has
// ended it that way.
func (r *Relay) forwardInstead(ctx context.Context, j *job) bool {
	if ctx.Err() != nil || !r.options.Reach.suspected() || !r.mayForward(j) || !r.options.Peers.available(time.Now()) {
		return false
	}
	if j.history.sent > 0 &&
		(j.history.sent >= j.route.MaxAttempts || !j.reach.hasRetry() && !r.retryBudgetCheck(j)()) {
		return false
	}
	r.forward(ctx, j)
	return true
}

// forwardable reports whether another instance may be able to serve a request that was refused here, given whether this one
// is isolated. The others share the load of busy servers.
func forwardable(f *lacefault.Fault, isolated bool) bool {
	switch f.Code {
	case lacefault.NoBackendServer, lacefault.BackendServerFailed:
		return true
	case lacefault.Overloaded:
		return isolated
	default:
		return false
	}
}

// endsLocalAttempts reports whether no further server is tried after an attempt, given whether the instance is isolated.
func (a *attempt) endsLocalAttempts(isolated bool) bool {
	switch a.outcome {
	case attemptIsolated:
		return true
	case attemptNotSent, attemptBroken, attemptStalled:
		return isolated
	default:
		return false
	}
}

// forward sends a request to other instances until one of them has handled it, and copies its response to the caller.
func (r *Relay) forward(ctx context.Context, j *job) {
	r.settle(j)
	if !r.shutdown.beginSend(j) {
		r.failRequest(ctx, j, &attempt{}, stoppingFault(j))
		return
	}
	defer r.shutdown.endSend(j)
	var tried []*peer
	a := attempt{reason: "no other instance reaches the servers"}
	for range maxPeersTried {
		p, ok := r.options.Peers.pick(time.Now(), tried)
		if !ok || ctx.Err() != nil || time.Until(j.deadline) < minRemainingTime {
			break
		}
		a = r.forwardTo(ctx, j, p)
		if a.header == nil {
			tried = append(tried, p)
		}
		switch r.nextForward(j, &a) {
		case actionRetry:
			continue
		case actionDeliver:
			r.deliver(ctx, j, &a)
		default:
			r.failRequest(ctx, j, &a, r.attemptFault(&a))
		}
		return
	}
	f := newRefusal(lacefault.NoBackendServer, "no server is reachable: "+a.reason, r.retryAfter(j))
	j.history.correctOutcome(f)
	r.failRequest(ctx, j, &a, f)
}

// nextForward returns the next step after a request was forwarded: to deliver the response, to try another instance or to
// fail.
func (r *Relay) nextForward(j *job, a *attempt) action {
	switch a.outcome {
	case attemptNotSent:
		return actionRetry
	case attemptComplete:
		if j.history.mayHaveRun && impliesNotRun(a.status) {
			a.reason = "another instance refused the repetition"
			return actionFail
		}
		return actionDeliver
	case attemptBroken:
		j.history.mayHaveRun = true
		if r.mayForward(j) && j.history.sent < j.route.MaxAttempts && r.retryBudgetCheck(j)() {
			return actionRetry
		}
	}
	return actionFail
}

// forwardTo forwards a request to an instance. The outcome is attemptNotSent if the instance has not handled it.
func (r *Relay) forwardTo(ctx context.Context, j *job, p *peer) attempt {
	a := attempt{forwarded: true}
	started := time.Now()
	r.exchangeWith(ctx, j, p, &a)
	if a.exchange != nil {
		r.forwardStream(ctx, j, &a, &stallTimer{}, func() {})
	}
	// At the deadline, a connection may fail before the context ends.
	if inTime := ctx.Err() == nil && time.Until(j.deadline) > 0; a.blamesPeer(inTime) {
		r.options.Peers.avoid(time.Now(), p)
	}
	r.options.Metrics.countForwarded(j, a.outcome)
	r.options.Log.Write(lacelog.Attempt, lacelog.P(lacelog.Request, j.call.Attempt), lacelog.P("peer", p.address),
		lacelog.P(lacelog.AttemptNumber, j.history.sent), lacelog.P(lacelog.Outcome, a.outcome.String()),
		lacelog.P(lacelog.Status, a.status), lacelog.P(lacelog.Reason, a.reason),
		lacelog.P(lacelog.Took, time.Since(started).Milliseconds()),
		lacelog.P(lacelog.Remaining, time.Until(j.deadline).Milliseconds()))
	return a
}

// blamesPeer reports whether the instance to which a request was forwarded is the cause that it was not served. What broke
// after the header of the response may have been its server's.
func (a *attempt) blamesPeer(inTime bool) bool {
	switch a.outcome {
	case attemptNotSent:
		return inTime && !a.neutral
	case attemptBroken, attemptTimedOut:
		return a.header == nil
	default:
		return false
	}
}

// exchangeWith sends a request to an instance and reads the response, or only its header if it is a stream.
func (r *Relay) exchangeWith(ctx context.Context, j *job, p *peer, a *attempt) {
	conn, err := p.pool.Get(ctx)
	if err != nil {
		a.outcome, a.reason, a.neutral = attemptNotSent, err.Error(), errors.Is(err, laceconn.ErrPoolExhausted)
		return
	}
	x, err := conn.Send(ctx, r.newForwardRequest(j))
	switch {
	case errors.Is(err, laceconn.ErrNotSent):
		a.outcome, a.reason = attemptNotSent, err.Error()
		return
	case err != nil:
		a.outcome, a.reason = interruptionOutcome(ctx), err.Error()
		// The instance may have made all attempts.
		j.history.sent, j.history.mayHaveRun = max(j.route.MaxAttempts, 1), true
		return
	}
	header := x.Response.Header
	if header.Get(headerForwardServed) == "" {
		x.Abort()
		a.outcome, a.reason, a.status = attemptNotSent, "instance declined", x.Response.StatusCode
		return
	}
	r.readForwarded(ctx, j, a, x)
}

// newForwardRequest returns the request to another instance.
func (r *Relay) newForwardRequest(j *job) *http.Request {
	params := ForwardParams{
		Timeout:     time.Until(j.deadline),
		LastEventID: j.lastEventID,
	}
	if j.lastEventID != "" {
		params.Resumes = string(j.streamID())
	}
	q := r.options.Codec.EncodeForward(j.call, j.body, params)
	forwardParams{
		version:  j.version,
		attempts: j.history.sent,
		software: j.softwareVersion,
	}.encode(q.Header)
	return q
}

// readForwarded reads the response of another instance, or only its header if it is a stream.
func (r *Relay) readForwarded(ctx context.Context, j *job, a *attempt, x *laceconn.Exchange) {
	a.reply = r.options.Codec.DecodeReply(x.Response)
	if a.reply.Attempt != j.call.Attempt {
		x.Abort()
		a.outcome, a.reason = attemptBroken, "answer belongs to another request"
		j.history.sent = max(j.route.MaxAttempts, 1)
		return
	}
	header := x.Response.Header
	if n, err := strconv.Atoi(header.Get(headerForwardAttempts)); err == nil {
		j.history.sent = max(j.history.sent, n)
	}
	for _, s := range decodeLeaving(header) {
		// Applied before the response is passed on, as for a server of this instance.
		r.options.Backends.MarkIncarnationLeaving(s.id, s.startTime)
	}
	if v := decodeSoftware(header); v != nil {
		a.backend = &backend{Backend: Backend{Version: *v}}
	}
	removeForwardHeaders(header)
	a.status, a.header = x.Response.StatusCode, header
	a.framed = x.Response.ContentLength >= 0 || len(x.Response.TransferEncoding) > 0 || j.call.Method == http.MethodHead
	if j.route.Stream && a.status == http.StatusOK && a.reply.HasReceipt && a.backend != nil &&
		j.response.canContinueWith(a.header) {
		a.exchange = x
		return
	}
	r.readResponse(ctx, j, a, x, &stallTimer{})
	if a.outcome == attemptNotRun {
		a.outcome = attemptComplete
	}
	if a.outcome == attemptComplete && !a.framed {
		a.outcome, a.reason = attemptBroken, "answer without a length"
	}
}
