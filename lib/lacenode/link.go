package lacenode

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/lacelimit"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacerelay"
	"lacewingcove/lib/laceunit"
)

// bitsPerMegabit converts the bandwidth in the settings.
const bitsPerMegabit = 1e6

var _ lacerelay.Link = (*link)(nil)

// link makes the admission control by link bandwidth safe for concurrent use, measures the use of the link and counts
// decisions.
type link struct {
	traffic func() lacelimit.LinkTraffic

	mu      sync.Mutex
	limiter lacelimit.Link
	// saturated is the state that was last logged.
	saturated bool

	admitted prometheus.Counter
	refused  prometheus.Counter
}

// newLink returns the admission control for a link of some Mbit/s; zero means that the bandwidth is not known. traffic
// returns what has been transferred so far.
func newLink(megabits float64, traffic func() lacelimit.LinkTraffic, r prometheus.Registerer) *link {
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lace_link_bytes_total",
		Help: "Bytes that requests were expected to take of the link in each direction, by whether it had room for them.",
	}, []string{"decision"})
	l := &link{
		traffic: traffic,
		limiter: lacelimit.Link{
			Rate: megabits * bitsPerMegabit / bitsPerByte,
		},
		admitted: decisions.WithLabelValues("admitted"),
		refused:  decisions.WithLabelValues("refused"),
	}
	rate := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lace_link_rate_bytes",
		Help: "Bytes a second in each direction for which requests are admitted at present; 0 means without bound.",
	}, l.rate)
	r.MustRegister(decisions, rate)
	for name, value := range map[string]func() float64{
		"in":  func() float64 { in, _ := l.use(); return in },
		"out": func() float64 { _, out := l.use(); return out },
	} {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "lace_link_use_ratio",
			Help:        "Part of the link that was in use when it was last measured; 0 if its rate is not known.",
			ConstLabels: prometheus.Labels{"direction": name},
		}, value))
	}
	return l
}

func (l *link) use() (in, out float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Use()
}

func (l *link) rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.AdmittedRate()
}

// Admit implements lacerelay.Link.
func (l *link) Admit(now time.Time, r lacelimit.LinkRequest) lacelimit.LinkVerdict {
	l.mu.Lock()
	l.limiter.Observe(time.Now(), l.traffic())
	v := l.limiter.Admit(now, r)
	l.mu.Unlock()
	if v.Admitted {
		l.admitted.Add(float64(v.Cost))
	} else {
		l.refused.Add(float64(v.Cost))
	}
	return v
}

// End implements lacerelay.Link.
func (l *link) End(now time.Time, r lacelimit.LinkRequest, v lacelimit.LinkVerdict, p lacelimit.Transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.End(now, r, v, p)
}

// Refused implements lacerelay.Link.
func (l *link) Refused(now time.Time, body laceunit.Bytes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Refused(now, body)
}

// Saturated implements lacerelay.Link.
func (l *link) Saturated(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Observe(now, l.traffic())
	return l.limiter.Saturated(now)
}

// step measures the link and logs when it becomes saturated or has room again.
func (l *link) step(now time.Time, log *lacelog.Logger) {
	saturated := l.Saturated(now)
	in, out := l.use()
	l.mu.Lock()
	changed := saturated != l.saturated
	l.saturated = saturated
	l.mu.Unlock()
	if changed {
		log.Write(lacelog.Link, lacelog.P("saturated", saturated), lacelog.P("in_percent", int64(percent*in)),
			lacelog.P("out_percent", int64(percent*out)), lacelog.P("link_kbps", int64(l.rate())*bitsPerByte/bitsPerKilobit))
	}
}

const (
	percent        = 100
	bitsPerKilobit = 1000
)
