package lacesoak

import (
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// What a living instance may use above its rest after a few quiet seconds: heap that the runtime has not returned yet,
	// callers' connections that are just closing, and idle connections to each server. Those stay open until the next
	// answer of that server, which without callers does not come.
	memorySlack = 64 << 20
	filesSlack  = 32
	idleEach    = 2
	// serveWithin is when each instance serves again after the last fault.
	serveWithin = 3 * time.Second
)

// resting checks that what instances use returns to near rest.
func (c *checker) resting() {
	files := float64(filesSlack + idleEach*c.backends)
	for i := range c.instances {
		s, ok := c.last[i]
		if !ok {
			c.add(promiseRest, nil, "instance %d does not tell what it uses", i)
			continue
		}
		for _, x := range []struct {
			name              string
			now, rest, margin float64
		}{
			{name: "bytes of memory", now: s.ResidentBytes, rest: c.rest.ResidentBytes, margin: memorySlack},
			{name: "open files", now: s.OpenFiles, rest: c.rest.OpenFiles, margin: files},
			{name: "goroutines", now: s.Goroutines, rest: c.rest.Goroutines, margin: 2 * files},
		} {
			if x.now > x.rest+x.margin {
				c.add(promiseRest, nil, "instance %d has %.0f %s after the quiet tail, %.0f at rest", i, x.now, x.name, x.rest)
			}
		}
	}
}

// serving checks that each instance serves soon after the last fault.
func (c *checker) serving() {
	for i := range c.instances {
		served := false
		var tried []laceunit.AttemptID
		for j := range c.answers {
			if a := &c.answers[j]; a.Instance == instanceID(i) && a.Sent.After(c.quiet) {
				served = served || a.served() && a.Ended.Sub(c.quiet) <= serveWithin
				tried = append(tried, a.Attempt)
			}
		}
		if !served {
			c.add(promiseServes, tried, "instance %d did not serve within %s after the last fault", i, serveWithin)
		}
	}
}

// gap returns the longest time within the run in which no caller got a complete answer, and when it began.
func (r *record) gap() (from time.Time, longest time.Duration) {
	var ends []time.Time
	for i := range r.answers {
		if a := &r.answers[i]; a.served() {
			ends = append(ends, a.Ended)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	for i := 1; i < len(ends); i++ {
		if d := ends[i].Sub(ends[i-1]); d > longest {
			from, longest = ends[i-1], d
		}
	}
	return from, longest
}
