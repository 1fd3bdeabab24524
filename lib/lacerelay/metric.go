package lacerelay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the metrics of a relay; on a nil Metrics all methods do nothing.
type Metrics struct {
	requests          *prometheus.CounterVec
	attempts          *prometheus.CounterVec
	notices           *prometheus.CounterVec
	withheld          *prometheus.CounterVec
	crashes           *prometheus.CounterVec
	excused           *prometheus.CounterVec
	forwarded         *prometheus.CounterVec
	requestSeconds    *prometheus.HistogramVec
	firstEventSeconds *prometheus.HistogramVec
	firstEventRatio   *prometheus.HistogramVec
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_relay_requests_total",
			Help: "Requests by service and how they ended for the caller.",
		}, []string{"service", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_relay_attempts_total",
			Help: "Attempts at backend servers by service and how they ended.",
		}, []string{"service", "ending"}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_relay_notices_total",
			Help: "Answers of backend servers by service and by what their header asks of this instance.",
		}, []string{"service", "notice"}),
		withheld: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_relay_withheld_total",
			Help: "Requests kept from servers that leave or pause, by service, cause and what became of the request.",
		}, []string{"service", "cause", "decision"}),
		crashes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_relay_crashed_attempts_total",
			Help: "Attempts at prompts with shared parts that broke off because their server crashed, by service.",
		}, []string{"service"}),
		excused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_relay_excused_total",
			Help: "Time-outs of servers that are put down to this instance's saturated link, by service and cause.",
		}, []string{"service", "cause"}),
		forwarded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_relay_forwarded_total",
			Help: "Requests forwarded to other instances by service and how that ended; not_sent: not handled there.",
		}, []string{"service", "ending"}),
		requestSeconds: histogram("lace_relay_request_seconds", "Time from a request's arrival to its end."),
		firstEventSeconds: histogram("lace_relay_first_event_seconds",
			"Time from a request's arrival to the first event of its stream."),
		firstEventRatio: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "lace_relay_first_event_ratio",
			Help:    "Time from an attempt's start to its first event, relative to the estimate by which it was placed.",
			Buckets: prometheus.ExponentialBuckets(firstRatioBucket, bucketFactor, ratioBuckets),
		}, []string{"service"}),
	}
	r.MustRegister(m.requests, m.attempts, m.notices, m.withheld, m.crashes, m.excused, m.forwarded, m.requestSeconds,
		m.firstEventSeconds, m.firstEventRatio)
	return m
}

func histogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    name,
		Help:    help,
		Buckets: prometheus.ExponentialBuckets(firstBucket, bucketFactor, buckets),
	}, []string{"service"})
}

// The histogram buckets range from 5 ms to 20 s.
const (
	firstBucket  = 0.005
	bucketFactor = 2
	buckets      = 13
)

// The buckets of the observed relative to the estimated time range from 1/8 to 16.
const (
	firstRatioBucket = 0.125
	ratioBuckets     = 8
)

func (m *Metrics) observeRequest(j *job, outcome string, duration time.Duration) {
	if m != nil {
		m.requests.WithLabelValues(string(j.service), outcome).Inc()
		m.requestSeconds.WithLabelValues(string(j.service)).Observe(duration.Seconds())
	}
}

func (m *Metrics) countAttempt(j *job, outcome attemptOutcome) {
	if m != nil {
		m.attempts.WithLabelValues(string(j.service), outcome.String()).Inc()
	}
}

func (m *Metrics) countNotice(j *job, notice string) {
	if m != nil {
		m.notices.WithLabelValues(string(j.service), notice).Inc()
	}
}

func (m *Metrics) countWithheld(j *job, cause, decision string) {
	if m != nil {
		m.withheld.WithLabelValues(string(j.service), cause, decision).Inc()
	}
}

func (m *Metrics) countCrash(j *job) {
	if m != nil {
		m.crashes.WithLabelValues(string(j.service)).Inc()
	}
}

func (m *Metrics) countExcused(j *job, cause string) {
	if m != nil {
		m.excused.WithLabelValues(string(j.service), cause).Inc()
	}
}

func (m *Metrics) countForwarded(j *job, outcome attemptOutcome) {
	if m != nil {
		m.forwarded.WithLabelValues(string(j.service), outcome.String()).Inc()
	}
}

func (m *Metrics) observeFirstEvent(j *job, latency time.Duration) {
	if m != nil {
		m.firstEventSeconds.WithLabelValues(string(j.service)).Observe(latency.Seconds())
	}
}

// observeEstimate compares the time to the first event with the estimate, if the attempt was placed by one.
func (m *Metrics) observeEstimate(j *job, latency time.Duration) {
	if m != nil && j.expectedFirstEvent > 0 {
		m.firstEventRatio.WithLabelValues(string(j.service)).Observe(latency.Seconds() / j.expectedFirstEvent.Seconds())
	}
}
