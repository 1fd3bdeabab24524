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
	// maxLatencyMicros is the highest value of the latency histogram in microseconds.
	maxLatencyMicros = 60_000_000
	histogramDigits  = 3
	// maxShownAttempts bounds the attempts that are printed for a violation.
	maxShownAttempts = 5
)

// Report is the result of one run.
type Report struct {
	Seed       uint64
	Options    Options
	Violations []Violation
	record     *record
	logPaths   []string
}

// outcome returns how an attempt ended for its caller.
func outcome(a *response) string {
	switch {
	case a.canceled:
		return "caller canceled"
	case a.connRefused:
		return "connection refused"
	case a.Status == 0:
		return "no response"
	case !a.Complete:
		return "response truncated"
	default:
		return fmt.Sprint(a.Status)
	}
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %s, %d instances\n\ntimeline\n", r.Seed, r.Options.Duration, r.Options.Instances)
	outcomes, kinds := map[string]int{}, map[string]int{}
	for _, d := range r.record.injections {
		kinds[d.kind]++
		fmt.Fprintf(&b, "  %s\n", d.event)
	}
	histogram := hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
	for i := range r.record.responses {
		a := &r.record.responses[i]
		outcomes[outcome(a)]++
		if a.succeeded() {
			// Latencies above the histogram's maximum don't occur: they exceed the timeout of every route.
			_ = histogram.RecordValue(min(max(a.Ended.Sub(a.Sent).Microseconds(), 1), maxLatencyMicros))
		}
	}
	writeCounts(&b, "requests", outcomes)
	writeCounts(&b, "faults", kinds)
	from, gap := r.record.longestGap()
	fmt.Fprintf(&b, "\nlongest gap     %.3f s at %.3f s\n", gap.Seconds(), from.Sub(r.record.started).Seconds())
	fmt.Fprintf(&b, "served          p50 %.1f ms, p99 %.1f ms\n",
		float64(histogram.ValueAtPercentile(50))/1e3, float64(histogram.ValueAtPercentile(99))/1e3)
	peak := r.record.peak
	fmt.Fprintf(&b, "peaks           %d processes, %.1f MB together; of one: %.1f MB, %.0f files, %.0f goroutines\n",
		r.record.instances, r.record.peakTotalMemory/1e6, peak.ResidentBytes/1e6, peak.OpenFiles, peak.Goroutines)
	if n := r.record.slowLink; n != nil {
		latencies := r.record.rejectionLatencies()
		fmt.Fprintf(&b,
			"narrow link     %g Mbit/s at instance %d; %d rejections of callers on its machine, the longest after %s\n",
			n.mbits, n.index, len(latencies), slices.Max(append(latencies, 0)).Round(time.Millisecond))
	}
	r.printViolations(&b)
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "soak")
}

// writeCounts writes the total and the counts by name as one line.
func writeCounts(b *strings.Builder, name string, byName map[string]int) {
	total := 0
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(byName)) {
		total += byName[k]
		parts = append(parts, fmt.Sprintf("%s %d", k, byName[k]))
	}
	fmt.Fprintf(b, "\n%-15s %d: %s\n", name, total, strings.Join(parts, ", "))
}

func (r *Report) printViolations(b *strings.Builder) {
	if len(r.Violations) == 0 {
		b.WriteString("\nno guarantee was violated\n")
		return
	}
	fmt.Fprintf(b, "\n%d violations\n", len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(b, "  %s: %s\n", v.Guarantee, v.Message)
		attempts := slices.Compact(v.Attempts)
		for _, id := range attempts[:min(len(attempts), maxShownAttempts)] {
			fmt.Fprintf(b, "    lacectl explain %s %s\n", id, strings.Join(r.logPaths, " "))
		}
		if n := len(attempts) - maxShownAttempts; n > 0 {
			fmt.Fprintf(b, "    and %d more attempts\n", n)
		}
	}
}
