package lacenode

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacelimit"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

const (
	// sampleCount is the number of samples that a log line covers, which is about two seconds.
	sampleCount = 8
	bitsPerByte = 8
)

// resourceMonitor measures what distinguishes a saturated link, a lack of CPU time and a slow store when a dependency
// is lost.
type resourceMonitor struct {
	// dataTraffic is the traffic of connections to callers and backend servers, controlTraffic that to the store and
	// other instances.
	dataTraffic    laceconn.Traffic
	controlTraffic laceconn.Traffic

	mu         sync.Mutex
	samples    [sampleCount]resourceSample
	nextSample int
	// maxStoreCall is the longest call to the store since the last sample.
	maxStoreCall time.Duration
}

// resourceSample is one sample.
type resourceSample struct {
	takenAt           time.Time
	bytesIn, bytesOut int64
	// controlBytes are the bytes of calls to the store and other instances, in both directions.
	controlBytes int64
	// lag is how late the sample was taken, that is how long this process waited for the CPU.
	lag       time.Duration
	storeCall time.Duration
}

// registerMetrics registers the measurements as metrics.
func (m *resourceMonitor) registerMetrics(r *prometheus.Registry) {
	for direction, bytes := range map[string]func() int64{
		"in":  func() int64 { in, _ := m.dataTraffic.Bytes(); return in },
		"out": func() int64 { _, out := m.dataTraffic.Bytes(); return out },
	} {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "lace_node_bytes_total",
			Help:        "Bytes of callers' and backend servers' connections.",
			ConstLabels: prometheus.Labels{"direction": direction},
		}, func() float64 { return float64(bytes()) }))
	}
	for direction, bytes := range map[string]func() int64{
		"in":  func() int64 { in, _ := m.controlTraffic.Bytes(); return in },
		"out": func() int64 { _, out := m.controlTraffic.Bytes(); return out },
	} {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "lace_node_control_bytes_total",
			Help:        "Bytes of this instance's calls to the store and to other instances.",
			ConstLabels: prometheus.Labels{"direction": direction},
		}, func() float64 { return float64(bytes()) }))
	}
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lace_node_lag_seconds",
		Help: "How late this process lately was with what it does at intervals, for want of the processor.",
	}, func() float64 { return m.maxDelays().lag.Seconds() }))
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lace_node_store_call_seconds",
		Help: "The longest call to the store lately, those that wait for changes left out.",
	}, func() float64 { return m.maxDelays().storeCall.Seconds() }))
}

// recordStoreCall records the duration of a call to the store.
func (m *resourceMonitor) recordStoreCall(duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maxStoreCall = max(m.maxStoreCall, duration)
}

// linkTraffic returns what has been transferred over the machine's link so far.
func (m *resourceMonitor) linkTraffic() lacelimit.LinkTraffic {
	in, out := m.dataTraffic.Bytes()
	controlIn, controlOut := m.controlTraffic.Bytes()
	return lacelimit.LinkTraffic{
		In:         laceunit.Bytes(in + controlIn),
		Out:        laceunit.Bytes(out + controlOut),
		ControlIn:  laceunit.Bytes(controlIn),
		ControlOut: laceunit.Bytes(controlOut),
	}
}

// sample takes a sample that was due one interval after the previous one.
func (m *resourceMonitor) sample(now time.Time, interval time.Duration) {
	in, out := m.dataTraffic.Bytes()
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.samples[(m.nextSample+sampleCount-1)%sampleCount]
	s := resourceSample{
		takenAt:   now,
		bytesIn:   in,
		bytesOut:  out,
		storeCall: m.maxStoreCall,

		controlBytes: m.controlBytes(),
	}
	if !last.takenAt.IsZero() {
		s.lag = max(now.Sub(last.takenAt)-interval, 0)
	}
	m.samples[m.nextSample] = s
	m.nextSample = (m.nextSample + 1) % sampleCount
	m.maxStoreCall = 0
}

func (m *resourceMonitor) controlBytes() int64 {
	in, out := m.controlTraffic.Bytes()
	return in + out
}

// maxDelays returns a sample with the maximum delays of the recent samples.
func (m *resourceMonitor) maxDelays() resourceSample {
	m.mu.Lock()
	defer m.mu.Unlock()
	delays := resourceSample{storeCall: m.maxStoreCall}
	for _, x := range m.samples {
		delays.lag, delays.storeCall = max(delays.lag, x.lag), max(delays.storeCall, x.storeCall)
	}
	return delays
}

// logFields returns the measurements as fields of a log line.
func (m *resourceMonitor) logFields() []lacelog.Pair {
	delays := m.maxDelays()
	in, out := m.dataTraffic.Bytes()
	m.mu.Lock()
	oldest := m.samples[m.nextSample]
	m.mu.Unlock()
	var kbitIn, kbitOut, kbitControl int64
	if ms := time.Since(oldest.takenAt).Milliseconds(); !oldest.takenAt.IsZero() && ms > 0 {
		kbitIn, kbitOut = bitsPerByte*(in-oldest.bytesIn)/ms, bitsPerByte*(out-oldest.bytesOut)/ms
		kbitControl = bitsPerByte * (m.controlBytes() - oldest.controlBytes) / ms
	}
	return []lacelog.Pair{
		lacelog.P("in_kbps", kbitIn), lacelog.P("out_kbps", kbitOut),
		lacelog.P("control_kbps", kbitControl), lacelog.P("call_ms", delays.storeCall.Milliseconds()),
		lacelog.P("lag_ms", delays.lag.Milliseconds()),
	}
}
