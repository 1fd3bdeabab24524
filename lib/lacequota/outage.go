package lacequota

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// ErrStoreUnreachable means that a write was not attempted, since the store has not answered any call of this instance
// after an earlier write failed.
var ErrStoreUnreachable = errors.New("quota: the store does not answer")

// maxWriteBackoff is how long after a failed write the next one is attempted even if no other call was answered.
const maxWriteBackoff = 3 * time.Second

// Contact tells which calls of this instance the store has answered.
type Contact interface {
	Now() laceunit.Uptime
	Connectivity() laceplatform.Connectivity
}

// outageGate holds back writes while the store does not answer. Lease renewals, which cost the store a tenth, show when
// it is back. Each write without an answer also keeps the spend of its accounts below their ceilings for CeilingTTL.
type outageGate struct {
	contact Contact

	mu       sync.Mutex
	failing  bool
	failedAt laceunit.Uptime
	triedAt  time.Time
}

// isOpen reports whether a write may be attempted.
func (g *outageGate) isOpen(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.contact == nil || !g.failing || now.Sub(g.triedAt) >= maxWriteBackoff ||
		g.contact.Connectivity().LastReachable > g.failedAt
}

// enter returns ErrStoreUnreachable if a write must not be attempted. Otherwise record has to follow.
func (g *outageGate) enter(now time.Time) error {
	if !g.isOpen(now) {
		return ErrStoreUnreachable
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.triedAt = now
	return nil
}

// record records the result of a write.
func (g *outageGate) record(err error) {
	if g.contact == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failing = err != nil && !errors.Is(err, laceplatform.ErrConflict)
	if g.failing {
		g.failedAt = g.contact.Now()
	}
}

// reset allows the next write whether or not the store has answered since the last failure.
func (g *outageGate) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failing = false
}
