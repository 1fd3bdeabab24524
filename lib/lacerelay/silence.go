package lacerelay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacelimit"
	"lacewingcove/lib/laceroute"
)

// errSilent means that a server was given up because it told nothing for too long.
var errSilent = errors.New("relay: server is silent")

const (
	// answerGoals is how many times the response-time objective a repeatable request waits for the first sign of its
	// answer before it goes to another server.
	answerGoals = 1.5
	// leastAnswer bounds that for routes with a short objective; servers need it for their longest calls.
	leastAnswer = 300 * time.Millisecond
	// mostAnswer is the part of the time left that the first server may use up in silence.
	mostAnswer = 0.6
	// gapGoals is how many times the longest pause on time a resumable stream waits for its next event.
	gapGoals = 3
	// defaultGap stands for a route that names no longest pause.
	defaultGap = time.Second
)

// silence gives an attempt up that makes no progress. A server's silence ends only what may run elsewhere.
type silence struct {
	timer *time.Timer
	gap   time.Duration
}

// answerLimit is how long a request may wait for the first sign of its answer.
func answerLimit(route *laceroute.Route, left time.Duration) time.Duration {
	limit := max(time.Duration(answerGoals*float64(route.LatencyObjective)), leastAnswer)
	return min(limit, time.Duration(mostAnswer*float64(left)))
}

// watch returns a context for the next attempt, which ends when the server tells nothing for too long and the request
// can go elsewhere.
func (r *Relay) watch(ctx context.Context, j *job) (context.Context, *silence, context.CancelFunc) {
	inner, cancel := context.WithCancelCause(ctx)
	stop := func() { cancel(nil) }
	if !repeatable(j.route) || j.progress.sends+1 >= j.route.MaxAttempts {
		return inner, &silence{}, stop
	}
	gap := j.route.MaxEventGap
	if gap <= 0 {
		gap = defaultGap
	}
	s := &silence{gap: gapGoals * gap}
	s.timer = time.AfterFunc(answerLimit(j.route, time.Until(j.deadline)), func() {
		if r.retry(j.service, func(b *lacelimit.RetryBudget) bool { return b.Covers(time.Now(), r.options.Members()) }) {
			cancel(errSilent)
		}
	})
	return inner, s, func() {
		s.timer.Stop()
		stop()
	}
}

// progress notes that an event has arrived.
func (s *silence) progress() {
	if s.timer != nil {
		s.timer.Reset(s.gap)
	}
}
