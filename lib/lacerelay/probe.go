package lacerelay

import (
	"sync"
	"time"
)

// crashProbe shares one probe of a server among the requests whose connections were lost at the same time. The zero
// value is ready to use.
type crashProbe struct {
	mu      sync.Mutex
	endedAt time.Time
	crashed bool
}

// run returns the result of a probe that ended after lostAt, or runs one.
func (p *crashProbe) run(lostAt time.Time, probe func() bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endedAt.IsZero() || p.endedAt.Before(lostAt) {
		p.crashed = probe()
		p.endedAt = time.Now()
	}
	return p.crashed
}
