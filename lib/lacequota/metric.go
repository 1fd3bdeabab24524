package lacequota

import (
	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/laceunit"
)

// Metrics are the counters of a quota service; a nil one counts nothing.
type Metrics struct {
	draws     prometheus.Counter
	conflicts prometheus.Counter
	failures  prometheus.Counter
	loans     *prometheus.CounterVec
	cap       *prometheus.GaugeVec
	used      *prometheus.GaugeVec
}

// NewMetrics registers the counters.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		draws:     counter("lace_quota_draws_total", "Accounts drawn for in the store."),
		conflicts: counter("lace_quota_conflicts_total", "Draws planned again because another instance wrote first."),
		failures:  counter("lace_quota_failures_total", "Draws that the store did not confirm."),
		loans: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_quota_loan_tokens_total",
			Help: "Tokens that were lent to other instances or borrowed from them.",
		}, []string{"direction"}),
		cap:  gauge("lace_quota_cap_tokens", "What this instance may spend of an account in total."),
		used: gauge("lace_quota_used_tokens", "What this instance has spent of an account."),
	}
	r.MustRegister(m.draws, m.conflicts, m.failures, m.loans, m.cap, m.used)
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Name: name,
		Help: help,
	})
}

func gauge(name, help string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: name,
		Help: help,
	}, []string{"account"})
}

func (m *Metrics) failed() {
	if m != nil {
		m.failures.Inc()
	}
}

func (m *Metrics) conflicted() {
	if m != nil {
		m.conflicts.Inc()
	}
}

func (m *Metrics) lent(amount laceunit.Tokens) { m.loan("lent", amount) }

func (m *Metrics) borrowed(amount laceunit.Tokens) { m.loan("borrowed", amount) }

func (m *Metrics) loan(direction string, amount laceunit.Tokens) {
	if m != nil {
		m.loans.WithLabelValues(direction).Add(float64(amount))
	}
}

func (m *Metrics) observe(account laceunit.AccountID, s State) {
	if m == nil {
		return
	}
	m.draws.Inc()
	m.cap.WithLabelValues(string(account)).Set(float64(s.Cap))
	m.used.WithLabelValues(string(account)).Set(float64(s.Used))
}
