package lacesoak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

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
	Seed     uint64
	Options  Options
	Record   *Record
	Findings []Finding
	Logs     []string
}

// outcome names how an attempt ended for its caller.
func outcome(a *Answer) string {
	switch {
	case a.Left:
		return "caller left"
	case a.Refused:
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
	for i := range r.Record.Deeds {
		d := &r.Record.Deeds[i]
		kinds[string(d.Kind)]++
		fmt.Fprintf(&b, "  %s", d.Event)
		if d.Problem != "" {
			fmt.Fprintf(&b, ": %s", d.Problem)
		}
		b.WriteByte('\n')
	}
	times := hdrhistogram.New(1, slowest, digits)
	for i := range r.Record.Answers {
		a := &r.Record.Answers[i]
		outcomes[outcome(a)]++
		if a.served() {
			// Longer times than the histogram holds do not occur: they are beyond each route's limit.
			_ = times.RecordValue(min(max(a.Ended.Sub(a.Sent).Microseconds(), 1), slowest))
		}
	}
	counts(&b, "requests", outcomes)
	counts(&b, "faults", kinds)
	from, gap := Gap(r.Record)
	fmt.Fprintf(&b, "\nlongest gap     %.3f s at %.3f s\n", gap.Seconds(), from.Sub(r.Record.Began).Seconds())
	fmt.Fprintf(&b, "served          p50 %.1f ms, p99 %.1f ms\n", milliseconds(times, 50), milliseconds(times, 99))
	peak := r.Record.Peak
	fmt.Fprintf(&b, "peaks           %d processes, %.1f MB together; of one: %.1f MB, %.0f files, %.0f goroutines\n",
		r.Options.Instances, r.Record.Memory/1e6, peak.Memory/1e6, peak.Files, peak.Goroutines)
	r.printFindings(&b)
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "soak")
}

func milliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1e3
}

func counts(b *strings.Builder, name string, all map[string]int) {
	total := 0
	for _, n := range all {
		total += n
	}
	fmt.Fprintf(b, "\n%-15s %d", name, total)
	for _, k := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(b, ", %s %d", k, all[k])
	}
	b.WriteByte('\n')
}

func (r *Report) printFindings(b *strings.Builder) {
	if len(r.Findings) == 0 {
		b.WriteString("\nno promise was broken\n")
		return
	}
	fmt.Fprintf(b, "\n%d findings\n", len(r.Findings))
	for _, f := range r.Findings {
		fmt.Fprintf(b, "  %s: %s\n", f.Promise, f.Text)
		for i, id := range f.Attempts {
			if i == shownAttempts {
				fmt.Fprintf(b, "    and %d more attempts\n", len(f.Attempts)-i)
				break
			}
			fmt.Fprintf(b, "    lacectl explain %s %s\n", id, strings.Join(r.Logs, " "))
		}
	}
}
