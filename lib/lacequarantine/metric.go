package lacequarantine

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of a service; on a nil Metrics all methods do nothing.
type Metrics struct {
	crashes      prometheus.Counter
	refused      prometheus.Counter
	failedWrites prometheus.Counter
	blocked      prometheus.Gauge
	history      prometheus.Gauge
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lace_quarantine_crashes_total",
			Help: "Crashes of backend servers with a suspect request of this instance.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lace_quarantine_refused_total",
			Help: "Times that a request was kept from the backend servers because of the parts of its prompt.",
		}),
		failedWrites: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lace_quarantine_failed_writes_total",
			Help: "Failed writes of crashes and verdicts to the store.",
		}),
		blocked: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lace_quarantine_blocked",
			Help: "Combinations of prompt parts that are blocked.",
		}),
		history: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lace_quarantine_harmless",
			Help: "Prompt parts on which this instance knows that backend servers have written answers.",
		}),
	}
	r.MustRegister(m.crashes, m.refused, m.failedWrites, m.blocked, m.history)
	return m
}

func (m *Metrics) countCrash() {
	if m != nil {
		m.crashes.Inc()
	}
}

func (m *Metrics) countRefused() {
	if m != nil {
		m.refused.Inc()
	}
}

func (m *Metrics) countFailedWrite() {
	if m != nil {
		m.failedWrites.Inc()
	}
}

func (m *Metrics) setBlocked(n int) {
	if m != nil {
		m.blocked.Set(float64(n))
	}
}

func (m *Metrics) setHistorySize(n int) {
	if m != nil {
		m.history.Set(float64(n))
	}
}
