package lacesoak

import (
	"net/http"
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
	"lacewingcove/platform/lacestage"
)

const (
	// rollbackSlack is how long after a response that shows a change a request may still be handled without it.
	// slowedFactor applies to instances that were frozen meanwhile or are behind the slow link.
	rollbackSlack = 250 * time.Millisecond
	slowedFactor  = 8
	// chokedTime is how long after the overload of a slow link its instance counts as slowed.
	chokedTime = 5 * time.Second
)

// effect is what the handling of an attempt says about a change.
type effect int

const (
	effectUnknown effect = iota
	effectOutdated
	effectCurrent
)

// effectOf returns whether an attempt was handled as only a configuration with the change allows, or as only one without
// it. Routes and keys of the change are in no other change.
func (c *checker) effectOf(x observedChange, a *response) effect {
	switch {
	case a.route == addedObserved(x.number):
		switch {
		case c.ran(a):
			return effectCurrent
		case a.Status == http.StatusNotFound:
			return effectOutdated
		}
	case a.route == removedObserved(x.number):
		return c.effectOfRemoval(x, a, http.StatusNotFound)
	case a.apiKey == observedKey(x.number):
		return c.effectOfRemoval(x, a, http.StatusUnauthorized)
	}
	return effectUnknown
}

// effectOfRemoval is effectOf for a request that the change makes the instance reject with a status.
func (c *checker) effectOfRemoval(x observedChange, a *response, rejection int) effect {
	switch {
	case c.ran(a):
		return effectOutdated
	case a.Status == rejection && a.Sent.After(x.began):
		return effectCurrent
	}
	return effectUnknown
}

// ran reports whether a server may have begun to run an attempt.
func (c *checker) ran(a *response) bool {
	return slices.ContainsFunc(c.recordsByAttempt[a.Attempt],
		func(r *lacestage.RequestRecord) bool { return r.Outcome.Executed() })
}

// checkOutdated looks for requests that an instance handled without a change that had to be in effect, and without one
// that the same process had shown to be in effect before.
func (c *checker) checkOutdated() {
	byInstance := map[laceunit.InstanceID][]*response{}
	for i := range c.responses {
		a := &c.responses[i]
		byInstance[a.Instance] = append(byInstance[a.Instance], a)
	}
	for i := range c.instances {
		responses := byInstance[instanceID(i)]
		slices.SortFunc(responses, func(a, b *response) int { return a.Sent.Compare(b.Sent) })
		for _, x := range c.observed {
			c.checkLate(i, x, responses)
			c.checkRollback(i, x, responses)
		}
	}
}

// checkLate checks the bound for a change to be in effect at an instance. It holds while the instance is in touch.
func (c *checker) checkLate(instance int, x observedChange, responses []*response) {
	var late []*response
	for _, a := range responses {
		if a.Sent.After(x.acknowledged.Add(propagationLimit)) && c.inTouch(instance, a.Sent) &&
			c.effectOf(x, a) == effectOutdated {
			late = append(late, a)
		}
	}
	if len(late) > 0 {
		c.addViolation(guaranteePropagation, attempts(late),
			"change %d: %d requests handled without it at %s in touch, sent %s to %s after the store's acknowledgement; %s is allowed",
			x.number, len(late), instanceID(instance), late[0].Sent.Sub(x.acknowledged).Round(time.Millisecond),
			late[len(late)-1].Sent.Sub(x.acknowledged).Round(time.Millisecond), propagationLimit)
	}
}

// checkRollback checks that a process does not return to a configuration from before a change. The state of the store does
// not matter for this.
func (c *checker) checkRollback(instance int, x observedChange, responses []*response) {
	var seen *response
	var back []*response
	for _, a := range responses {
		if seen != nil && c.hadEvent(instanceID(instance), seen.Ended, a.Ended, eventStop, eventKill) {
			seen = nil
		}
		switch {
		case seen == nil && slices.ContainsFunc(c.observed, func(y observedChange) bool {
			return y.number >= x.number && c.effectOf(y, a) == effectCurrent
		}):
			seen = a
		case seen != nil && a.Sent.After(seen.Ended.Add(c.rollbackSlack(instance, seen.Sent, a.Ended))) &&
			c.effectOf(x, a) == effectOutdated:
			back = append(back, a)
		}
	}
	if len(back) > 0 {
		c.addViolation(guaranteePropagation, attempts(back),
			"change %d: %d requests handled without it at %s, whose process had shown it before, sent %s to %s after the "+
				"store's acknowledgement",
			x.number, len(back), instanceID(instance), back[0].Sent.Sub(x.acknowledged).Round(time.Millisecond),
			back[len(back)-1].Sent.Sub(x.acknowledged).Round(time.Millisecond))
	}
}

func (c *checker) rollbackSlack(instance int, from, to time.Time) time.Duration {
	if c.slowLink != nil && c.slowLink.index == instance || c.hadEvent(instanceID(instance), from, to, eventFreeze) {
		return slowedFactor * rollbackSlack
	}
	return rollbackSlack
}

// inTouch reports whether neither the store nor an instance had a fault within stableWindow before a time. Bounds in time
// hold only then.
func (c *checker) inTouch(instance int, at time.Time) bool {
	from := at.Add(-stableWindow)
	return c.storeStable(at) && !slices.ContainsFunc(c.injections, func(d injection) bool {
		end := d.effectEnd()
		switch {
		case d.kind == eventPartialStoreOutage && slices.Contains(d.isolated, instance):
		case d.target == targetInstance && d.kind != eventReload && d.index == instance:
		case d.kind == eventSlowLink && d.index == instance:
			// The event ends with its last change; the overload goes on.
			end = d.started.Add(d.length + chokedTime)
		default:
			return false
		}
		return d.started.Before(at) && end.After(from)
	})
}

// storeStable reports whether the store had no fault for all instances within stableWindow before a time. A restore ends
// when the operator has written again.
func (c *checker) storeStable(at time.Time) bool {
	from := at.Add(-stableWindow)
	return !slices.ContainsFunc(c.injections, func(d injection) bool {
		return (isStoreFault(d.event) || d.kind == eventStoreRestored) && d.started.Before(at) && d.effectEnd().After(from)
	})
}

// checkLeaving looks for requests that an instance in touch sent to a server more than the drain period after the store,
// while it was stable, had acknowledged that the server leaves. Requests that the server rejects as misdirected do not
// count.
func (c *checker) checkLeaving(p path, arrivals []arrival) {
	i := slices.IndexFunc(c.leavings[p.server], c.storeStable)
	if i < 0 {
		return
	}
	acknowledged := c.leavings[p.server][i]
	var late []*response
	for _, x := range arrivals {
		if x.Outcome != lacestage.Misdirected && x.caller.Sent.After(acknowledged.Add(drainPeriod)) &&
			c.inTouch(c.indexOf(p.instance), x.caller.Sent) {
			late = append(late, x.caller)
		}
	}
	if len(late) > 0 {
		c.addViolation(guaranteeDrain, attempts(late),
			"%s in touch sent %d requests to %s, the first %s after the store acknowledged that it leaves; %s is allowed",
			p.instance, len(late), p.server, late[0].Sent.Sub(acknowledged).Round(time.Millisecond), drainPeriod)
	}
}

// indexOf returns the index of an instance.
func (c *checker) indexOf(id laceunit.InstanceID) int {
	for i := range c.instances {
		if instanceID(i) == id {
			return i
		}
	}
	return -1
}

func attempts(responses []*response) []laceunit.AttemptID {
	var ids []laceunit.AttemptID
	for _, a := range responses {
		ids = append(ids, a.Attempt)
	}
	return ids
}
