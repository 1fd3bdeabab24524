package lacesoak

import (
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// Margins by which a running instance may exceed its baseline after a few seconds without requests: heap that the
	// runtime has not returned yet, connections of callers that are being closed, and idle connections to each server.
	// Idle connections stay open until the next response of that server, and without callers there is none.
	memoryMargin       = 64 << 20
	filesMargin        = 32
	idleConnsPerServer = 2
	// recoveryLimit is how long after the last fault an instance may take to serve requests again.
	recoveryLimit = 3 * time.Second
)

// checkResources checks that the resource usage of the instances returns close to the baseline.
func (c *checker) checkResources() {
	files := float64(filesMargin + idleConnsPerServer*c.backends)
	for i := range c.instances {
		s, ok := c.final[i]
		if !ok {
			c.addViolation(guaranteeResources, nil, "instance %d does not report its resource usage", i)
			continue
		}
		for _, x := range []struct {
			name                  string
			now, baseline, margin float64
		}{
			{name: "bytes of memory", now: s.ResidentBytes, baseline: c.baseline.ResidentBytes, margin: memoryMargin},
			{name: "open files", now: s.OpenFiles, baseline: c.baseline.OpenFiles, margin: files},
			{name: "goroutines", now: s.Goroutines, baseline: c.baseline.Goroutines, margin: 2 * files},
		} {
			if x.now > x.baseline+x.margin {
				c.addViolation(guaranteeResources, nil,
					"instance %d has %.0f %s after the quiet period; the baseline is %.0f",
					i, x.now, x.name, x.baseline)
			}
		}
	}
}

// checkRecovery checks that each instance serves a request within recoveryLimit after the last fault.
func (c *checker) checkRecovery() {
	for i := range c.instances {
		served := false
		var attempts []laceunit.AttemptID
		for j := range c.responses {
			if a := &c.responses[j]; a.Instance == instanceID(i) && a.Sent.After(c.faultsEnded) {
				served = served || a.succeeded() && a.Ended.Sub(c.faultsEnded) <= recoveryLimit
				attempts = append(attempts, a.Attempt)
			}
		}
		if !served {
			c.addViolation(guaranteeRecovery, attempts,
				"instance %d did not serve a request within %s after the last fault", i, recoveryLimit)
		}
	}
}

// longestGap returns the longest time in the run without a complete response to any caller, and when it began.
func (r *record) longestGap() (from time.Time, longest time.Duration) {
	var ends []time.Time
	for i := range r.responses {
		if a := &r.responses[i]; a.succeeded() {
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
