package lacesoak

import (
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// limitSettleTime is how long after a server first announced a rate limit the instances have to comply with it,
	// limitWindow the time over which its requests are counted.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	// limitReaction is how long after a response with a rate limit an instance may ignore it.
	limitReaction = 500 * time.Millisecond
	// limitFactor and limitExtra are the tolerance above the limit.
	limitFactor = 1.5
	limitExtra  = 5
	// maxRateLimit is the highest rate limit that a server announces, in requests per second.
	maxRateLimit = 4
)

// limitPeriod identifies a period in which a server announces one rate limit.
type limitPeriod struct {
	server laceunit.ServerID
	since  time.Time
	limit  laceunit.Rate
}

// checkRateLimits looks for servers that received more than their rate limit from the instances that knew it.
func (c *checker) checkRateLimits(byPath map[path][]arrival) {
	counted := map[limitPeriod][]arrival{}
	for p, arrivals := range byPath {
		c.collectLimited(p, arrivals, counted)
	}
	for l, arrivals := range counted {
		slices.SortFunc(arrivals, func(a, b arrival) int { return a.Arrived.Compare(b.Arrived) })
		allowed := int(limitFactor*limitWindow.Seconds()*float64(l.limit)) + limitExtra
		var largest []laceunit.AttemptID
		for i, first := range arrivals {
			if first.Arrived.Before(l.since.Add(limitSettleTime)) {
				continue
			}
			var within []laceunit.AttemptID
			for _, x := range arrivals[i:] {
				if x.Arrived.Sub(first.Arrived) < limitWindow {
					within = append(within, x.Attempt)
				}
			}
			if len(within) > len(largest) {
				largest = within
			}
		}
		if len(largest) > allowed {
			c.addViolation(guaranteeRateLimit, largest,
				"%s has a limit of %g requests/s and received %d within %s from instances that knew it; allowed %d",
				l.server, l.limit, len(largest), limitWindow, allowed)
		}
	}
}

// collectLimited collects the requests of an instance that knew the rate limit of a server. They count while the server
// still announces the limit. A restarted instance does not know the limit that its previous process received, and a
// frozen one reads no responses.
func (c *checker) collectLimited(p path, arrivals []arrival, counted map[limitPeriod][]arrival) {
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.Arrived.Compare(b.Arrived) })
	var notifiedAt time.Time
	for _, x := range arrivals {
		if c.hadEvent(p.instance, notifiedAt, x.Arrived, eventStop, eventKill, eventFreeze) {
			notifiedAt = time.Time{}
		}
		if x.RateLimit > 0 && !notifiedAt.IsZero() && c.earliestSend(p.instance, x).Sub(notifiedAt) >= limitReaction {
			l := limitPeriod{
				server: p.server,
				since:  x.RateLimitSince,
				limit:  x.RateLimit,
			}
			counted[l] = append(counted[l], x)
		}
		if x.RateLimit > 0 && notifiedAt.IsZero() && x.caller.succeeded() {
			notifiedAt = x.caller.Ended
		}
	}
}
