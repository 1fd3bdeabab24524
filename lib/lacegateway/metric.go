package lacegateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacerequest"
	"lacewingcove/lib/laceunit"
)

// Metrics counts what the gateway does; label values come from closed sets.
type Metrics struct {
	running  prometheus.Gauge
	finished prometheus.Counter
	refusals *prometheus.CounterVec
	attempts *prometheus.CounterVec
	notices  *prometheus.CounterVec
	overruns prometheus.Counter
	open     prometheus.Gauge
	traces   prometheus.Counter
	first    prometheus.Histogram
	total    prometheus.Histogram
}

// NewMetrics returns the gateway's metrics; a nil registerer leaves them unregistered.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 18)
	m := &Metrics{
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lace_requests_running",
			Help: "Requests under way.",
		}),
		finished: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lace_requests_done_total",
			Help: "Requests that ended with a whole and billed answer.",
		}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_requests_refused_total",
			Help: "Requests that ended without a whole answer, by code and outcome.",
		}, []string{"code", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_attempts_failed_total",
			Help: "Attempts at backend servers without a whole answer, by whether they may have run.",
		}, []string{"ran"}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_server_notices_total",
			Help: "Answers of backend servers by what they ask of this instance: leaving, pause, limit or unread.",
		}, []string{"notice"}),
		overruns: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "overrun_tokens_total",
			Help: "Tokens that backend servers reported beyond the reservation; they are not charged.",
		}),
		open: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lace_records_open",
			Help: "Ledger records that the background still has to append.",
		}),
		traces: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lace_traces_failed_total",
			Help: "Request traces that could not be written.",
		}),
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "lace_first_byte_seconds",
			Help:    "Time from admission to the first byte of a streamed answer.",
			Buckets: buckets,
		}),
		total: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "lace_request_seconds",
			Help:    "Time from admission to the end of a whole answer.",
			Buckets: buckets,
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.running, m.finished, m.refusals, m.attempts, m.notices, m.overruns, m.open, m.traces, m.first, m.total)
	}
	return m
}

func (m *Metrics) begin()                         { m.running.Inc() }
func (m *Metrics) end()                           { m.running.Dec() }
func (m *Metrics) pending(n int)                  { m.open.Set(float64(n)) }
func (m *Metrics) overrun(tokens laceunit.Tokens) { m.overruns.Add(float64(tokens)) }
func (m *Metrics) firstByte(d time.Duration)      { m.first.Observe(d.Seconds()) }

func (m *Metrics) traceFailed() { m.traces.Inc() }

func (m *Metrics) done(d time.Duration) {
	m.finished.Inc()
	m.total.Observe(d.Seconds())
}

func (m *Metrics) refused(f *lacefault.Fault) {
	m.refusals.WithLabelValues(string(f.Code), string(f.Outcome)).Inc()
}

func (m *Metrics) noticed(n lacebackend.Notice) {
	if n.Leaving {
		m.notices.WithLabelValues("leaving").Inc()
	}
	if n.Pause > 0 {
		m.notices.WithLabelValues("pause").Inc()
	}
	if n.Limit.Present {
		m.notices.WithLabelValues("limit").Inc()
	}
	if n.HeaderError != nil || n.Limit.ParseError != nil {
		m.notices.WithLabelValues("unread").Inc()
	}
}

func (m *Metrics) attemptFailed(class lacerequest.FailureClass) {
	ran := "maybe"
	if class == lacerequest.NotRun {
		ran = "no"
	}
	m.attempts.WithLabelValues(ran).Inc()
}
