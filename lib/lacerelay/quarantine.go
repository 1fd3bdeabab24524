package lacerelay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacequarantine"
	"lacewingcove/lib/laceunit"
)

const (
	// quarantineRetryAfter is the Retry-After of a request whose prompt crashes servers. It will be refused until an
	// operator, or an answer to another request, lifts the verdict.
	quarantineRetryAfter = 30 * time.Second
	// provisionalRetryAfter is the Retry-After while the verdict is new: if it is wrong, an instance that knows better
	// relaxes it soon.
	provisionalRetryAfter = time.Second
)

// errQuarantined means that an attempt was aborted because its request was found to crash servers.
var errQuarantined = errors.New("relay: a part of the prompt crashes servers")

// Quarantine decides which requests may reach a server, by the shared parts of their prompts.
type Quarantine interface {
	// Blocked returns the verdict that refuses a request with these parts, if there is one.
	Blocked(parts []lacequarantine.Part) (lacequarantine.Verdict, bool)
	// Track calls abort when a verdict on a request's parts is reached; the returned function ends that.
	Track(parts []lacequarantine.Part, abort func()) (stop func())
	// ReportSuccess records that a server has written an answer to a request.
	ReportSuccess(parts []lacequarantine.Part)
	// ReportCrash records that a server crashed before it had written an answer to a request, and reports whether the
	// request may be sent to another server.
	ReportCrash(server laceunit.ServerID, startTime int64, parts []lacequarantine.Part) bool
}

var _ Quarantine = (*lacequarantine.Service)(nil)

// quarantineFault returns the refusal of a request whose prompt is blocked, or nil. If the request has been sent before,
// it may have run.
func (r *Relay) quarantineFault(j *job) *lacefault.Fault {
	if r.options.Quarantine == nil || len(j.call.Parts) == 0 {
		return nil
	}
	v, blocked := r.options.Quarantine.Blocked(j.call.Parts)
	if !blocked {
		return nil
	}
	j.refusalFields = []lacelog.Pair{lacelog.P("verdict", v.ID), lacelog.P("parts", lacequarantine.Format(v.Parts))}
	after := quarantineRetryAfter
	if v.Provisional(time.Now()) {
		after = provisionalRetryAfter
	}
	f := newRefusal(lacefault.PromptQuarantined, "a part of the prompt crashes backend servers", after)
	if j.history.correctOutcome(f) {
		f.RetryAfter = 0
	}
	return f
}

// trackAttempt returns a context for the next attempt that ends when the prompt is blocked before the first event has
// arrived. untrack keeps a later verdict from ending the context; cancel ends it.
func (r *Relay) trackAttempt(ctx context.Context, j *job) (attemptCtx context.Context, untrack, cancel func()) {
	if r.options.Quarantine == nil || len(j.call.Parts) == 0 {
		return ctx, func() {}, func() {}
	}
	attemptCtx, cancelCause := context.WithCancelCause(ctx)
	untrack = r.options.Quarantine.Track(j.call.Parts, func() { cancelCause(errQuarantined) })
	return attemptCtx, untrack, func() {
		untrack()
		cancelCause(nil)
	}
}

// reportSuccess records that the server has written an answer to the request.
func (r *Relay) reportSuccess(j *job) {
	if r.options.Quarantine != nil && len(j.call.Parts) > 0 {
		r.options.Quarantine.ReportSuccess(j.call.Parts)
	}
}

// reportCrash records that a server crashed before it had written an answer to the request.
func (r *Relay) reportCrash(j *job, server laceunit.ServerID, startTime int64) {
	if r.options.Quarantine != nil && len(j.call.Parts) > 0 {
		j.history.suspect = !r.options.Quarantine.ReportCrash(server, startTime, j.call.Parts)
	}
}
