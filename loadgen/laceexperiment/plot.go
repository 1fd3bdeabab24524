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

// writePlots writes the plots of an experiment as PNG and SVG files.
func writePlots(dir, name string, results []RunResult) error {
	for file, build := range map[string]func(string, []RunResult) (*plot.Plot, error){
		"latency":  plotLatency,
		"spend":    plotSpend,
		"platform": plotPlatform,
	} {
		p, err := build(name, results)
		if err != nil {
			return errors.Wrapf(err, "experiment: plot %s", file)
		}
		for _, extension := range []string{".png", ".svg"} {
			if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, file+extension)); err != nil {
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

// plotLatency draws the medians of the latency percentiles, with one group of bars per percentile.
func plotLatency(name string, results []RunResult) (*plot.Plot, error) {
	p := newPlot(name+": latency", "", "ms")
	s := Summarize(name, results)
	labels := []string{
		"first token p50 ms", "first token p95 ms", "first token p99 ms", "between tokens p95 ms",
		"service calls p50 ms", "service calls p99 ms",
	}
	for i, v := range s.Variants {
		var values plotter.Values
		for _, label := range labels {
			for _, m := range v.Metrics {
				if m.Name == label {
					values = append(values, m.Median)
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
	// Half a unit of margin on both sides keeps the outer groups of bars inside the plot area.
	p.X.Min, p.X.Max = -0.5, float64(len(labels))-0.5
	p.X.Tick.Label.Rotation = 0.3
	p.X.Tick.Label.XAlign = -0.9
	return p, nil
}

// plotSpend draws the spent and paid tokens over time, for the first run of each variant.
func plotSpend(name string, results []RunResult) (*plot.Plot, error) {
	p := newPlot(name+": spend against budget", "s", "tokens")
	return p, addLines(p, results, map[string]func(*laceload.Sample, *laceload.Sample) float64{
		"spent": func(_, s *laceload.Sample) float64 { return float64(s.Spent) },
		"paid":  func(_, s *laceload.Sample) float64 { return float64(s.Paid) },
	})
}

// plotPlatform draws the platform calls and writes per second, for the first run of each variant.
func plotPlatform(name string, results []RunResult) (*plot.Plot, error) {
	p := newPlot(name+": platform", "s", "per second")
	return p, addLines(p, results, map[string]func(*laceload.Sample, *laceload.Sample) float64{
		"calls": func(previous, s *laceload.Sample) float64 {
			return float64(s.PlatformCalls-previous.PlatformCalls) / max(s.Second-previous.Second, 1e-3)
		},
		"writes": func(previous, s *laceload.Sample) float64 {
			return float64(s.PlatformWrites-previous.PlatformWrites) / max(s.Second-previous.Second, 1e-3)
		},
	})
}

// addLines adds one line for each variant and series.
func addLines(
	p *plot.Plot, results []RunResult, series map[string]func(previous, current *laceload.Sample) float64,
) error {
	for i, variant := range variantNames(results) {
		for j, name := range sortedKeys(series) {
			var points plotter.XYs
			var previous laceload.Sample
			for _, s := range firstRun(results, variant).Report.Samples {
				points = append(points, plotter.XY{
					X: s.Second,
					Y: series[name](&previous, &s),
				})
				previous = s
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

func firstRun(results []RunResult, variant string) *RunResult {
	for i := range results {
		if results[i].Variant == variant {
			return &results[i]
		}
	}
	return &RunResult{}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
