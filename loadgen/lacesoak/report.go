package lacesoak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

const (
	// slowest is the longest time that the histogram holds, in microseconds.
	slowest = 60_000_000
	digits  = 3
	// shownAttempts bounds the attempts that a finding prints.
	shownAttempts = 5
)

// Report is the outcome of one run.
type Report struct {
	Seed       uint64
	Options    Options
	Violations []Violation
	record     *record
	logs       []string
}

// outcome names how an attempt ended for its caller.
func outcome(a *answer) string {
	switch {
	case a.left:
		return "caller left"
	case a.refused:
		return "no connection"
	case a.Status == 0:
		return "no answer"
	case !a.Complete:
		return "broken off"
	default:
		return fmt.Sprint(a.Status)
	}
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %s, %d instances\n\ntimeline\n", r.Seed, r.Options.Duration, r.Options.Instances)
	outcomes, kinds := map[string]int{}, map[string]int{}
	for _, d := range r.record.deeds {
		kinds[d.kind]++
		fmt.Fprintf(&b, "  %s\n", d.event)
	}
	times := hdrhistogram.New(1, slowest, digits)
	for i := range r.record.answers {
		a := &r.record.answers[i]
		outcomes[outcome(a)]++
		if a.served() {
			// Longer times than the histogram holds do not occur: they are beyond each route's limit.
			_ = times.RecordValue(min(max(a.Ended.Sub(a.Sent).Microseconds(), 1), slowest))
		}
	}
	counts(&b, "requests", outcomes)
	counts(&b, "faults", kinds)
	from, gap := r.record.gap()
	fmt.Fprintf(&b, "\nlongest gap     %.3f s at %.3f s\n", gap.Seconds(), from.Sub(r.record.began).Seconds())
	fmt.Fprintf(&b, "served          p50 %.1f ms, p99 %.1f ms\n",
		float64(times.ValueAtPercentile(50))/1e3, float64(times.ValueAtPercentile(99))/1e3)
	peak := r.record.peak
	fmt.Fprintf(&b, "peaks           %d processes, %.1f MB together; of one: %.1f MB, %.0f files, %.0f goroutines\n",
		r.record.instances, r.record.memory/1e6, peak.ResidentBytes/1e6, peak.OpenFiles, peak.Goroutines)
	if n := r.record.narrow; n != nil {
		took := r.record.refusals()
		fmt.Fprintf(&b, "narrow link     %g Mbit/s at instance %d; %d refusals to callers on its machine, the longest after %s\n",
			n.rate, n.number, len(took), slices.Max(append(took, 0)).Round(time.Millisecond))
	}
	r.printFindings(&b)
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "soak")
}

func counts(b *strings.Builder, name string, all map[string]int) {
	total := 0
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(all)) {
		total += all[k]
		parts = append(parts, fmt.Sprintf("%s %d", k, all[k]))
	}
	fmt.Fprintf(b, "\n%-15s %d: %s\n", name, total, strings.Join(parts, ", "))
}

func (r *Report) printFindings(b *strings.Builder) {
	if len(r.Violations) == 0 {
		b.WriteString("\nno promise was broken\n")
		return
	}
	fmt.Fprintf(b, "\n%d findings\n", len(r.Violations))
	for _, f := range r.Violations {
		fmt.Fprintf(b, "  %s: %s\n", f.Guarantee, f.Message)
		attempts := slices.Compact(f.Attempts)
		for _, id := range attempts[:min(len(attempts), shownAttempts)] {
			fmt.Fprintf(b, "    lacectl explain %s %s\n", id, strings.Join(r.logs, " "))
		}
		if n := len(attempts) - shownAttempts; n > 0 {
			fmt.Fprintf(b, "    and %d more attempts\n", n)
		}
	}
}
