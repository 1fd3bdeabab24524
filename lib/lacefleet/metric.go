package lacefleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/lacemember"
)

type metrics struct {
	epoch             prometheus.Gauge
	mode              *prometheus.GaugeVec
	promisesHeld      prometheus.Gauge
	promisesGiven     prometheus.Gauge
	platformReachable prometheus.Gauge
	members           prometheus.Gauge
	messages          *prometheus.CounterVec
	droppedEffects    prometheus.Counter
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
		promisesHeld: gauge("lace_member_promises_held",
			"Promises that other members have given to this instance."),
		promisesGiven:     gauge("lace_member_promises_given", "Homes whose requests this instance refuses."),
		platformReachable: gauge("lace_member_platform_reachable", "1 while the platform is within reach."),
		members:           gauge("lace_member_members", "Members of the last agreed membership."),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lace_member_messages_total",
			Help: "Messages to other members by kind and result.",
		}, []string{"kind", "result"}),
		droppedEffects: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lace_member_dropped_total",
			Help: "Effects dropped because the queue was full.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.epoch, m.mode, m.promisesHeld, m.promisesGiven, m.platformReachable, m.members,
			m.messages, m.droppedEffects)
	}
	return m
}

func (m *metrics) observe(machine *lacemember.Machine, mode lacemember.Mode) {
	record := machine.Record()
	held, given := machine.Promises()
	m.epoch.Set(float64(record.Epoch))
	m.members.Set(float64(len(record.Members)))
	m.promisesHeld.Set(float64(held))
	m.promisesGiven.Set(float64(given))
	m.platformReachable.Set(boolToFloat(machine.PlatformReachable()))
	for o := lacemember.ModeOnline; o <= lacemember.ModeFlushing; o++ {
		m.mode.WithLabelValues(o.String()).Set(boolToFloat(o == mode))
	}
}

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func resultLabel(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}

func messageKind(message lacemember.Message) string {
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
