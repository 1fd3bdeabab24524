package lacegateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacerequest"
	"lacewingcove/lib/laceunit"
)

// Metrics are the metrics of the gateway; their labels have a fixed set of values.
type Metrics struct {
	running          prometheus.Gauge
	completed        prometheus.Counter
	refusals         *prometheus.CounterVec
	failedAttempts   *prometheus.CounterVec
	notices          *prometheus.CounterVec
	overrunTokens    prometheus.Counter
	pendingRecords   prometheus.Gauge
	failedTraces     prometheus.Counter
	firstByteLatency prometheus.Histogram
	requestLatency   prometheus.Histogram
}

// NewMetrics returns the gateway's metrics; a nil registerer leaves them unregistered.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 18)
	m := &Metrics{
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lace_requests_running",
			Help: "Requests under way.",
		}),
		completed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lace_requests_done_total",
			Help: "Requests that ended with a whole and billed answer.",
		}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_requests_refused_total",
			Help: "Requests that ended without a whole answer, by code and outcome.",
		}, []string{"code", "outcome"}),
		failedAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_attempts_failed_total",
			Help: "Attempts at backend servers without a whole answer, by whether they may have run.",
		}, []string{"ran"}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_server_notices_total",
			Help: "Answers of backend servers by what they ask of this instance: leaving, pause, limit or unread.",
		}, []string{"notice"}),
		overrunTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "overrun_tokens_total",
			Help: "Tokens that backend servers reported beyond the reservation; they are not charged.",
		}),
		pendingRecords: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lace_records_open",
			Help: "Ledger records that the background still has to append.",
		}),
		failedTraces: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lace_traces_failed_total",
			Help: "Request traces that could not be written.",
		}),
		firstByteLatency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "lace_first_byte_seconds",
			Help:    "Time from admission to the first byte of a streamed answer.",
			Buckets: buckets,
		}),
		requestLatency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "lace_request_seconds",
			Help:    "Time from admission to the end of a whole answer.",
			Buckets: buckets,
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.running, m.completed, m.refusals, m.failedAttempts, m.notices, m.overrunTokens,
			m.pendingRecords, m.failedTraces, m.firstByteLatency, m.requestLatency)
	}
	return m
}

func (m *Metrics) requestStarted()                         { m.running.Inc() }
func (m *Metrics) requestEnded()                           { m.running.Dec() }
func (m *Metrics) setPendingRecords(n int)                 { m.pendingRecords.Set(float64(n)) }
func (m *Metrics) addOverrunTokens(tokens laceunit.Tokens) { m.overrunTokens.Add(float64(tokens)) }
func (m *Metrics) observeFirstByte(d time.Duration)        { m.firstByteLatency.Observe(d.Seconds()) }

func (m *Metrics) traceFailed() { m.failedTraces.Inc() }

func (m *Metrics) requestCompleted(d time.Duration) {
	m.completed.Inc()
	m.requestLatency.Observe(d.Seconds())
}

func (m *Metrics) requestRefused(f *lacefault.Fault) {
	m.refusals.WithLabelValues(string(f.Code), string(f.Outcome)).Inc()
}

func (m *Metrics) noticeReceived(n lacebackend.Notice) {
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
	m.failedAttempts.WithLabelValues(ran).Inc()
}
