package lacequota

import (
	"sync"
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	// restateTime is how long after a process first sees an era it draws only from confirmed budgets. By then, every
	// instance that reaches the store has seen the era, with a renewal or a poll after at most 2 s, and has restated what
	// it holds: one more call that waits for its timeout, and one update with its conflicts.
	restateTime = 4 * time.Second
	// maxRestateTime is how long live holders that have not restated their allocations are waited for in addition. It
	// covers the usual partitions.
	maxRestateTime = 10 * time.Second
	// maxBackupAge is the age of a backup up to which charges to other allocations may be missing in it.
	maxBackupAge = 30 * time.Second
	// eraInterval is how often a service checks whether there is a new era.
	eraInterval = 250 * time.Millisecond
)

// eraMembers is the part of Members that shows who may restate.
type eraMembers interface {
	Live(holder laceunit.Holder) bool
	HasEarlier(era laceplatform.Era) bool
}

// storeEra is what a process knows of the era of the store. The zero value applies until the store first responds.
type storeEra struct {
	era   laceplatform.Era
	since time.Time
	known bool
	// inherited is true if the era had begun when the process first reached the store.
	inherited bool
}

// observe applies the state of the connection to the store. It reports whether an era has begun.
func (e *storeEra) observe(now time.Time, c laceplatform.Connectivity) bool {
	if c.LastReachable == 0 && c.Era == 0 || e.known && c.Era <= e.era {
		return false
	}
	e.era, e.since, e.inherited, e.known = c.Era, now, !e.known, true
	return c.Era > 0
}

// unconfirmed reports whether a budget may lack what others have drawn or spent before the store was restored, so that
// no cap may be raised and no holder closed.
func (e storeEra) unconfirmed(now time.Time, b Budget, members eraMembers) bool {
	age := now.Sub(e.since)
	switch {
	case e.era == 0, b.Era >= e.era:
		return false
	case e.inherited && b.isEmpty() && !members.HasEarlier(e.era):
		// Nobody has used the store before, so that nothing was lost.
		return false
	case age < restateTime:
		return true
	case age >= maxRestateTime:
		return false
	}
	for h, a := range b.Allocations {
		if a.Era < e.era && a.Cap > a.Used && members.Live(h) {
			return true
		}
	}
	return false
}

// eraTracker is a storeEra that a service and its writer share.
type eraTracker struct {
	contact Contact

	mu    sync.Mutex
	state storeEra
}

// current returns the present state.
func (t *eraTracker) current(now time.Time) storeEra {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.contact != nil {
		t.state.observe(now, t.contact.Connectivity())
	}
	return t.state
}
