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

// VariantSummary is one variant: the median of each figure over its runs, and its ratio to that of the first variant.
type VariantSummary struct {
	Variant string `json:"variant"`
	Runs    int    `json:"runs"`
	// Broken is the number of runs in which a promise was broken.
	ViolatingRuns int             `json:"broken"`
	Metrics       []MetricSummary `json:"figures"`
}

// Figure is the median of one figure with the least and the greatest value.
type MetricSummary struct {
	Name   string  `json:"name"`
	Median float64 `json:"median"`
	Min    float64 `json:"low"`
	Max    float64 `json:"high"`
	// Ratio is 0 when the first variant's median is 0.
	Ratio float64 `json:"ratio"`
}

// measure is a figure of one run.
type measure struct {
	name string
	of   func(r *laceload.Report) float64
}

func measures() []measure {
	return []measure{
		{name: "done %", of: func(r *laceload.Report) float64 { return share(r.Requests.Done, r.Requests.Sent) }},
		{name: "not run %", of: func(r *laceload.Report) float64 { return share(r.Requests.NotRun, r.Requests.Sent) }},
		{name: "unknown %", of: func(r *laceload.Report) float64 { return share(r.Requests.Unknown, r.Requests.Sent) }},
		{name: "false refusals %", of: func(r *laceload.Report) float64 { return 100 * r.FalseRefusals.Share }},
		{name: "first token p50 ms", of: func(r *laceload.Report) float64 { return r.Latency.FirstToken.P50 }},
		{name: "first token p95 ms", of: func(r *laceload.Report) float64 { return r.Latency.FirstToken.P95 }},
		{name: "first token p99 ms", of: func(r *laceload.Report) float64 { return r.Latency.FirstToken.P99 }},
		{name: "between tokens p95 ms", of: func(r *laceload.Report) float64 { return r.Latency.InterToken.P95 }},
		{name: "service calls p50 ms", of: func(r *laceload.Report) float64 { return r.Latency.ServiceCall.P50 }},
		{name: "service calls p99 ms", of: func(r *laceload.Report) float64 { return r.Latency.ServiceCall.P99 }},
		{name: "platform calls a request", of: func(r *laceload.Report) float64 { return r.PlatformUsage.CallsPerRequest }},
		{name: "platform writes a request", of: func(r *laceload.Report) float64 { return r.PlatformUsage.WritesPerRequest }},
		{name: "overspend tokens", of: func(r *laceload.Report) float64 { return float64(r.Violations.Overspend) }},
		{name: "billed other than once", of: func(r *laceload.Report) float64 {
			return float64(r.Violations.Unbilled + r.Violations.Misbilled + r.Violations.NotRunButBilled)
		}},
		{name: "ran more than once", of: func(r *laceload.Report) float64 { return float64(r.Violations.DuplicateRuns) }},
		{name: "not run but ran", of: func(r *laceload.Report) float64 { return float64(r.Violations.NotRunButRan) }},
		{name: "cut or crossed", of: func(r *laceload.Report) float64 { return float64(r.Violations.Truncated + r.Violations.Mismatched) }},
	}
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// Summarize compares runs.
func Summarize(name string, all []RunResult) Summary {
	s := Summary{Name: name}
	for _, variant := range variants(all) {
		v := VariantSummary{Variant: variant}
		for _, m := range measures() {
			var values []float64
			v.Runs, v.ViolatingRuns = 0, 0
			for i := range all {
				if all[i].Variant != variant {
					continue
				}
				v.Runs++
				if all[i].Report.Violations.Any() {
					v.ViolatingRuns++
				}
				values = append(values, m.of(&all[i].Report))
			}
			f := figure(m.name, values)
			if len(s.Variants) > 0 {
				f.compare(s.Variants[0].Metrics[len(v.Metrics)])
			} else {
				f.compare(f)
			}
			v.Metrics = append(v.Metrics, f)
		}
		s.Variants = append(s.Variants, v)
	}
	return s
}

// variants returns the names in the order of their first run.
func variants(all []RunResult) []string {
	var names []string
	for _, o := range all {
		if !slices.Contains(names, o.Variant) {
			names = append(names, o.Variant)
		}
	}
	return names
}

// figure returns the median of values, of which there is at least one.
func figure(name string, values []float64) MetricSummary {
	slices.Sort(values)
	n := len(values)
	return MetricSummary{
		Name:   name,
		Median: (values[(n-1)/2] + values[n/2]) / 2,
		Min:    values[0],
		Max:    values[n-1],
	}
}

func (f *MetricSummary) compare(base MetricSummary) {
	if base.Median != 0 {
		f.Ratio = f.Median / base.Median
	}
}

// Markdown returns the summary as a page.
func (s Summary) Markdown() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "# %s\n\nMedians over the runs, least and greatest value in brackets, ratio to the first variant.\n\n", s.Name)
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
	for i, f := range s.Variants[0].Metrics {
		_, _ = fmt.Fprintf(&b, "| %s |", f.Name)
		for _, v := range s.Variants {
			b.WriteString(" " + v.Metrics[i].cell() + " |")
		}
		b.WriteString("\n")
	}
	return b.String()
}

func (f MetricSummary) cell() string {
	text := fmt.Sprintf("%.3g (%.3g to %.3g)", f.Median, f.Min, f.Max)
	if f.Ratio != 0 {
		text += fmt.Sprintf(" x%.2f", f.Ratio)
	}
	return text
}
