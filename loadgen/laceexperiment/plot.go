package laceexperiment

import (
	"maps"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lacewingcove/loadgen/laceload"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 14
)

// draw writes the plots of an experiment as PNG and SVG.
func draw(dir, name string, all []RunResult) error {
	for file, build := range map[string]func(string, []RunResult) (*plot.Plot, error){
		"latency":  plotLatency,
		"spend":    plotSpend,
		"platform": plotPlatform,
	} {
		p, err := build(name, all)
		if err != nil {
			return errors.Wrapf(err, "experiment: plot %s", file)
		}
		for _, form := range []string{".png", ".svg"} {
			if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, file+form)); err != nil {
				return errors.Wrapf(err, "experiment: plot %s", file)
			}
		}
	}
	return nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	return p
}

// plotLatency draws the medians of the latency percentiles as one group of bars for each percentile.
func plotLatency(name string, all []RunResult) (*plot.Plot, error) {
	p := newPlot(name+": latency", "", "ms")
	s := Summarize(name, all)
	labels := []string{
		"first token p50 ms", "first token p95 ms", "first token p99 ms", "between tokens p95 ms",
		"service calls p50 ms", "service calls p99 ms",
	}
	for i, v := range s.Variants {
		var values plotter.Values
		for _, label := range labels {
			for _, f := range v.Metrics {
				if f.Name == label {
					values = append(values, f.Median)
				}
			}
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return nil, err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(s.Variants)-1)/2))
		p.Add(bars)
		p.Legend.Add(v.Variant, bars)
	}
	for i := range labels {
		labels[i] = labels[i][:len(labels[i])-len(" ms")]
	}
	p.NominalX(labels...)
	// Half a place at both ends keeps the outer groups of bars within the frame.
	p.X.Min, p.X.Max = -0.5, float64(len(labels))-0.5
	p.X.Tick.Label.Rotation = 0.3
	p.X.Tick.Label.XAlign = -0.9
	return p, nil
}

// plotSpend draws what was spent and paid over time, for the first run of each variant.
func plotSpend(name string, all []RunResult) (*plot.Plot, error) {
	p := newPlot(name+": spend against budget", "s", "tokens")
	return p, lines(p, all, map[string]func(*laceload.Sample, *laceload.Sample) float64{
		"spent": func(_, s *laceload.Sample) float64 { return float64(s.Spent) },
		"paid":  func(_, s *laceload.Sample) float64 { return float64(s.Paid) },
	})
}

// plotPlatform draws the calls and writes a second, for the first run of each variant.
func plotPlatform(name string, all []RunResult) (*plot.Plot, error) {
	p := newPlot(name+": platform", "s", "a second")
	return p, lines(p, all, map[string]func(*laceload.Sample, *laceload.Sample) float64{
		"calls": func(l, s *laceload.Sample) float64 {
			return float64(s.PlatformCalls-l.PlatformCalls) / max(s.Second-l.Second, 1e-3)
		},
		"writes": func(l, s *laceload.Sample) float64 {
			return float64(s.PlatformWrites-l.PlatformWrites) / max(s.Second-l.Second, 1e-3)
		},
	})
}

// lines adds one line for each variant and value.
func lines(p *plot.Plot, all []RunResult, values map[string]func(last, now *laceload.Sample) float64) error {
	for i, variant := range variants(all) {
		for j, name := range sortedNames(values) {
			var points plotter.XYs
			var last laceload.Sample
			for _, s := range first(all, variant).Report.Samples {
				points = append(points, plotter.XY{
					X: s.Second,
					Y: values[name](&last, &s),
				})
				last = s
			}
			if len(points) == 0 {
				continue
			}
			l, err := plotter.NewLine(points)
			if err != nil {
				return err
			}
			l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(j)
			p.Add(l)
			p.Legend.Add(variant+" "+name, l)
		}
	}
	return nil
}

func first(all []RunResult, variant string) *RunResult {
	for i := range all {
		if all[i].Variant == variant {
			return &all[i]
		}
	}
	return &RunResult{}
}

func sortedNames[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
