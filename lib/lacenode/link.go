package lacenode

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/lacelimit"
	"lacewingcove/lib/lacerelay"
	"lacewingcove/lib/laceunit"
)

// bitsOfMegabit converts the setting of the link.
const bitsOfMegabit = 1e6

var _ lacerelay.Link = (*link)(nil)

// link shares the decision about the machine's link between requests and counts what it decides.
type link struct {
	mu    sync.Mutex
	limit lacelimit.Link

	admitted prometheus.Counter
	refused  prometheus.Counter
}

// newLink returns the decision for a link that carries a number of Mbit/s, zero when that is not known.
func newLink(megabits float64, r prometheus.Registerer) *link {
	decided := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lace_link_bytes_total",
		Help: "Bytes that requests were expected to take of the link in each direction, by whether it had room for them.",
	}, []string{"decision"})
	l := &link{
		limit: lacelimit.Link{
			Rate: megabits * bitsOfMegabit / bitsOfByte,
		},
		admitted: decided.WithLabelValues("admitted"),
		refused:  decided.WithLabelValues("refused"),
	}
	rate := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lace_link_rate_bytes",
		Help: "Bytes a second in each direction for which requests are admitted at present; 0 means without bound.",
	}, l.rate)
	r.MustRegister(decided, rate)
	return l
}

func (l *link) rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit.AdmittedRate()
}

// Admit implements lacerelay.Link.
func (l *link) Admit(now time.Time, r lacelimit.LinkRequest) lacelimit.LinkVerdict {
	l.mu.Lock()
	v := l.limit.Admit(now, r)
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
	l.limit.End(now, r, v, p)
}

// observe takes in a look at the machine.
func (l *link) observe(v vital) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit.Observe(v.at, laceunit.Bytes(v.in), laceunit.Bytes(v.out))
}
