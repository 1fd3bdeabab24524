package lacerelay

import (
	"net/http"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceroute"
)

// attemptOutcome is how an attempt ended.
type attemptOutcome int

const (
	// attemptComplete means that the server sent a complete response.
	attemptComplete attemptOutcome = iota + 1
	// attemptNotSent means that nothing of the request was sent to the server.
	attemptNotSent
	// attemptNotRun means that the server stated that it did not run the request.
	attemptNotRun
	// attemptBroken means that the response is missing, truncated or belongs to another request; the request may have
	// run.
	attemptBroken
	// attemptStalled means that the attempt was aborted because the server made no progress for too long.
	attemptStalled
	// attemptTimedOut means that the deadline of the request expired before the response was complete.
	attemptTimedOut
	// attemptCallerGone means that the caller canceled the request or disconnected.
	attemptCallerGone
	// attemptBlocked means that the attempt was aborted because a part of the prompt crashes servers.
	attemptBlocked
	// attemptStopped means that the attempt was aborted because the instance stops.
	attemptStopped
	// attemptIsolated means that the attempt was aborted because the instance reaches no server.
	attemptIsolated
)

// String returns the outcome as it appears in logs and metrics.
func (o attemptOutcome) String() string {
	return [...]string{
		"", "whole", "not_sent", "not_run", "broken", "silent", "late", "caller_left", "blocked", "stopped", "isolated",
	}[o]
}

// action is the next step after an attempt.
type action int

const (
	// actionDeliver forwards the server's response.
	actionDeliver action = iota + 1
	// actionRetry retries the request at another server.
	actionRetry
	// actionRefuse responds with an error that states that the request did not run.
	actionRefuse
	// actionFail responds with an error that states that the request may have run.
	actionFail
)

// maxNotSent limits how many attempts of a request may end without being sent, mostly since the server is unreachable.
const maxNotSent = 3

// maxDelayed limits how many further attempts may end because the instance's own link delayed the handshake. Each takes
// up to half of the time that the request has left, so that more of them would leave no time for a response.
const maxDelayed = 3

// attemptHistory summarizes the attempts of a request so far.
type attemptHistory struct {
	// sent counts the attempts that were sent to a server, notSent those that were not, apart from revoked and delayed
	// ones.
	sent    int
	notSent int
	// delayed counts the attempts whose handshake was delayed by the instance's own link, up to maxDelayed.
	delayed int
	// mayHaveRun is true when a server may have run the request in one of the attempts.
	mayHaveRun bool
	// notResumable is true when no other server can resume the stream, since its latest event has no id.
	notResumable bool
	// suspect is true when a server crashed on the request, and a part of its prompt was in an earlier crash.
	suspect bool
}

// correctOutcome changes a refusal to a failure if a server may have run the request in an earlier attempt, and reports
// whether it has.
func (h attemptHistory) correctOutcome(f *lacefault.Fault) bool {
	if h.mayHaveRun {
		f.Outcome, f.Code = lacefault.Unknown, lacefault.BackendServerFailed
	}
	return h.mayHaveRun
}

// nextAction returns the next step after an attempt, given its outcome and HTTP status. It calls takeRetry, which
// consumes retry budget, only if the request would be retried.
func nextAction(
	route *laceroute.Route, history attemptHistory, outcome attemptOutcome, status int, takeRetry func() bool,
) action {
	if history.notResumable && outcome != attemptComplete {
		return actionFail
	}
	finalAction := actionRefuse
	if history.mayHaveRun {
		finalAction = actionFail
	}
	switch outcome {
	case attemptComplete:
		if !impliesNotRun(status) && (status < http.StatusInternalServerError || !retrySafe(route)) {
			return actionDeliver
		}
		if retrySafe(route) && history.sent < route.MaxAttempts && takeRetry() {
			return actionRetry
		}
		if impliesNotRun(status) {
			return actionFail
		}
		return actionDeliver
	case attemptNotSent:
		if history.notSent < maxNotSent {
			return actionRetry
		}
		return finalAction
	case attemptNotRun:
		if history.sent < route.MaxAttempts && takeRetry() {
			return actionRetry
		}
		return finalAction
	case attemptBroken, attemptStalled:
		if !history.suspect && retrySafe(route) && history.sent < route.MaxAttempts && takeRetry() {
			return actionRetry
		}
		return actionFail
	default:
		return actionFail
	}
}

// retrySafe reports whether a request that may have run can be retried.
func retrySafe(route *laceroute.Route) bool { return route.RetryMode != laceroute.AtMostOnce }

// impliesNotRun reports whether a status tells the caller that its request did not run. Such a response can't be
// forwarded when the server accepted the request and did not state explicitly that it did not run it.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}
