package laceload

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewingcove/loadgen/laceworkload"
)

type classID = laceworkload.ClassID

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return Quantiles{
		Count: h.TotalCount(),
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
	}
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		for i, c := range cells {
			if i > 0 {
				_, _ = fmt.Fprint(t, "\t")
			}
			_, _ = fmt.Fprint(t, c)
		}
		_, _ = fmt.Fprintln(t)
	}
	row("workload", fmt.Sprintf("%s, seed %d, %.1f s", r.Workload, r.Seed, r.Seconds))
	c := r.Requests
	row("requests", fmt.Sprintf("%d sent, %d done, %d not run, %d unknown", c.Sent, c.Done, c.NotRun, c.Unknown))
	row("attempts",
		fmt.Sprintf("%d, at most %d requests at once, %d not sent", c.Attempts, c.PeakConcurrency, c.Skipped))
	for _, id := range sortedKeys(r.Classes) {
		row("  "+string(id), fmt.Sprintf("%d of %d done", r.Classes[id].Done, r.Classes[id].Sent))
	}
	row("refused in the end", formatCounts(r.Failures))
	row("refused attempts", formatCounts(r.AttemptFailures))
	row("false refusals", fmt.Sprintf("%d (%.3f%%), %d of them with more than 5%% of the budget left",
		r.FalseRefusals.Final, 100*r.FalseRefusals.Share, r.FalseRefusals.AmpleBudget))
	row("billed", fmt.Sprintf("%d tokens used, %d settled, %d paid (source: %s)",
		r.Billing.Usage, r.Billing.Settled, r.Billing.Paid, r.Billing.Source))
	row("billed at the ceiling", fmt.Sprintf("%d chats whose backend server counted more", c.Overrun))
	row("compared with the ledger",
		fmt.Sprintf("%d requests, %d without an answer", r.Billing.Verified, r.Billing.Unanswered))
	row("first token ms", r.Latency.FirstToken)
	row("between tokens ms", r.Latency.InterToken)
	row("whole chats ms", r.Latency.UnstreamedChat)
	row("service calls ms", r.Latency.ServiceCall)
	row("platform", fmt.Sprintf("%.3f calls and %.3f writes a request",
		r.PlatformUsage.CallsPerRequest, r.PlatformUsage.WritesPerRequest))
	for _, u := range r.Unchecked {
		row("not checked", u)
	}
	for _, v := range r.Violations.rows() {
		row(v.name, v.count)
	}
	for _, e := range r.Examples {
		row("example", e)
	}
	if r.Violations.Any() {
		row("PROMISE BROKEN")
	} else {
		row("all promises kept")
	}
	return t.Flush()
}

// String returns the quantiles in one line.
func (q Quantiles) String() string {
	return fmt.Sprintf("p50 %.2f  p95 %.2f  p99 %.2f  (%d)", q.P50, q.P95, q.P99, q.Count)
}

type violationCount struct {
	name  string
	count int64
}

func (v Violations) rows() []violationCount {
	return []violationCount{
		{name: "overspend in tokens", count: int64(v.Overspend)},
		{name: "settled beyond usage in tokens", count: int64(v.Excess)},
		{name: "usage beyond settled in tokens", count: int64(v.Shortfall)},
		{name: "billed never", count: v.Unbilled},
		{name: "billed otherwise", count: v.Misbilled},
		{name: "not run but billed", count: v.NotRunButBilled},
		{name: "not run but ran", count: v.NotRunButRan},
		{name: "ran more than once", count: v.DuplicateRuns},
		{name: "done but never ran", count: v.DoneWithoutRun},
		{name: "cut passed as whole", count: v.Truncated},
		{name: "crossed passed as whole", count: v.Mismatched},
		{name: "tokens miscounted", count: v.Miscounted},
	}
}

func formatCounts(counts map[string]int64) string {
	var parts []string
	for _, name := range sortedKeys(counts) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
