package lacesoak

import (
	"net/http"
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
	"lacewingcove/platform/lacestage"
)

// forceWithin is how long after the store's acknowledgement a change is in force at each instance that reaches the store.
const forceWithin = 3 * time.Second

// inForce looks for requests at the instance behind the narrow link that an outdated configuration decided. They count from
// when their caller sent them, so that the link's own delay is no matter.
func (c *checker) inForce() {
	for _, x := range c.changes {
		due := c.due(x.at)
		var late []*answer
		for i := range c.answers {
			if a := &c.answers[i]; a.Instance == instanceID(c.narrow.number) && a.Sent.After(due) && c.outdated(x, a) {
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
		c.add(promiseForce, attempts, "%s: %d requests were decided without it at %s, sent between %s and %s after the store's acknowledgement; %s is allowed",
			x.what, len(late), first.Instance, first.Sent.Sub(x.at).Round(time.Millisecond), last.Sent.Sub(x.at).Round(time.Millisecond),
			due.Sub(x.at).Round(time.Millisecond))
	}
}

// outdated reports whether an attempt was decided without a change.
func (c *checker) outdated(x change, a *answer) bool {
	ran := slices.ContainsFunc(c.ran[a.Attempt], func(r *lacestage.RequestRecord) bool { return r.Outcome.Executed() })
	switch {
	case x.key != "":
		return a.key == x.key && ran
	case x.gone != "":
		return a.route == x.gone && ran
	}
	removed := slices.ContainsFunc(c.changes, func(y change) bool { return y.gone == a.route && y.at.Before(a.Ended) })
	return a.Status == http.StatusNotFound && slices.Contains(x.added, a.route) && !removed
}

// due returns when a change has to be in force. A time in which the store is away or slow for the instance, or the instance
// itself is away, puts that off until serveWithin after its end.
func (c *checker) due(at time.Time) time.Time {
	due := at.Add(forceWithin)
	for i := range c.deeds {
		// They stand in the order of their beginnings.
		d := &c.deeds[i]
		meets := d.target == theStore && (d.kind != apart || slices.Contains(d.apart, c.narrow.number)) ||
			d.target == anInstance && d.number == c.narrow.number
		if until := d.over().Add(serveWithin); meets && d.began.Before(due) && d.over().After(at) && until.After(due) {
			due = until
		}
	}
	return due
}

// retrying looks for refusals of the instance behind the narrow link that don't tell when to come again.
func (c *checker) retrying() {
	if c.narrow == nil {
		return
	}
	var silent []laceunit.AttemptID
	for i := range c.answers {
		a := &c.answers[i]
		if a.busy() && a.Complete && a.Instance == instanceID(c.narrow.number) && a.RetryAfter <= 0 {
			silent = append(silent, a.Attempt)
		}
	}
	if len(silent) > 0 {
		c.add(promiseRetry, silent, "%s refused %d requests without a Retry-After", instanceID(c.narrow.number), len(silent))
	}
}

// busy reports whether an attempt was refused for a time.
func (a *answer) busy() bool {
	return a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
}

// refusals returns how long callers on the machine behind the narrow link waited for refusals of requests that no server got.
// They are no promise: a request may have waited for a server, which can't be told from outside.
func (r *record) refusals() []time.Duration {
	reached := map[laceunit.AttemptID]bool{}
	for i := range r.runs {
		reached[r.runs[i].Attempt] = true
	}
	var took []time.Duration
	for i := range r.answers {
		if a := &r.answers[i]; a.local && a.busy() && !reached[a.Attempt] {
			took = append(took, a.Ended.Sub(a.Sent))
		}
	}
	return took
}
