package lacesoak

import (
	"net/http"
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
	"lacewingcove/platform/lacestage"
)

// propagationLimit is how long after the store's acknowledgement a configuration change may take to be in effect at
// each instance that can reach the store.
const propagationLimit = 3 * time.Second

// checkPropagation looks for requests that the instance behind the slow link handled with an outdated configuration. It
// uses the time at which the caller sent a request, so that the delay of the link does not count.
func (c *checker) checkPropagation() {
	for _, x := range c.changes {
		deadline := c.propagationDeadline(x.acknowledged)
		var late []*response
		for i := range c.responses {
			if a := &c.responses[i]; a.Instance == instanceID(c.slowLink.index) && a.Sent.After(deadline) &&
				c.isOutdated(x, a) {
				late = append(late, a)
			}
		}
		if len(late) == 0 {
			continue
		}
		var attempts []laceunit.AttemptID
		for _, a := range late {
			attempts = append(attempts, a.Attempt)
		}
		first, last := late[0], late[0]
		for _, a := range late {
			if a.Sent.Before(first.Sent) {
				first = a
			}
			if a.Sent.After(last.Sent) {
				last = a
			}
		}
		c.addViolation(guaranteePropagation, attempts,
			"%s: %d requests handled without it at %s, sent %s to %s after the store's acknowledgement; %s is allowed",
			x.description, len(late), first.Instance, first.Sent.Sub(x.acknowledged).Round(time.Millisecond),
			last.Sent.Sub(x.acknowledged).Round(time.Millisecond), deadline.Sub(x.acknowledged).Round(time.Millisecond))
	}
}

// isOutdated reports whether an attempt was handled without a change in effect.
func (c *checker) isOutdated(x change, a *response) bool {
	ran := slices.ContainsFunc(c.recordsByAttempt[a.Attempt],
		func(r *lacestage.RequestRecord) bool { return r.Outcome.Executed() })
	switch {
	case x.revokedKey != "":
		return a.apiKey == x.revokedKey && ran
	case x.removedRoute != "":
		return a.route == x.removedRoute && ran
	}
	removed := slices.ContainsFunc(c.changes, func(y change) bool {
		return y.removedRoute == a.route && y.acknowledged.Before(a.Ended)
	})
	return a.Status == http.StatusNotFound && slices.Contains(x.addedRoutes, a.route) && !removed
}

// propagationDeadline returns when a change that was acknowledged at a time has to be in effect. If the store is
// unavailable or slow for the instance, or the instance itself is down, the deadline is postponed until recoveryLimit
// after the end of that.
func (c *checker) propagationDeadline(acknowledged time.Time) time.Time {
	deadline := acknowledged.Add(propagationLimit)
	for i := range c.injections {
		// Injections are sorted by their planned start.
		d := &c.injections[i]
		affects := d.target == targetStore &&
			(d.kind != eventPartialStoreOutage || slices.Contains(d.isolated, c.slowLink.index)) ||
			d.target == targetInstance && d.index == c.slowLink.index
		if end := d.effectEnd().Add(recoveryLimit); affects && d.started.Before(deadline) &&
			d.effectEnd().After(acknowledged) && end.After(deadline) {
			deadline = end
		}
	}
	return deadline
}

// checkRetryAfter looks for temporary rejections without Retry-After by the instance behind the slow link.
func (c *checker) checkRetryAfter() {
	if c.slowLink == nil {
		return
	}
	var attempts []laceunit.AttemptID
	for i := range c.responses {
		a := &c.responses[i]
		if a.isTemporarilyRejected() && a.Complete && a.Instance == instanceID(c.slowLink.index) && a.RetryAfter <= 0 {
			attempts = append(attempts, a.Attempt)
		}
	}
	if len(attempts) > 0 {
		c.addViolation(guaranteeRetryAfter, attempts,
			"%s rejected %d requests without Retry-After", instanceID(c.slowLink.index), len(attempts))
	}
}

// isTemporarilyRejected reports whether an attempt was rejected with a status that asks the caller to retry later.
func (a *response) isTemporarilyRejected() bool {
	return a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
}

// rejectionLatencies returns how long callers on the machine behind the slow link waited for the rejection of requests
// that no server received. They are only reported and not checked: a request may have been queued for a server, which
// callers can't observe.
func (r *record) rejectionLatencies() []time.Duration {
	reached := map[laceunit.AttemptID]bool{}
	for i := range r.serverRecords {
		reached[r.serverRecords[i].Attempt] = true
	}
	var latencies []time.Duration
	for i := range r.responses {
		if a := &r.responses[i]; a.local && a.isTemporarilyRejected() && !reached[a.Attempt] {
			latencies = append(latencies, a.Ended.Sub(a.Sent))
		}
	}
	return latencies
}
