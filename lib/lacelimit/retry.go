package lacelimit

import "time"

const (
	// retryBuckets is the number of buckets of the sliding window of a retry budget; the oldest bucket expires as a whole.
	retryBuckets = 20
	// slackMargin is the fraction of the shared slack that is kept unused: the windows of the instances begin at different
	// times, and an instance that restarts has lost its counts.
	slackMargin = 0.3
)

// RetryBudget bounds the retries of all instances of a fleet without coordination between them. In any window, all
// instances together may retry Ratio times the number of requests plus Slack; each uses the ratio of its own requests
// and its share of the slack.
type RetryBudget struct {
	Window time.Duration
	Ratio  float64
	Slack  float64

	started time.Time
	buckets [retryBuckets]retryBucket
}

type retryBucket struct {
	index    int64
	requests int
	retries  int
}

// Request counts the first attempt of a request.
func (r *RetryBudget) Request(now time.Time) { r.bucket(now).requests++ }

// Allow counts a retry and returns true if the budget covers it for one instance in a fleet of a number of members.
func (r *RetryBudget) Allow(now time.Time, members int) bool {
	if !r.Covers(now, members) {
		return false
	}
	r.bucket(now).retries++
	return true
}

// Covers reports whether the budget covers another retry for one instance in a fleet of a number of members.
func (r *RetryBudget) Covers(now time.Time, members int) bool {
	requests, retries := r.Load(now)
	allowed := r.Ratio*float64(requests) + (1-slackMargin)*r.Slack/float64(max(members, 1))
	return float64(retries+1) <= allowed
}

// Load returns the numbers of requests and retries within the window.
func (r *RetryBudget) Load(now time.Time) (requests, retries int) {
	current := r.bucketIndex(now)
	for _, s := range r.buckets {
		if s.index > current-retryBuckets && s.index <= current {
			requests += s.requests
			retries += s.retries
		}
	}
	return requests, retries
}

// bucketIndex returns the number of the bucket that covers a time, counted from the first use of the budget.
func (r *RetryBudget) bucketIndex(now time.Time) int64 {
	if r.started.IsZero() {
		r.started = now
	}
	return int64(now.Sub(r.started)/max(r.Window/retryBuckets, time.Millisecond)) + 1
}

// bucket returns the current bucket and resets it if it holds counts of an earlier window.
func (r *RetryBudget) bucket(now time.Time) *retryBucket {
	n := r.bucketIndex(now)
	s := &r.buckets[n%retryBuckets]
	if s.index != n {
		*s = retryBucket{index: n}
	}
	return s
}
