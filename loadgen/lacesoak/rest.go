package lacesoak

import (
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

// What a living instance may use above its rest after a few quiet seconds.
const (
	// memorySlack covers heap that the runtime has not returned yet.
	memorySlack = 64 << 20
	// filesSlack covers idle connections to servers, which are kept for some seconds.
	filesSlack = 32
	// goroutinesSlack covers two goroutines for each of them.
	goroutinesSlack = 2 * filesSlack
)

// rest checks that what instances use returns to near rest.
func (c *checker) rest() {
	rest := c.record.Rest
	for i := range c.record.Instances {
		s, ok := c.record.Last[i]
		if !ok {
			c.add(PromiseRest, nil, "instance %d does not tell what it uses", i)
			continue
		}
		for _, x := range []struct {
			name              string
			now, rest, margin float64
		}{
			{name: "bytes of memory", now: s.Memory, rest: rest.Memory, margin: memorySlack},
			{name: "open files", now: s.Files, rest: rest.Files, margin: filesSlack},
			{name: "goroutines", now: s.Goroutines, rest: rest.Goroutines, margin: goroutinesSlack},
		} {
			if x.now > x.rest+x.margin {
				c.add(PromiseRest, nil, "instance %d has %.0f %s after the quiet tail, %.0f at rest", i, x.now, x.name, x.rest)
			}
		}
	}
}

// serves checks that each instance serves soon after the last fault.
func (c *checker) serves() {
	first := map[laceunit.InstanceID]time.Time{}
	for i := range c.record.Answers {
		a := &c.record.Answers[i]
		if a.served() && a.Sent.After(c.record.Quiet) && (first[a.Instance].IsZero() || a.Ended.Before(first[a.Instance])) {
			first[a.Instance] = a.Ended
		}
	}
	for i := range c.record.Instances {
		if t, ok := first[instanceID(i)]; !ok || t.Sub(c.record.Quiet) > ServeWithin {
			c.add(PromiseServes, c.tried(i), "instance %d did not serve within %s after the last fault", i, ServeWithin)
		}
	}
}

// tried returns some attempts at an instance after the last fault.
func (c *checker) tried(instance int) []laceunit.AttemptID {
	const shown = 5
	var all []laceunit.AttemptID
	for i := range c.record.Answers {
		if a := &c.record.Answers[i]; a.Instance == instanceID(instance) && a.Sent.After(c.record.Quiet) && len(all) < shown {
			all = append(all, a.Attempt)
		}
	}
	return all
}

// Gap returns the longest time within the run in which no caller got a complete answer, and when it began.
func Gap(r *Record) (time.Time, time.Duration) {
	var ends []time.Time
	for i := range r.Answers {
		if a := &r.Answers[i]; a.served() {
			ends = append(ends, a.Ended)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	var from time.Time
	var longest time.Duration
	for i := 1; i < len(ends); i++ {
		if d := ends[i].Sub(ends[i-1]); d > longest {
			from, longest = ends[i-1], d
		}
	}
	return from, longest
}
