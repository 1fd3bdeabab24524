package lacesoak

import (
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// limitStable is how long after a server first named a limit the instances have to keep to it, limitWindow the time over
	// which its requests are counted.
	limitStable = 3 * time.Second
	limitWindow = 4 * time.Second
	// limitReaction is how long after an answer with a limit an instance may send as before.
	limitReaction = 500 * time.Millisecond
	// limitFactor and limitExtra are the margin beyond the limit.
	limitFactor = 1.5
	limitExtra  = 5
	// mostLimit is the highest limit that a server names.
	mostLimit = 4
)

// spell is a time in which a server names one limit.
type spell struct {
	server laceunit.ServerID
	since  time.Time
	limit  laceunit.Rate
}

// limits looks for servers that got more than their limit from the instances that they had told.
func (c *checker) limits(ways map[path][]arrival) {
	counted := map[spell][]arrival{}
	for p, all := range ways {
		c.limited(p, all, counted)
	}
	for s, all := range counted {
		slices.SortFunc(all, func(a, b arrival) int { return a.Arrived.Compare(b.Arrived) })
		allowed := int(limitFactor*limitWindow.Seconds()*float64(s.limit)) + limitExtra
		var most []laceunit.AttemptID
		for i, first := range all {
			if first.Arrived.Before(s.since.Add(limitStable)) {
				continue
			}
			var within []laceunit.AttemptID
			for _, x := range all[i:] {
				if x.Arrived.Sub(first.Arrived) < limitWindow {
					within = append(within, x.Attempt)
				}
			}
			if len(within) > len(most) {
				most = within
			}
		}
		if len(most) > allowed {
			c.add(promiseLimit, most, "%s takes %g requests a second and got %d within %s from instances that it had told; allowed %d",
				s.server, s.limit, len(most), limitWindow, allowed)
		}
	}
}

// limited collects the requests of an instance that a server had told. They count while the server still names the limit. A new
// process has not heard what the one before was told, and a frozen one reads no answers.
func (c *checker) limited(p path, all []arrival, counted map[spell][]arrival) {
	slices.SortFunc(all, func(a, b arrival) int { return a.Arrived.Compare(b.Arrived) })
	var told time.Time
	for _, x := range all {
		if c.met(p.instance, told, x.Arrived, stop, kill, freeze) {
			told = time.Time{}
		}
		if x.RateLimit > 0 && !told.IsZero() && c.decided(p.instance, x).Sub(told) >= limitReaction {
			s := spell{
				server: p.server,
				since:  x.RateLimitSince,
				limit:  x.RateLimit,
			}
			counted[s] = append(counted[s], x)
		}
		if x.RateLimit > 0 && told.IsZero() && x.caller.served() {
			told = x.caller.Ended
		}
	}
}
