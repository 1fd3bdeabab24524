package lacestream

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of a service; a nil pointer records nothing.
type Metrics struct {
	takeUps *prometheus.CounterVec
	writes  *prometheus.CounterVec
}

// Ways in which the version of a stream was found, as label values.
const (
	foundHere    = "here"
	foundSingle  = "single"
	foundInStore = "store"
	notFound     = "unknown"
)

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		takeUps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_stream_takeups_total",
			Help: "Streams that clients took up, by where their software version was found; unknown ones are refused.",
		}, []string{"found"}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_stream_writes_total",
			Help: "Writes of notes on streams and of software versions in service to the store.",
		}, []string{"record", "result"}),
	}
	r.MustRegister(m.takeUps, m.writes)
	return m
}

func (m *Metrics) countTakeUp(found string) {
	if m != nil {
		m.takeUps.WithLabelValues(found).Inc()
	}
}

func (m *Metrics) countWrite(record string, err error) {
	if m == nil {
		return
	}
	result := "done"
	if err != nil {
		result = "failed"
	}
	m.writes.WithLabelValues(record, result).Inc()
}
