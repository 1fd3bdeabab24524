package lacerouter

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// newPlatformMetrics registers the metrics of platform calls by kind and result, and returns their observer.
func newPlatformMetrics(registerer prometheus.Registerer) laceplatform.Observer {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lace_platform_calls_total",
		Help: "Calls to the platform by kind and result.",
	}, []string{"kind", "result"})
	seconds := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "lace_platform_call_seconds",
		Help:    "Time that calls to the platform took, by kind.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
	}, []string{"kind"})
	registerer.MustRegister(calls, seconds)
	return laceplatform.ObserverFunc(func(c laceplatform.Call) {
		calls.WithLabelValues(string(c.Kind), callResult(c.Err)).Inc()
		seconds.WithLabelValues(string(c.Kind)).Observe(c.Duration.Seconds())
	})
}

// newVersionMetric registers the version of the configuration in force, which operators compare between instances.
func newVersionMetric(registerer prometheus.Registerer, version func() laceunit.Version) {
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lace_configuration_version",
		Help: "Version of the configuration in force; 0 before the first one.",
	}, func() float64 { return float64(version()) }))
}

// callResult maps the error of a platform call to one of a fixed set of label values.
func callResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, laceplatform.ErrConflict):
		return "conflict"
	case errors.Is(err, laceplatform.ErrMissing):
		return "missing"
	case errors.Is(err, laceplatform.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, laceplatform.ErrUnknown):
		return "unknown"
	default:
		return "other"
	}
}
