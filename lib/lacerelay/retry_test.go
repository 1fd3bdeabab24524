package lacerelay

import (
	"testing"
	"time"

	"lacewingcove/lib/lacequota"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

// Guards against a non-idempotent request that runs twice, a "not run" error for a request that may have run, and a
// usable response that is discarded.
func TestNextAction(t *testing.T) {
	once := &laceroute.Route{MaxAttempts: 1}
	nonIdempotent := &laceroute.Route{
		MaxAttempts: 2,
		RetryMode:   laceroute.AtMostOnce,
	}
	idempotent := &laceroute.Route{
		MaxAttempts: 2,
		RetryMode:   laceroute.Idempotent,
	}
	first, ran, second := attemptHistory{sent: 1}, attemptHistory{sent: 1, mayHaveRun: true},
		attemptHistory{sent: 2, mayHaveRun: true}
	notResumable := attemptHistory{sent: 1, mayHaveRun: true, notResumable: true}
	for name, c := range map[string]struct {
		route       *laceroute.Route
		history     attemptHistory
		outcome     attemptOutcome
		status      int
		budgetSpent bool
		want        action
	}{
		"success": {
			route: once, history: ran, outcome: attemptComplete, status: 200, want: actionDeliver,
		},
		"500, not idempotent": {
			route: once, history: ran, outcome: attemptComplete, status: 500, want: actionDeliver,
		},
		"500, idempotent": {
			route: idempotent, history: ran, outcome: attemptComplete, status: 500, want: actionRetry,
		},
		"500 of the last attempt": {
			route: idempotent, history: second, outcome: attemptComplete, status: 500, want: actionDeliver,
		},
		"500 without retry budget": {
			route: idempotent, history: ran, outcome: attemptComplete, status: 500, budgetSpent: true,
			want: actionDeliver,
		},
		"503 without not-run statement": {
			route: once, history: ran, outcome: attemptComplete, status: 503, want: actionFail,
		},
		"503, idempotent": {
			route: idempotent, history: ran, outcome: attemptComplete, status: 503, want: actionRetry,
		},
		"503 of the last attempt": {
			route: idempotent, history: second, outcome: attemptComplete, status: 503, want: actionFail,
		},
		"not run, no attempts left": {
			route: once, history: first, outcome: attemptNotRun, status: 503, want: actionRefuse,
		},
		"not run, attempts left": {
			route: nonIdempotent, history: first, outcome: attemptNotRun, status: 503, want: actionRetry,
		},
		"not run, ran before": {
			route: idempotent, history: second, outcome: attemptNotRun, status: 503, want: actionFail,
		},
		"broken, not idempotent": {
			route: nonIdempotent, history: first, outcome: attemptBroken, want: actionFail,
		},
		"broken, idempotent":  {route: idempotent, history: ran, outcome: attemptBroken, want: actionRetry},
		"stalled, idempotent": {route: idempotent, history: ran, outcome: attemptStalled, want: actionRetry},
		"stalled without retry budget": {
			route: idempotent, history: ran, outcome: attemptStalled, budgetSpent: true, want: actionFail,
		},
		"one server unreachable": {
			route: once, history: attemptHistory{notSent: 1}, outcome: attemptNotSent, want: actionRetry,
		},
		"truncated after event without id": {
			route: idempotent, history: notResumable, outcome: attemptBroken, want: actionFail,
		},
		"complete after event without id": {
			route: idempotent, history: notResumable, outcome: attemptComplete, status: 200,
			want: actionDeliver,
		},
		"all servers unreachable": {
			route: once, history: attemptHistory{notSent: maxNotSent}, outcome: attemptNotSent,
			want: actionRefuse,
		},
		"all unreachable, ran before": {
			route: idempotent, history: attemptHistory{notSent: maxNotSent, mayHaveRun: true},
			outcome: attemptNotSent, want: actionFail,
		},
		"deadline exceeded": {route: idempotent, history: ran, outcome: attemptTimedOut, want: actionFail},
		"caller gone":       {route: idempotent, history: ran, outcome: attemptCallerGone, want: actionFail},
		"421 without not-run statement": {
			route: once, history: ran, outcome: attemptComplete, status: 421, want: actionFail,
		},
		"404 from the server": {
			route: idempotent, history: ran, outcome: attemptComplete, status: 404, want: actionDeliver,
		},
		"429 without not-run statement": {
			route: once, history: ran, outcome: attemptComplete, status: 429, want: actionFail,
		},
	} {
		if got := nextAction(c.route, c.history, c.outcome, c.status,
			func() bool { return !c.budgetSpent }); got != c.want {
			t.Errorf("%s: action %d, want %d", name, got, c.want)
		}
	}
}

// Guards against a Retry-After with which callers retry at this instance before it can have tokens of their account.
func TestBudgetRetryAfter(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		state lacequota.State
		want  time.Duration
	}{
		"held by other instances": {
			state: lacequota.State{UsedElsewhere: true, UpdatedAt: now.Add(-time.Minute)},
			want:  otherInstanceRetryAfter,
		},
		"store is up":   {state: lacequota.State{UpdatedAt: now}, want: rebalanceRetryAfter},
		"store is down": {state: lacequota.State{UpdatedAt: now.Add(-time.Minute)}, want: storeDownRetryAfter},
	} {
		if got := budgetRetryAfter(c.state); got != c.want {
			t.Errorf("%s: Retry-After %s, want %s", name, got, c.want)
		}
	}
}

// Guards against a response timeout that is too short for the server, or leaves no time for a retry before the
// deadline.
func TestResponseTimeout(t *testing.T) {
	for _, c := range []struct{ goal, remaining, want time.Duration }{
		{goal: time.Second, remaining: 15 * time.Second, want: 1500 * time.Millisecond},
		{goal: 2 * time.Second, remaining: 3 * time.Second, want: 1800 * time.Millisecond},
		{goal: 100 * time.Millisecond, remaining: time.Second, want: minResponseTimeout},
	} {
		if got := responseTimeout(&laceroute.Route{LatencyObjective: c.goal}, c.remaining); got != c.want {
			t.Errorf("objective %s, %s remaining: timeout %s, want %s", c.goal, c.remaining, got, c.want)
		}
	}
}

// Guards against charging a prompt twice, and against charging for a response that the caller did not receive.
func TestConsumedTokens(t *testing.T) {
	call := Call{
		Input:     1000,
		MaxOutput: 60,
	}
	resumed := call
	resumed.LastEventID = "4"
	for name, c := range map[string]struct {
		job  job
		want laceunit.Tokens
	}{
		"no response": {
			job: job{call: call, tokensPerEvent: 6, history: attemptHistory{mayHaveRun: true}}, want: 0,
		},
		"part of a stream":      {job: job{call: call, tokensPerEvent: 6, response: response{events: 3}}, want: 1018},
		"more than the maximum": {job: job{call: call, tokensPerEvent: 6, response: response{events: 30}}, want: 1060},
		"resumed stream":        {job: job{call: resumed, tokensPerEvent: 6, response: response{events: 3}}, want: 18},
	} {
		if got := c.job.consumedTokens(); got != c.want {
			t.Errorf("%s: %d tokens, want %d", name, got, c.want)
		}
	}
}
