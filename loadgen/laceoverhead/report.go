package laceoverhead

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewingcove/lib/laceunit"
)

// Report is the result as one JSON document; durations are in milliseconds.
type Report struct {
	Instance laceunit.Address `json:"instance"`
	Seed     uint64           `json:"seed"`
	Calls    []Comparison     `json:"calls"`
	// Platform is a round trip to the platform.
	PlatformRoundTrip Percentiles `json:"platform_round_trip"`
	Capacity          Capacity    `json:"capacity"`
}

// Comparison is the time to the first byte of one class of calls.
type Comparison struct {
	Class      string      `json:"class"`
	Idempotent bool        `json:"idempotent"`
	Pairs      int         `json:"pairs"`
	Failed     int         `json:"failed"`
	LastError  string      `json:"failure,omitempty"`
	Routed     Percentiles `json:"routed"`
	Direct     Percentiles `json:"direct"`
	// Added is the difference of the quantiles.
	Overhead Percentiles `json:"added"`
}

// Spread is quantiles in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Capacity is what one instance carries; Processor is its processor time in seconds.
type Capacity struct {
	Done                  int     `json:"done"`
	Rejected              int     `json:"refused"`
	LastError             string  `json:"failure,omitempty"`
	Seconds               float64 `json:"seconds"`
	CPUSeconds            float64 `json:"processor_seconds"`
	RequestsPerSecond     float64 `json:"per_second"`
	RequestsPerCoreSecond float64 `json:"per_core_second"`
}

func (s Percentiles) minus(o Percentiles) Percentiles {
	return Percentiles{
		P50: s.P50 - o.P50,
		P95: s.P95 - o.P95,
		P99: s.P99 - o.P99,
	}
}

// spread returns quantiles; three digits keep the error of a difference of two of them below 0.1 ms up to 50 ms.
func spread(times []time.Duration) Percentiles {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, d := range times {
		_ = h.RecordValue(int64(d / time.Microsecond)) // Calls are bounded far below a minute.
	}
	at := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return Percentiles{
		P50: at(50),
		P95: at(95),
		P99: at(99),
	}
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "first byte in ms\tpairs\tfailed\trouted p50\tp95\tp99\tdirect p50\tp95\tp99\tadded p50\tp95\tp99\t")
	for _, c := range r.Calls {
		kind := "non-idempotent"
		if c.Idempotent {
			kind = "idempotent"
		}
		_, _ = fmt.Fprintf(t, "%s (%s)\t%d\t%d\t%s%s%s\n", c.Class, kind, c.Pairs, c.Failed, c.Routed.cells(), c.Direct.cells(),
			c.Overhead.cells())
	}
	_, _ = fmt.Fprintf(t, "platform round trip\t\t\t%s\n", r.PlatformRoundTrip.cells())
	if err := t.Flush(); err != nil {
		return err
	}
	for _, c := range r.Calls {
		if c.Failed > 0 {
			_, _ = fmt.Fprintf(w, "%s: %d pairs without a figure, last failure %s\n", c.Class, c.Failed, c.LastError)
		}
	}
	if r.Capacity.Seconds > 0 {
		c := r.Capacity
		_, _ = fmt.Fprintf(w, "small chats: %d done and %d refused %s in %.1f s, %.0f/s, %.2f s of processor time, %.0f/s a core\n",
			c.Done, c.Rejected, c.LastError, c.Seconds, c.RequestsPerSecond, c.CPUSeconds, c.RequestsPerCoreSecond)
	}
	return nil
}

func (s Percentiles) cells() string {
	return fmt.Sprintf("%.2f\t%.2f\t%.2f\t", s.P50, s.P95, s.P99)
}
