package laceexperiment

import (
	"fmt"
	"slices"
	"strings"

	"lacewingcove/loadgen/laceload"
)

// Summary compares the variants of an experiment.
type Summary struct {
	Name     string           `json:"name"`
	Variants []VariantSummary `json:"variants"`
}

// VariantSummary summarizes the runs of one variant: the median of each metric, and its ratio to that of the first
// variant.
type VariantSummary struct {
	Variant string `json:"variant"`
	Runs    int    `json:"runs"`
	// ViolatingRuns is the number of runs in which a guarantee was violated.
	ViolatingRuns int             `json:"broken"`
	Metrics       []MetricSummary `json:"figures"`
}

// MetricSummary is the median, minimum and maximum of one metric over the runs of a variant.
type MetricSummary struct {
	Name   string  `json:"name"`
	Median float64 `json:"median"`
	Min    float64 `json:"low"`
	Max    float64 `json:"high"`
	// Ratio is relative to the median of the first variant, and 0 if that is 0.
	Ratio float64 `json:"ratio"`
}

// metric is a metric of one run.
type metric struct {
	name  string
	value func(r *laceload.Report) float64
}

func metrics() []metric {
	return []metric{
		{name: "done %", value: func(r *laceload.Report) float64 { return percent(r.Requests.Done, r.Requests.Sent) }},
		{
			name:  "not run %",
			value: func(r *laceload.Report) float64 { return percent(r.Requests.NotRun, r.Requests.Sent) },
		},
		{
			name:  "unknown %",
			value: func(r *laceload.Report) float64 { return percent(r.Requests.Unknown, r.Requests.Sent) },
		},
		{name: "false refusals %", value: func(r *laceload.Report) float64 { return 100 * r.FalseRefusals.Share }},
		{name: "first token p50 ms", value: func(r *laceload.Report) float64 { return r.Latency.FirstToken.P50 }},
		{name: "first token p95 ms", value: func(r *laceload.Report) float64 { return r.Latency.FirstToken.P95 }},
		{name: "first token p99 ms", value: func(r *laceload.Report) float64 { return r.Latency.FirstToken.P99 }},
		{name: "between tokens p95 ms", value: func(r *laceload.Report) float64 { return r.Latency.InterToken.P95 }},
		{name: "service calls p50 ms", value: func(r *laceload.Report) float64 { return r.Latency.ServiceCall.P50 }},
		{name: "service calls p99 ms", value: func(r *laceload.Report) float64 { return r.Latency.ServiceCall.P99 }},
		{
			name:  "platform calls a request",
			value: func(r *laceload.Report) float64 { return r.PlatformUsage.CallsPerRequest },
		},
		{
			name:  "platform writes a request",
			value: func(r *laceload.Report) float64 { return r.PlatformUsage.WritesPerRequest },
		},
		{name: "overspend tokens", value: func(r *laceload.Report) float64 { return float64(r.Violations.Overspend) }},
		{name: "billed other than once", value: func(r *laceload.Report) float64 {
			return float64(r.Violations.Unbilled + r.Violations.Misbilled + r.Violations.NotRunButBilled)
		}},
		{
			name:  "ran more than once",
			value: func(r *laceload.Report) float64 { return float64(r.Violations.DuplicateRuns) },
		},
		{
			name:  "not run but ran",
			value: func(r *laceload.Report) float64 { return float64(r.Violations.NotRunButRan) },
		},
		{name: "cut or crossed", value: func(r *laceload.Report) float64 { return float64(r.Violations.Truncated + r.Violations.Mismatched) }},
	}
}

func percent(part, total int64) float64 {
	if total == 0 {
		return 0
	}
	return 100 * float64(part) / float64(total)
}

// Summarize groups runs by variant and summarizes their metrics.
func Summarize(name string, results []RunResult) Summary {
	s := Summary{Name: name}
	for _, variant := range variantNames(results) {
		v := VariantSummary{Variant: variant}
		for _, m := range metrics() {
			var values []float64
			v.Runs, v.ViolatingRuns = 0, 0
			for i := range results {
				if results[i].Variant != variant {
					continue
				}
				v.Runs++
				if results[i].Report.Violations.Any() {
					v.ViolatingRuns++
				}
				values = append(values, m.value(&results[i].Report))
			}
			summary := summarizeMetric(m.name, values)
			if len(s.Variants) > 0 {
				summary.setRatio(s.Variants[0].Metrics[len(v.Metrics)])
			} else {
				summary.setRatio(summary)
			}
			v.Metrics = append(v.Metrics, summary)
		}
		s.Variants = append(s.Variants, v)
	}
	return s
}

// variantNames returns the names of the variants in the order of their first run.
func variantNames(results []RunResult) []string {
	var names []string
	for _, o := range results {
		if !slices.Contains(names, o.Variant) {
			names = append(names, o.Variant)
		}
	}
	return names
}

// summarizeMetric returns the summary of values, of which there is at least one.
func summarizeMetric(name string, values []float64) MetricSummary {
	slices.Sort(values)
	n := len(values)
	return MetricSummary{
		Name:   name,
		Median: (values[(n-1)/2] + values[n/2]) / 2,
		Min:    values[0],
		Max:    values[n-1],
	}
}

func (m *MetricSummary) setRatio(base MetricSummary) {
	if base.Median != 0 {
		m.Ratio = m.Median / base.Median
	}
}

// Markdown renders the summary as a Markdown page.
func (s Summary) Markdown() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b,
		"# %s\n\nMedians over the runs, least and greatest value in brackets, ratio to the first variant.\n\n", s.Name)
	if len(s.Variants) == 0 {
		return b.String()
	}
	b.WriteString("| figure |")
	for _, v := range s.Variants {
		_, _ = fmt.Fprintf(&b, " %s |", v.Variant)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(s.Variants)) + "\n| runs |")
	for _, v := range s.Variants {
		_, _ = fmt.Fprintf(&b, " %d, a promise broken in %d |", v.Runs, v.ViolatingRuns)
	}
	b.WriteString("\n")
	for i, m := range s.Variants[0].Metrics {
		_, _ = fmt.Fprintf(&b, "| %s |", m.Name)
		for _, v := range s.Variants {
			b.WriteString(" " + v.Metrics[i].cell() + " |")
		}
		b.WriteString("\n")
	}
	return b.String()
}

func (m MetricSummary) cell() string {
	s := fmt.Sprintf("%.3g (%.3g to %.3g)", m.Median, m.Min, m.Max)
	if m.Ratio != 0 {
		s += fmt.Sprintf(" x%.2f", m.Ratio)
	}
	return s
}
