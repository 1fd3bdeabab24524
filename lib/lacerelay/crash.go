package lacerelay

import (
	"context"
	"net/http"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacequarantine"
	"lacewingcove/lib/laceunit"
)

const (
	// crashProbeTimeout bounds the connection attempt that tells a crash from a reset connection. A machine without a
	// listener refuses at once; one that does not answer is cut off, which is no crash.
	crashProbeTimeout = 150 * time.Millisecond
	// settledAge is how long a server must go on writing a response until the request counts as harmless. A part that
	// crashes servers does so when the response begins.
	settledAge = 500 * time.Millisecond
)

// observeServer records whether the server of an attempt survived the request.
func (r *Relay) observeServer(ctx context.Context, j *job, d lacebalancer.Decision, a *attempt) {
	if a.provesServer() {
		r.reportSuccess(j)
		return
	}
	if !a.mayHaveLostServer() || a.outcome != attemptComplete && len(j.call.Parts) == 0 {
		return
	}
	sending, ok := r.options.Picker.Sending(d.Ticket)
	if !ok || !r.options.Backends.hasCrashed(ctx, d.Server, sending.StartTime) {
		return
	}
	if a.outcome == attemptComplete {
		a.outcome, a.reason = attemptBroken, "server crashed at the end of an answer without a length"
	}
	if !a.settled {
		r.reportCrash(j, d.Server, sending.StartTime)
	}
	r.options.Metrics.countCrash(j)
	r.options.Log.Write(lacelog.Crash, lacelog.P(lacelog.Request, j.call.Attempt), lacelog.P(lacelog.ServerID, d.Server),
		lacelog.P(lacelog.Service, j.service), lacelog.P(lacelog.Account, j.account),
		lacelog.P(lacelog.Route, j.routeName()), lacelog.P(lacelog.AttemptNumber, j.history.sent),
		lacelog.P("begun_ms", a.writingFor().Milliseconds()), lacelog.P("settled", a.settled),
		lacelog.P("parts", lacequarantine.Format(j.call.Parts)))
}

// writingFor returns for how long the server has been writing events, zero if there was none.
func (a *attempt) writingFor() time.Duration {
	if a.firstEventAt.IsZero() {
		return 0
	}
	return time.Since(a.firstEventAt)
}

// recordProgress records that an event of the response has arrived, and reports whether the request is settled by it.
func (a *attempt) recordProgress(now time.Time) bool {
	if a.firstEventAt.IsZero() {
		a.firstEventAt = now
	}
	if a.settled || now.Sub(a.firstEventAt) < settledAge {
		return false
	}
	a.settled = true
	return true
}

// mayHaveLostServer reports whether an attempt may have ended because its server crashed. An answer without a length ends
// with its connection, which looks the same when the server crashes.
func (a *attempt) mayHaveLostServer() bool {
	return a.outcome == attemptBroken && a.connectionLost || a.outcome == attemptComplete && !a.framed
}

// provesServer reports whether the server has written a whole answer and was still there at its end, which the end of
// the connection alone does not show.
func (a *attempt) provesServer() bool {
	return a.outcome == attemptComplete && a.status < http.StatusMultipleChoices && a.framed
}

// hasCrashed reports whether an incarnation of a server that is not leaving refuses connections.
func (b *Backends) hasCrashed(ctx context.Context, id laceunit.ServerID, startTime int64) bool {
	b.mu.Lock()
	x, ok := b.byID[id]
	b.mu.Unlock()
	if !ok || x.StartTime != startTime || x.Leaving || b.picker.IsLeaving(id, startTime) {
		return false
	}
	probeCtx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	return x.probe.run(time.Now(), func() bool { return x.pool.RefusesConnections(probeCtx) })
}
