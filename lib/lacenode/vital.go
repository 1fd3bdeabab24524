package lacenode

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacelog"
)

const (
	// vitalSamples is over how many looks the figures of a line are taken, which is about two seconds.
	vitalSamples = 8
	bitsOfByte   = 8
)

// vitals are what tells a full link, a lack of processor time and a slow store apart when a dependency is lost.
type vitals struct {
	// traffic is that of callers' and backend servers' connections, control that to the store and other instances.
	traffic laceconn.Traffic
	control laceconn.Traffic

	mu      sync.Mutex
	samples [vitalSamples]vital
	next    int
	// call is the longest call to the store since the last sample.
	call time.Duration
}

// vital is one look.
type vital struct {
	at      time.Time
	in, out int64
	// control are the bytes of calls to the store and other instances, in both directions.
	control int64
	// lag is how late the look was, which is how long this process waited for the processor.
	lag  time.Duration
	call time.Duration
}

// register shows the figures as metrics.
func (v *vitals) register(r *prometheus.Registry) {
	for direction, bytes := range map[string]func() int64{
		"in":  func() int64 { in, _ := v.traffic.Bytes(); return in },
		"out": func() int64 { _, out := v.traffic.Bytes(); return out },
	} {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "lace_node_bytes_total",
			Help:        "Bytes of callers' and backend servers' connections.",
			ConstLabels: prometheus.Labels{"direction": direction},
		}, func() float64 { return float64(bytes()) }))
	}
	for direction, bytes := range map[string]func() int64{
		"in":  func() int64 { in, _ := v.control.Bytes(); return in },
		"out": func() int64 { _, out := v.control.Bytes(); return out },
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
	}, func() float64 { return v.worst().lag.Seconds() }))
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lace_node_store_call_seconds",
		Help: "The longest call to the store lately, those that wait for changes left out.",
	}, func() float64 { return v.worst().call.Seconds() }))
}

// called takes in how long a call to the store took.
func (v *vitals) called(took time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.call = max(v.call, took)
}

// sample takes a look that was due at an interval after the one before, and returns it.
func (v *vitals) sample(now time.Time, interval time.Duration) vital {
	in, out := v.traffic.Bytes()
	v.mu.Lock()
	defer v.mu.Unlock()
	last := v.samples[(v.next+vitalSamples-1)%vitalSamples]
	x := vital{
		at:   now,
		in:   in,
		out:  out,
		call: v.call,

		control: v.controlBytes(),
	}
	if !last.at.IsZero() {
		x.lag = max(now.Sub(last.at)-interval, 0)
	}
	v.samples[v.next] = x
	v.next = (v.next + 1) % vitalSamples
	v.call = 0
	return x
}

func (v *vitals) controlBytes() int64 {
	in, out := v.control.Bytes()
	return in + out
}

// worst returns the largest delays lately.
func (v *vitals) worst() vital {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := vital{call: v.call}
	for _, x := range v.samples {
		w.lag, w.call = max(w.lag, x.lag), max(w.call, x.call)
	}
	return w
}

// pairs returns the figures for a line.
func (v *vitals) pairs() []lacelog.Pair {
	w := v.worst()
	in, out := v.traffic.Bytes()
	v.mu.Lock()
	oldest := v.samples[v.next]
	v.mu.Unlock()
	var kbitIn, kbitOut, kbitControl int64
	if ms := time.Since(oldest.at).Milliseconds(); !oldest.at.IsZero() && ms > 0 {
		kbitIn, kbitOut = bitsOfByte*(in-oldest.in)/ms, bitsOfByte*(out-oldest.out)/ms
		kbitControl = bitsOfByte * (v.controlBytes() - oldest.control) / ms
	}
	return []lacelog.Pair{
		lacelog.P("in_kbps", kbitIn), lacelog.P("out_kbps", kbitOut),
		lacelog.P("control_kbps", kbitControl), lacelog.P("call_ms", w.call.Milliseconds()),
		lacelog.P("lag_ms", w.lag.Milliseconds()),
	}
}
