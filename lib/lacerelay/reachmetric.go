package lacerelay

import "github.com/prometheus/client_golang/prometheus"

// ReachMetrics are the metrics of a Reach; on a nil ReachMetrics all methods do nothing.
type ReachMetrics struct {
	changes  *prometheus.CounterVec
	isolated prometheus.Gauge
}

// NewReachMetrics returns metrics that are registered with r.
func NewReachMetrics(r prometheus.Registerer) *ReachMetrics {
	m := &ReachMetrics{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_reach_changes_total",
			Help: "How often this instance has lost all backend servers (isolated) and reached them again (reachable).",
		}, []string{"state"}),
		isolated: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lace_reach_isolated",
			Help: "1 while this instance reaches no backend server, else 0.",
		}),
	}
	r.MustRegister(m.changes, m.isolated)
	return m
}

func (m *ReachMetrics) setIsolated(isolated bool) {
	if m == nil {
		return
	}
	state, value := "reachable", 0.0
	if isolated {
		state, value = "isolated", 1
	}
	m.changes.WithLabelValues(state).Inc()
	m.isolated.Set(value)
}
