package laceshare

import (
	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/lacebalancer"
)

// Metrics are the figures of a service; a nil one counts nothing.
type Metrics struct {
	servers prometheus.Gauge
	rate    *prometheus.GaugeVec
	limit   *prometheus.GaugeVec
	writes  *prometheus.CounterVec
}

// Results of writes.
const (
	resultDone     = "done"
	resultConflict = "conflict"
	resultFailed   = "failed"
	resultDropped  = "dropped"
)

// NewMetrics registers the figures.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		servers: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lace_share_servers",
			Help: "Backend servers that have named a limit.",
		}),
		rate: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "lace_share_rate",
			Help: "Requests a second that this instance may send to a backend server with a limit.",
		}, []string{"server"}),
		limit: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "lace_share_limit",
			Help: "Requests a second that a backend server takes from all instances together.",
		}, []string{"server"}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_share_writes_total",
			Help: "Changes of who holds parts of limits, by cause and result.",
		}, []string{"cause", "result"}),
	}
	r.MustRegister(m.servers, m.rate, m.limit, m.writes)
	return m
}

func (m *Metrics) observe(servers int) {
	if m != nil {
		m.servers.Set(float64(servers))
	}
}

func (m *Metrics) allow(s Server, a lacebalancer.Allowance) {
	if m != nil {
		m.rate.WithLabelValues(string(s.ID)).Set(float64(a.Rate))
		m.limit.WithLabelValues(string(s.ID)).Set(float64(a.Total))
	}
}

func (m *Metrics) forget(s Server) {
	if m != nil {
		m.rate.DeleteLabelValues(string(s.ID))
		m.limit.DeleteLabelValues(string(s.ID))
	}
}

func (m *Metrics) wrote(cause Cause, result string) {
	if m != nil {
		m.writes.WithLabelValues(string(cause), result).Inc()
	}
}
