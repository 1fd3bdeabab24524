package lacerelay

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceunit"
)

// connect returns a connection to the picked server on which the request may be sent, or nil and the reason in a.
func (r *Relay) connect(ctx context.Context, j *job, d lacebalancer.Decision, a *attempt) *laceconn.Conn {
	started, remaining := time.Now(), time.Until(j.deadline)
	server, ok := r.options.Backends.find(d.Server)
	if !ok && r.placementRevoked(j, d, a) {
		return nil
	}
	if !ok || remaining < minRemainingTime {
		a.outcome, a.reason, a.neutral = attemptNotSent, "server has gone or time is over", true
		return nil
	}
	a.backend = server
	acquire := server.pool.Get
	if slices.Contains(j.refusedBy, d.Server) {
		// On a connection with an earlier refusal of this request, a copy of that would pass as the answer.
		acquire = server.pool.Open
	}
	conn, err := acquire(ctx)
	if err != nil {
		a.outcome, a.reason = attemptNotSent, err.Error()
		a.neutral = r.connectionErrorIsNeutral(ctx, j, d.Server, err, started)
		if !a.neutral {
			r.options.Reach.failed()
		}
		a.noHandshake = errors.Is(err, laceconn.ErrHandshakeTimeout)
		a.delayed = a.neutral && ctx.Err() == nil && errors.Is(err, laceconn.ErrHandshakeTimeout)
		r.placementRevoked(j, d, a)
		return nil
	}
	r.silence.endHandshake(d.Server)
	if r.placementRevoked(j, d, a) {
		conn.Release()
		return nil
	}
	if a.refusal = r.quarantineFault(j); a.refusal == nil && !r.shutdown.beginSend(j) {
		a.refusal = stoppingFault(j)
	}
	if a.refusal == nil && !r.options.Reach.beginSend(j.reach) {
		conn.Release()
		r.shutdown.endSend(j)
		a.outcome, a.reason, a.neutral = attemptNotSent, errIsolated.Error(), true
		return nil
	}
	if a.refusal != nil {
		conn.Release()
		a.outcome, a.reason, a.neutral = attemptNotSent, a.refusal.Message, true
		return nil
	}
	return conn
}

// connectionErrorIsNeutral reports whether the server did not cause that no connection to it was available.
func (r *Relay) connectionErrorIsNeutral(
	ctx context.Context, j *job, server laceunit.ServerID, err error, started time.Time,
) bool {
	return ctx.Err() != nil || errors.Is(err, laceconn.ErrPoolExhausted) || errors.Is(err, laceconn.ErrClosed) ||
		errors.Is(err, laceconn.ErrHandshakeTimeout) && r.excused(j, server, started, excusedHandshake)
}

// unreachableResult returns the balancer's result of an attempt of which nothing was sent.
func (a *attempt) unreachableResult() lacebalancer.Result {
	switch {
	case a.neutral:
		return lacebalancer.Neutral
	case a.noHandshake:
		return lacebalancer.SilentHandshake
	default:
		return lacebalancer.Unreachable
	}
}

// countNotSent counts an attempt of which nothing was sent.
func (h *attemptHistory) countNotSent(a *attempt) {
	switch {
	case a.revoked:
	case a.delayed && h.delayed < maxDelayed:
		h.delayed++
	default:
		h.notSent++
	}
}
