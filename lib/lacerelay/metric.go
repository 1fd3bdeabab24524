package lacerelay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the counters of a relay; a nil one counts nothing.
type Metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	notices  *prometheus.CounterVec
	held     *prometheus.CounterVec
	took     *prometheus.HistogramVec
	begun    *prometheus.HistogramVec
}

// NewMetrics registers the counters.
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
		held: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_relay_withheld_total",
			Help: "Requests kept from servers that leave or pause, by service, cause and what became of the request.",
		}, []string{"service", "cause", "decision"}),
		took:  histogram("lace_relay_request_seconds", "Time from a request's arrival to its end."),
		begun: histogram("lace_relay_first_event_seconds", "Time from a request's arrival to the first event of its stream."),
	}
	r.MustRegister(m.requests, m.attempts, m.notices, m.held, m.took, m.begun)
	return m
}

func histogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    name,
		Help:    help,
		Buckets: prometheus.ExponentialBuckets(firstBucket, bucketFactor, buckets),
	}, []string{"service"})
}

// The buckets reach from 5 ms to 20 s.
const (
	firstBucket  = 0.005
	bucketFactor = 2
	buckets      = 13
)

func (m *Metrics) done(j *job, outcome string, took time.Duration) {
	if m != nil {
		m.requests.WithLabelValues(string(j.service), outcome).Inc()
		m.took.WithLabelValues(string(j.service)).Observe(took.Seconds())
	}
}

func (m *Metrics) attempted(j *job, end ending) {
	if m != nil {
		m.attempts.WithLabelValues(string(j.service), end.String()).Inc()
	}
}

func (m *Metrics) noticed(j *job, notice string) {
	if m != nil {
		m.notices.WithLabelValues(string(j.service), notice).Inc()
	}
}

func (m *Metrics) withheld(j *job, cause, decision string) {
	if m != nil {
		m.held.WithLabelValues(string(j.service), cause, decision).Inc()
	}
}

func (m *Metrics) first(j *job, took time.Duration) {
	if m != nil {
		m.begun.WithLabelValues(string(j.service)).Observe(took.Seconds())
	}
}
