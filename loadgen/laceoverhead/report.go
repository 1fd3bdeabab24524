package laceoverhead

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewingcove/lib/laceunit"
)

// Report is the result of a measurement as a JSON document; durations are in milliseconds.
type Report struct {
	Instance laceunit.Address `json:"instance"`
	Seed     uint64           `json:"seed"`
	Calls    []Comparison     `json:"calls"`
	// PlatformRoundTrip is the latency of a read from the platform.
	PlatformRoundTrip Percentiles `json:"platform_round_trip"`
	Capacity          Capacity    `json:"capacity"`
}

// Comparison compares the time to the first byte of routed and direct calls of one class.
type Comparison struct {
	Class      string      `json:"class"`
	Idempotent bool        `json:"idempotent"`
	Pairs      int         `json:"pairs"`
	Failed     int         `json:"failed"`
	LastError  string      `json:"failure,omitempty"`
	Routed     Percentiles `json:"routed"`
	Direct     Percentiles `json:"direct"`
	// Overhead is the difference between the percentiles of Routed and Direct.
	Overhead Percentiles `json:"added"`
}

// Percentiles are percentiles of a latency in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Capacity is the throughput of one instance under concurrent small chats; CPUSeconds is its CPU time.
type Capacity struct {
	Done                  int     `json:"done"`
	Rejected              int     `json:"refused"`
	LastError             string  `json:"failure,omitempty"`
	Seconds               float64 `json:"seconds"`
	CPUSeconds            float64 `json:"processor_seconds"`
	RequestsPerSecond     float64 `json:"per_second"`
	RequestsPerCoreSecond float64 `json:"per_core_second"`
}

func (p Percentiles) sub(q Percentiles) Percentiles {
	return Percentiles{
		P50: p.P50 - q.P50,
		P95: p.P95 - q.P95,
		P99: p.P99 - q.P99,
	}
}

// percentiles computes percentiles with three significant digits, which keep the error of a difference of two of them
// below 0.1 ms for latencies up to 50 ms.
func percentiles(durations []time.Duration) Percentiles {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, d := range durations {
		_ = h.RecordValue(int64(d / time.Microsecond)) // Calls are bounded far below a minute.
	}
	percentile := func(p float64) float64 {
		return float64(h.ValueAtQuantile(p)) / float64(time.Millisecond/time.Microsecond)
	}
	return Percentiles{
		P50: percentile(50),
		P95: percentile(95),
		P99: percentile(99),
	}
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t,
		"first byte in ms\tpairs\tfailed\trouted p50\tp95\tp99\tdirect p50\tp95\tp99\tadded p50\tp95\tp99\t")
	for _, c := range r.Calls {
		kind := "non-idempotent"
		if c.Idempotent {
			kind = "idempotent"
		}
		_, _ = fmt.Fprintf(t, "%s (%s)\t%d\t%d\t%s%s%s\n", c.Class, kind, c.Pairs, c.Failed, c.Routed.cells(),
			c.Direct.cells(), c.Overhead.cells())
	}
	_, _ = fmt.Fprintf(t, "platform round trip\t\t\t%s\n", r.PlatformRoundTrip.cells())
	if err := t.Flush(); err != nil {
		return err
	}
	for _, c := range r.Calls {
		if c.Failed > 0 {
			_, _ = fmt.Fprintf(w, "%s: %d pairs failed and were not measured, last error %s\n", c.Class, c.Failed,
				c.LastError)
		}
	}
	if r.Capacity.Seconds > 0 {
		c := r.Capacity
		_, _ = fmt.Fprintf(w,
			"small chats: %d done and %d refused %s in %.1f s, %.0f/s, %.2f s of CPU time, %.0f/s per core\n",
			c.Done, c.Rejected, c.LastError, c.Seconds, c.RequestsPerSecond, c.CPUSeconds, c.RequestsPerCoreSecond)
	}
	return nil
}

func (p Percentiles) cells() string {
	return fmt.Sprintf("%.2f\t%.2f\t%.2f\t", p.P50, p.P95, p.P99)
}
