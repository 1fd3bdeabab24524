package lacelimit

import "time"

const (
	// retrySteps divides the window of a retry budget; the oldest step leaves as a whole.
	retrySteps = 20
	// retryMargin is kept unused of the shared slack: instances count windows that begin at different moments, and a
	// restarted one has forgotten what it sent.
	retryMargin = 0.3
)

// RetryBudget bounds what the instances of a fleet send beyond the first time, without asking each other. In any window
// all of them together may send Ratio of the requests plus Slack again; each takes the ratio of its own requests and
// its share of the slack.
type RetryBudget struct {
	Window time.Duration
	Ratio  float64
	Slack  float64

	started time.Time
	steps   [retrySteps]retryStep
}

type retryStep struct {
	number   int64
	requests int
	repeats  int
}

// Request counts a request that is sent for the first time.
func (r *RetryBudget) Request(now time.Time) { r.step(now).requests++ }

// Allow counts a repetition if the budget of one of the members covers it.
func (r *RetryBudget) Allow(now time.Time, members int) bool {
	if !r.Covers(now, members) {
		return false
	}
	r.step(now).repeats++
	return true
}

// Covers reports whether the budget of one of the members covers a repetition.
func (r *RetryBudget) Covers(now time.Time, members int) bool {
	requests, repeats := r.Load(now)
	most := r.Ratio*float64(requests) + (1-retryMargin)*r.Slack/float64(max(members, 1))
	return float64(repeats+1) <= most
}

// Load returns the requests and repetitions within the window.
func (r *RetryBudget) Load(now time.Time) (requests, repeats int) {
	last := r.number(now)
	for _, s := range r.steps {
		if s.number > last-retrySteps && s.number <= last {
			requests += s.requests
			repeats += s.repeats
		}
	}
	return requests, repeats
}

func (r *RetryBudget) number(now time.Time) int64 {
	if r.started.IsZero() {
		r.started = now
	}
	return int64(now.Sub(r.started)/max(r.Window/retrySteps, time.Millisecond)) + 1
}

func (r *RetryBudget) step(now time.Time) *retryStep {
	n := r.number(now)
	s := &r.steps[n%retrySteps]
	if s.number != n {
		*s = retryStep{number: n}
	}
	return s
}
