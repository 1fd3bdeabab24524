package lacerelay

import (
	"sync"
	"time"

	"lacewingcove/lib/laceconn"
)

// crashProbe shares one probe of a server among the requests whose connections were lost at the same time. The zero
// value is ready to use.
type crashProbe struct {
	mu        sync.Mutex
	startedAt time.Time
	endedAt   time.Time
	presence  laceconn.Presence
}

// run returns the result of a probe that began after lostAt, or runs one. A probe that found nothing listening also counts
// if it ended after lostAt: a process that has ended does not come back.
func (p *crashProbe) run(lostAt time.Time, probe func() laceconn.Presence) laceconn.Presence {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.startedAt
	if p.presence == laceconn.Refusing {
		known = p.endedAt
	}
	if known.IsZero() || known.Before(lostAt) {
		p.startedAt = time.Now()
		p.presence = probe()
		p.endedAt = time.Now()
	}
	return p.presence
}
