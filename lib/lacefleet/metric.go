package lacefleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/lacemember"
)

type metrics struct {
	epoch    prometheus.Gauge
	mode     *prometheus.GaugeVec
	held     prometheus.Gauge
	given    prometheus.Gauge
	platform prometheus.Gauge
	members  prometheus.Gauge
	sent     *prometheus.CounterVec
	dropped  prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{
			Name: name,
			Help: help,
		})
	}
	m := &metrics{
		epoch: gauge("lace_member_epoch", "Epoch of the last agreed membership."),
		mode: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "lace_member_mode",
			Help: "1 for the current mode, 0 for the others.",
		}, []string{"mode"}),
		held:     gauge("lace_member_promises_held", "Promises that other members have given to this instance."),
		given:    gauge("lace_member_promises_given", "Homes whose requests this instance refuses."),
		platform: gauge("lace_member_platform_reachable", "1 while the platform is within reach."),
		members:  gauge("lace_member_members", "Members of the last agreed membership."),
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_member_messages_total",
			Help: "Messages to other members by kind and result.",
		}, []string{"kind", "result"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lace_member_dropped_total",
			Help: "Effects dropped because the queue was full.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.epoch, m.mode, m.held, m.given, m.platform, m.members, m.sent, m.dropped)
	}
	return m
}

func (m *metrics) observe(machine *lacemember.Machine, mode lacemember.Mode) {
	record := machine.Record()
	held, given := machine.Promises()
	m.epoch.Set(float64(record.Epoch))
	m.members.Set(float64(len(record.Members)))
	m.held.Set(float64(held))
	m.given.Set(float64(given))
	m.platform.Set(bit(machine.PlatformReachable()))
	for o := lacemember.ModeOnline; o <= lacemember.ModeFlushing; o++ {
		m.mode.WithLabelValues(o.String()).Set(bit(o == mode))
	}
}

func bit(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

func result(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}

func kindOf(message lacemember.Message) string {
	switch message.(type) {
	case lacemember.ProbeAsk:
		return "probe"
	case lacemember.PromiseAsk:
		return "promise"
	case lacemember.ReleaseNote:
		return "release"
	case lacemember.AckAsk:
		return "acknowledge"
	case lacemember.SealAsk:
		return "seal"
	default:
		return "other"
	}
}
