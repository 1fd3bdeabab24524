package lacelistener

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Reasons for which clients are refused or closed.
const (
	reasonConnections = "connections"
	reasonHead        = "head"
	// Body and Answer are the reasons for the memory of requests' bodies and of responses.
	Body   = "body"
	Answer = "answer"
)

// metrics are the counters of a guard.
type metrics struct {
	limited *prometheus.CounterVec
}

func newMetrics(o Options, usage func() (int64, int)) *metrics {
	if o.Registerer == nil {
		return nil
	}
	labels := prometheus.Labels{"from": o.Name}
	m := &metrics{limited: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name:        "lace_clients_limited_total",
		Help:        "Connections closed and requests refused because clients held all memory or connections.",
		ConstLabels: labels,
	}, []string{"reason", "action"})}
	o.Registerer.MustRegister(m.limited,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "lace_clients_bytes",
			Help:        "Memory that clients are charged for.",
			ConstLabels: labels,
		}, func() float64 { bytes, _ := usage(); return float64(bytes) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "lace_clients_connections",
			Help:        "Open connections of clients.",
			ConstLabels: labels,
		}, func() float64 { _, connections := usage(); return float64(connections) }))
	return m
}

// count counts closed connections and refused requests; connections that are not accepted count as refused.
func (m *metrics) count(reason string, closed, refused int) {
	if m == nil {
		return
	}
	if closed > 0 {
		m.limited.WithLabelValues(reason, "closed").Add(float64(closed))
	}
	if refused > 0 {
		m.limited.WithLabelValues(reason, "refused").Add(float64(refused))
	}
}
