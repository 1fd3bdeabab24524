package lacebalancer

import (
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// unlistedTTL is how long state outlives the entry of its server: a leaving mark is kept for this long after the entry
	// disappears, a pause for this long after its end. A copy of the entries can't tell an entry that was removed from one
	// that expired in an outage or is temporarily unreadable, and entries of the latter kinds reappear within seconds.
	unlistedTTL = time.Minute
	// maxUnlisted bounds the number of leaving marks, and that of pauses, of servers without an entry. The mark of the
	// entry that disappeared first and the pause that ends first are dropped first.
	maxUnlisted = 1024
)

// incarnation identifies one run of a server process: a restart under the same id is another incarnation.
type incarnation struct {
	id        laceunit.ServerID
	startTime int64
}

// leavingServers is the set of incarnations that have announced that they are leaving. The announcement is final: only
// another incarnation under the same id is not marked.
type leavingServers struct {
	// missingSince is when the entry of a marked incarnation was first missing; zero while it is listed.
	missingSince map[incarnation]time.Time
}

// add marks an incarnation and reports whether it was unmarked.
func (l *leavingServers) add(s incarnation) bool {
	if _, ok := l.missingSince[s]; ok {
		return false
	}
	if l.missingSince == nil {
		l.missingSince = map[incarnation]time.Time{}
	}
	l.missingSince[s] = time.Time{}
	return true
}

// has reports whether an incarnation is marked.
func (l *leavingServers) has(s incarnation) bool {
	_, ok := l.missingSince[s]
	return ok
}

// prune removes expired marks of incarnations that are no longer listed. Without a start time, a server that is listed
// again can't be distinguished from another incarnation under the same id, so its mark is removed together with the
// entry.
func (l *leavingServers) prune(now time.Time, listed func(incarnation) bool) {
	missing := 0
	for s, since := range l.missingSince {
		switch {
		case listed(s):
			l.missingSince[s] = time.Time{}
		case s.startTime == 0 || !since.IsZero() && now.Sub(since) >= unlistedTTL:
			delete(l.missingSince, s)
		default:
			if since.IsZero() {
				l.missingSince[s] = now
			}
			missing++
		}
	}
	for ; missing > maxUnlisted; missing-- {
		l.dropOldest()
	}
}

func (l *leavingServers) dropOldest() {
	var oldest incarnation
	var oldestTime time.Time
	for s, since := range l.missingSince {
		if !since.IsZero() && (oldestTime.IsZero() || since.Before(oldestTime)) {
			oldest, oldestTime = s, since
		}
	}
	delete(l.missingSince, oldest)
}

// MarkLeaving marks the server of a ticket as leaving, as the server has announced. From then on it gets no new
// requests, even if its entry does not say that it is leaving; its tickets stay valid. It reports whether the mark is
// new.
func (b *Balancer) MarkLeaving(now time.Time, ticket Ticket) (bool, []Decision) {
	assigned, ok := b.assigned[ticket]
	if !ok {
		return false, nil
	}
	s := b.current(assigned.server)
	s.leaving = true
	return b.leavingServers.add(s.incarnation()), b.drainQueues(now, s.pools)
}

// MarkIncarnationLeaving is MarkLeaving for a server whose announcement another instance has received. The server must have
// a start time: without one, a later process under the same id would be marked as well.
func (b *Balancer) MarkIncarnationLeaving(
	now time.Time, id laceunit.ServerID, startTime int64,
) (bool, []Decision) {
	if startTime == 0 {
		return false, nil
	}
	added := b.leavingServers.add(incarnation{
		id:        id,
		startTime: startTime,
	})
	s := b.servers[id]
	if s == nil || s.startTime != startTime {
		return added, nil
	}
	s.leaving = true
	return added, b.drainQueues(now, s.pools)
}

// current returns the listed state of the same incarnation, or s itself if there is none: the entry may have
// disappeared and reappeared since a request was assigned.
func (b *Balancer) current(s *server) *server {
	if x := b.servers[s.id]; x != nil && x.startTime == s.startTime {
		return x
	}
	return s
}

// IsLeaving reports whether an incarnation of a server has announced that it is leaving.
func (b *Balancer) IsLeaving(id laceunit.ServerID, startTime int64) bool {
	return b.leavingServers.has(incarnation{
		id:        id,
		startTime: startTime,
	})
}
