package lacerelay

import (
	"testing"
	"time"

	"lacewingcove/lib/lacequota"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

// Guards against a request that runs twice, a refusal of one that may have run, and an answer that is thrown away.
func TestVerdicts(t *testing.T) {
	once := &laceroute.Route{MaxAttempts: 1}
	twice := &laceroute.Route{
		MaxAttempts: 2,
		RetryMode:   laceroute.AtMostOnce,
	}
	lookup := &laceroute.Route{
		MaxAttempts: 2,
		RetryMode:   laceroute.Idempotent,
	}
	sent, ran, last := progress{sends: 1}, progress{sends: 1, ran: true}, progress{sends: 2, ran: true}
	stuck := progress{sends: 1, ran: true, stuck: true}
	for name, c := range map[string]struct {
		route  *laceroute.Route
		p      progress
		end    ending
		status int
		broke  bool
		want   action
	}{
		"success":                         {route: once, p: ran, end: whole, status: 200, want: deliver},
		"error of a call that ran":        {route: once, p: ran, end: whole, status: 500, want: deliver},
		"error of a lookup":               {route: lookup, p: ran, end: whole, status: 500, want: again},
		"last error of a lookup":          {route: lookup, p: last, end: whole, status: 500, want: deliver},
		"error without retry budget":      {route: lookup, p: ran, end: whole, status: 500, broke: true, want: deliver},
		"503 without a statement":         {route: once, p: ran, end: whole, status: 503, want: fail},
		"503 of a lookup":                 {route: lookup, p: ran, end: whole, status: 503, want: again},
		"last 503 of a lookup":            {route: lookup, p: last, end: whole, status: 503, want: fail},
		"refused call":                    {route: once, p: sent, end: notRun, status: 503, want: refuse},
		"refused call with another send":  {route: twice, p: sent, end: notRun, status: 503, want: again},
		"refused lookup that ran before":  {route: lookup, p: last, end: notRun, status: 503, want: fail},
		"broken call":                     {route: twice, p: sent, end: broken, want: fail},
		"broken lookup":                   {route: lookup, p: ran, end: broken, want: again},
		"silent lookup":                   {route: lookup, p: ran, end: silent, want: again},
		"silent lookup, no retry budget":  {route: lookup, p: ran, end: silent, broke: true, want: fail},
		"server out of reach":             {route: once, p: progress{misses: 1}, end: notSent, want: again},
		"cut behind an event without id":  {route: lookup, p: stuck, end: broken, want: fail},
		"whole behind one":                {route: lookup, p: stuck, end: whole, status: 200, want: deliver},
		"servers out of reach":            {route: once, p: progress{misses: notSentTries}, end: notSent, want: refuse},
		"out of reach after a first run":  {route: lookup, p: progress{misses: notSentTries, ran: true}, end: notSent, want: fail},
		"time over":                       {route: lookup, p: ran, end: late, want: fail},
		"caller left":                     {route: lookup, p: ran, end: left, want: fail},
		"misdirected lookup, no promise":  {route: once, p: ran, end: whole, status: 421, want: fail},
		"not found by the server":         {route: lookup, p: ran, end: whole, status: 404, want: deliver},
		"too many requests of the server": {route: once, p: ran, end: whole, status: 429, want: fail},
	} {
		if got := decide(c.route, c.p, c.end, c.status, func() bool { return !c.broke }); got != c.want {
			t.Errorf("%s: action %d, not %d", name, got, c.want)
		}
	}
}

// Guards against callers that are sent back to where their tokens can't be.
func TestBudgetRetryFollowsTheTokens(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		state lacequota.State
		want  time.Duration
	}{
		"used at other instances": {state: lacequota.State{UsedElsewhere: true, UpdatedAt: now.Add(-time.Minute)}, want: spreadRetry},
		"store answers":           {state: lacequota.State{UpdatedAt: now}, want: evenRetry},
		"store is away":           {state: lacequota.State{UpdatedAt: now.Add(-time.Minute)}, want: awayRetry},
	} {
		if got := budgetRetry(c.state); got != c.want {
			t.Errorf("%s: retry after %s, not %s", name, got, c.want)
		}
	}
}

// Guards against a server that is given up before it can answer, or only when nothing is left of the caller's time.
func TestAnswerLimit(t *testing.T) {
	for _, c := range []struct{ goal, left, want time.Duration }{
		{goal: time.Second, left: 15 * time.Second, want: 1500 * time.Millisecond},
		{goal: 2 * time.Second, left: 3 * time.Second, want: 1800 * time.Millisecond},
		{goal: 100 * time.Millisecond, left: time.Second, want: leastAnswer},
	} {
		if got := answerLimit(&laceroute.Route{LatencyObjective: c.goal}, c.left); got != c.want {
			t.Errorf("objective %s with %s left: %s, not %s", c.goal, c.left, got, c.want)
		}
	}
}

// Guards against a prompt that is paid for twice, and against a bill for an answer that did not arrive.
func TestConsumption(t *testing.T) {
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
		"nothing arrived":        {job: job{call: call, stride: 6, progress: progress{ran: true}}, want: 0},
		"part of a stream":       {job: job{call: call, stride: 6, response: response{events: 3}}, want: 1018},
		"more than was asked":    {job: job{call: call, stride: 6, response: response{events: 30}}, want: 1060},
		"stream that is resumed": {job: job{call: resumed, stride: 6, response: response{events: 3}}, want: 18},
	} {
		if got := c.job.consumed(); got != c.want {
			t.Errorf("%s: %d tokens, not %d", name, got, c.want)
		}
	}
}
