package lacerelay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacequarantine"
)

const (
	// crashProbeTimeout bounds the probe that tells a crash from a reset connection. A machine without a listener refuses
	// at once; one that does not answer is cut off, which is no crash.
	crashProbeTimeout = 150 * time.Millisecond
	// endProbeTimeout bounds the probe after an answer without a length, which without a result counts as truncated. It
	// leaves room for packets that queue on a busy link.
	endProbeTimeout = 500 * time.Millisecond
	// maxWitnesses is how many other servers are probed to tell a crash from a cut.
	maxWitnesses = 3
	// settledAge is how long a server must go on writing a response until the request counts as harmless. A part that
	// crashes servers does so when the response begins.
	settledAge = 500 * time.Millisecond
)

// observeServer records whether the server of an attempt was there after it had written its answer, which is the evidence
// for and against the parts of a prompt, and whether an answer without a length is complete.
func (r *Relay) observeServer(ctx context.Context, j *job, d lacebalancer.Decision, a *attempt) {
	if a.provesServer() {
		r.reportSuccess(j)
		return
	}
	if !a.mayHaveLostServer() || a.outcome != attemptComplete && len(j.call.Parts) == 0 {
		return
	}
	timeout := crashProbeTimeout
	if a.outcome == attemptComplete {
		timeout = endProbeTimeout
	}
	presence := r.options.Backends.probe(ctx, a.backend, timeout)
	if a.outcome == attemptComplete {
		if presence == laceconn.Present {
			if a.status < http.StatusMultipleChoices && a.hasContent() {
				r.reportSuccess(j)
			}
			return
		}
		a.outcome, a.reason = interruptionOutcome(ctx), "server was gone after an answer without a length"
		a.connectionLost = true
	}
	if presence != laceconn.Refusing || !r.options.Backends.inUse(a.backend) {
		return
	}
	if !a.settled {
		r.reportCrash(j, d.Server, a.backend.StartTime)
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

// hasContent reports whether a part of the body has arrived.
func (a *attempt) hasContent() bool { return len(a.body) > 0 || !a.firstEventAt.IsZero() }

// probe reports whether a server listens. Nothing is known if another process has its address or id meanwhile.
func (b *Backends) probe(ctx context.Context, x *backend, timeout time.Duration) laceconn.Presence {
	if x == nil || b.isReplaced(x) {
		return laceconn.PresenceUnknown
	}
	probeCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	presence := x.probe.run(time.Now(), func() laceconn.Presence { return b.presence(probeCtx, x) })
	if presence == laceconn.Present && b.isReplaced(x) {
		return laceconn.PresenceUnknown
	}
	return presence
}

// presence probes a server. That it refuses connections is no sign of a crash if no other server can be reached either: the
// instance may be cut off from all.
func (b *Backends) presence(ctx context.Context, x *backend) laceconn.Presence {
	presence := x.pool.Probe(ctx)
	if presence != laceconn.Refusing {
		return presence
	}
	others := slices.DeleteFunc(b.probeTargets(), func(o *backend) bool { return o.ID == x.ID })
	if len(others) == 0 {
		return presence
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if probeAll(ctx, others[:min(len(others), maxWitnesses)]).Answered == 0 {
		return laceconn.PresenceUnknown
	}
	return presence
}

// isReplaced reports whether a later process has the id or the address of a server.
func (b *Backends) isReplaced(x *backend) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current, ok := b.byID[x.ID]
	return ok && (current.StartTime != x.StartTime || current.superseded)
}

// inUse reports whether a server is registered and not leaving. One that leaves closes its listener by plan.
func (b *Backends) inUse(x *backend) bool {
	b.mu.Lock()
	current, ok := b.byID[x.ID]
	b.mu.Unlock()
	return ok && current.StartTime == x.StartTime && !current.superseded && !current.Leaving && !b.picker.IsLeaving(x.ID, x.StartTime)
}
