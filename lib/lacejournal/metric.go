package lacejournal

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	entries *prometheus.GaugeVec
	copies  *prometheus.CounterVec
	flushes *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		entries: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "lace_journal_entries",
			Help: "Entries of the offline journal: own, copied, and refused by the ledger.",
		}, []string{"kind"}),
		copies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_journal_copies_total",
			Help: "Copies given to and taken from other instances, by result.",
		}, []string{"side", "result"}),
		flushes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_journal_flushes_total",
			Help: "Entries submitted to the ledger, by result.",
		}, []string{"result"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.entries, m.copies, m.flushes)
	}
	return m
}

func (m *metrics) observe(book *State) {
	own, copies := book.Counts()
	m.entries.WithLabelValues("own").Set(float64(own))
	m.entries.WithLabelValues("copied").Set(float64(copies))
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrSealed):
		return "sealed"
	case errors.Is(err, ErrFull):
		return "full"
	default:
		return "error"
	}
}
