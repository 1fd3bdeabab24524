package lacenode

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/lacelimit"
	"lacewingcove/lib/lacerelay"
	"lacewingcove/lib/laceunit"
)

// bitsPerMegabit converts the bandwidth in the settings.
const bitsPerMegabit = 1e6

var _ lacerelay.Link = (*link)(nil)

// link makes the admission control by link bandwidth safe for concurrent use and counts its decisions.
type link struct {
	mu      sync.Mutex
	limiter lacelimit.Link

	admitted prometheus.Counter
	refused  prometheus.Counter
}

// newLink returns the admission control for a link of some Mbit/s; zero means that the bandwidth is not known.
func newLink(megabits float64, r prometheus.Registerer) *link {
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lace_link_bytes_total",
		Help: "Bytes that requests were expected to take of the link in each direction, by whether it had room for them.",
	}, []string{"decision"})
	l := &link{
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
	return l
}

func (l *link) rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.AdmittedRate()
}

// Admit implements lacerelay.Link.
func (l *link) Admit(now time.Time, r lacelimit.LinkRequest) lacelimit.LinkVerdict {
	l.mu.Lock()
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

// observe records a sample of the traffic.
func (l *link) observe(sample resourceSample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Observe(sample.takenAt, laceunit.Bytes(sample.bytesIn), laceunit.Bytes(sample.bytesOut))
}
