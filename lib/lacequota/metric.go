package lacequota

import (
	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/laceunit"
)

// Metrics are the metrics of a quota service; a nil *Metrics records nothing.
type Metrics struct {
	updates   prometheus.Counter
	conflicts prometheus.Counter
	failures  prometheus.Counter
	loans     *prometheus.CounterVec
	proposals *prometheus.CounterVec
	writes    prometheus.Counter
	fallbacks prometheus.Counter
	cap       *prometheus.GaugeVec
	used      *prometheus.GaugeVec
}

// NewMetrics creates and registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		updates: newCounter("lace_quota_draws_total", "Accounts drawn for in the store."),
		conflicts: newCounter("lace_quota_conflicts_total",
			"Draws planned again because another instance wrote first."),
		failures: newCounter("lace_quota_failures_total", "Draws that the store did not confirm."),
		loans: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_quota_loan_tokens_total",
			Help: "Tokens that were lent to other instances or borrowed from them.",
		}, []string{"direction"}),
		proposals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_quota_proposals_total",
			Help: "Proposals of all instances that this instance answered as the writer of their accounts.",
		}, []string{"outcome"}),
		writes: newCounter("lace_quota_group_writes_total", "Calls to the store as the writer of a group of accounts."),
		fallbacks: newCounter("lace_quota_fallbacks_total",
			"Calls with proposals that the writer did not answer, so that this instance wrote directly."),
		cap:  newGauge("lace_quota_cap_tokens", "What this instance may spend of an account in total."),
		used: newGauge("lace_quota_used_tokens", "What this instance has spent of an account."),
	}
	r.MustRegister(m.updates, m.conflicts, m.failures, m.loans, m.proposals, m.writes, m.fallbacks, m.cap, m.used)
	return m
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Name: name,
		Help: help,
	})
}

func newGauge(name, help string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: name,
		Help: help,
	}, []string{"account"})
}

func (m *Metrics) countFailure() {
	if m != nil {
		m.failures.Inc()
	}
}

func (m *Metrics) countConflict() {
	if m != nil {
		m.conflicts.Inc()
	}
}

func (m *Metrics) countGroupWrite() {
	if m != nil {
		m.writes.Inc()
	}
}

func (m *Metrics) countFallback() {
	if m != nil {
		m.fallbacks.Inc()
	}
}

func (m *Metrics) countProposal(o Outcome) {
	if m != nil {
		m.proposals.WithLabelValues(o.String()).Inc()
	}
}

func (m *Metrics) addLent(amount laceunit.Tokens) { m.addLoan("lent", amount) }

func (m *Metrics) addBorrowed(amount laceunit.Tokens) { m.addLoan("borrowed", amount) }

func (m *Metrics) addLoan(direction string, amount laceunit.Tokens) {
	if m != nil {
		m.loans.WithLabelValues(direction).Add(float64(amount))
	}
}

func (m *Metrics) observe(account laceunit.AccountID, s State) {
	if m == nil {
		return
	}
	m.updates.Inc()
	m.cap.WithLabelValues(string(account)).Set(float64(s.Cap))
	m.used.WithLabelValues(string(account)).Set(float64(s.Used))
}
