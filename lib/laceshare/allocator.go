package laceshare

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	// MaxStaleness is the age of an instance's copy of the records up to which the instance uses its parts.
	MaxStaleness = 3 * time.Second
	// undetectedStaleness is how much older a copy may be than its assumed age: a stalled watch is detected after that
	// time.
	undetectedStaleness = 3 * time.Second
	// takeoverDelay is how long a part that was taken over from another holder stays unused. By then, the previous holder
	// has received the new record or has stopped using its parts, because its copy is too stale.
	takeoverDelay = MaxStaleness + undetectedStaleness
	// fallbackFraction is the fraction of a limit that all instances with stale copies use together. With the parts of the
	// instances whose copies are fresh, the total stays within the margin that servers tolerate.
	fallbackFraction = 0.5
)

// Random returns a random number in [0, n).
type Random func(n int) int

// Allocator tracks the limits of servers for one instance, plans the writes of their records and computes how much the
// instance may send.
type Allocator struct {
	self      laceunit.Holder
	random    Random
	startedAt time.Time
	limits    map[Server]*limitState
	// stopped is true once this instance releases all its parts.
	stopped bool
	// removedAt holds the times of recent removals of records, which other instances may not have observed yet.
	removedAt map[Server]time.Time
}

// limitState is the state of the limit of one server.
type limitState struct {
	limit laceunit.Rate
	// confirmedAt is when the limit was last confirmed. Requests sent up to then may have been answered before the server
	// had the limit, so that a response without one doesn't end it.
	confirmedAt time.Time
	// endedAt is when the request was sent whose response no longer announced a limit; zero while the limit applies.
	endedAt time.Time

	// record is nil until one is received from the store; revision is that of the newest one received.
	record   *Record
	revision laceplatform.Revision
	// usableFrom is when each part becomes usable, zero for parts that this instance does not hold.
	usableFrom []time.Time
	// heldChangedAt is when the set of held parts last changed.
	heldChangedAt time.Time

	// fallbackFrom is when requests at the fallback rate may start; zero while the copy is fresh.
	fallbackFrom time.Time
	// writeDueAt is when the record may be written; zero while no write is planned.
	writeDueAt time.Time
	// unlistedSince is since when the server has not been listed; zero while it is.
	unlistedSince time.Time
}

// NewAllocator returns an allocator without limits.
func NewAllocator(now time.Time, self laceunit.Holder, random Random) *Allocator {
	return &Allocator{
		self:      self,
		random:    random,
		startedAt: now,
		limits:    map[Server]*limitState{},
		removedAt: map[Server]time.Time{},
	}
}

// Servers returns the servers with a limit, sorted.
func (a *Allocator) Servers() []Server {
	return slices.SortedFunc(maps.Keys(a.limits), func(x, y Server) int {
		return cmp.Or(cmp.Compare(x.ID, y.ID), cmp.Compare(x.StartTime, y.StartTime))
	})
}

// Recorded returns the servers with a record in this instance's copy of the store, sorted.
func (a *Allocator) Recorded() []Server {
	return slices.DeleteFunc(a.Servers(), func(s Server) bool { return a.limits[s].record == nil })
}

// HasLimit reports whether a server has a limit, including one whose end is not yet in the store.
func (a *Allocator) HasLimit(s Server) bool {
	_, ok := a.limits[s]
	return ok
}

// ObserveLimit processes a limit from the response to a request that was sent at the given time, negative for one that
// can't be parsed. Responses may be reordered: the response to a request sent before the end of a limit is ignored
// after it. The result is true if the server had no limit before.
func (a *Allocator) ObserveLimit(now time.Time, s Server, sent time.Time, limit laceunit.Rate) bool {
	l, hadLimit := a.limits[s]
	if !hadLimit && limit < 0 || sent.Before(a.removedAt[s]) || hadLimit && sent.Before(l.endedAt) {
		return false
	}
	if !hadLimit {
		l = &limitState{}
		a.limits[s] = l
	}
	l.confirmedAt, l.endedAt = now, time.Time{}
	if limit >= 0 {
		l.limit = boundRate(limit)
	}
	return !hadLimit
}

// ObserveNoLimit processes a response without a limit to a request that was sent at the given time. It reports whether
// that ends a limit.
func (a *Allocator) ObserveNoLimit(now time.Time, s Server, sent time.Time) bool {
	l := a.limits[s]
	if l == nil || !l.endedAt.IsZero() || !sent.After(l.confirmedAt) {
		return false
	}
	l.endedAt, l.writeDueAt = sent, now
	return true
}

// ApplyRecord applies the record that the store has at a revision; older revisions are ignored.
func (a *Allocator) ApplyRecord(now time.Time, s Server, r Record, revision laceplatform.Revision) {
	l := a.limits[s]
	if l == nil {
		l = &limitState{
			limit:       r.Limit,
			confirmedAt: now,
		}
		a.limits[s] = l
	}
	if revision <= l.revision {
		return
	}
	if l.record != nil && l.record.Limit != r.Limit {
		// Another instance has observed a new limit.
		l.limit = r.Limit
	}
	if !l.endedAt.IsZero() {
		// The record is newer than the observed end, so that only another response can end the limit.
		l.endedAt, l.confirmedAt = time.Time{}, now
	}
	a.updateUsable(now, s, l, r)
	l.record, l.revision = &r, revision
}

// updateUsable sets when this instance's parts become usable, for a record that replaces the current one.
func (a *Allocator) updateUsable(now time.Time, s Server, l *limitState, r Record) {
	usable := make([]time.Time, len(r.Parts))
	changed := false
	for i, h := range r.Parts {
		if h != a.self || a.stopped {
			changed = changed || i < len(l.usableFrom) && !l.usableFrom[i].IsZero()
			continue
		}
		usable[i] = a.activationTime(now, s, l, i)
		changed = changed || i >= len(l.usableFrom) || l.usableFrom[i].IsZero()
	}
	if changed {
		l.heldChangedAt = now
	}
	l.usableFrom = usable
}

// activationTime returns when a part that this instance now holds becomes usable.
func (a *Allocator) activationTime(now time.Time, s Server, l *limitState, i int) time.Time {
	var previous laceunit.Holder
	if l.record != nil && i < len(l.record.Parts) {
		previous = l.record.Parts[i]
	}
	switch {
	case previous == a.self && !l.usableFrom[i].IsZero():
		return l.usableFrom[i]
	case previous.Instance == a.self.Instance:
		// Only one process of an instance runs at a time.
		return now
	case previous.IsZero() && a.earlierRecordExpired(now, s):
		return now
	default:
		return now.Add(takeoverDelay)
	}
}

// earlierRecordExpired reports whether no instance can still be using parts of an earlier record of a server.
func (a *Allocator) earlierRecordExpired(now time.Time, s Server) bool {
	removed, ok := a.removedAt[s]
	return now.Sub(a.startedAt) >= takeoverDelay && (!ok || now.Sub(removed) >= takeoverDelay)
}

// ApplyRemoval applies the removal of a record, as of a revision: an instance has observed the end of the limit.
func (a *Allocator) ApplyRemoval(now time.Time, s Server, revision laceplatform.Revision) {
	if l := a.limits[s]; l != nil && l.revision > revision {
		return
	}
	a.removedAt[s] = now
	delete(a.limits, s)
}

// Allowance returns how much this instance may send to a server, given the age of its copy of the records and the
// number of members of the fleet. It returns false if the server has no limit.
func (a *Allocator) Allowance(now time.Time, s Server, age time.Duration, members int) (lacebalancer.Allowance, bool) {
	l := a.limits[s]
	if l == nil || !l.endedAt.IsZero() {
		return lacebalancer.Allowance{}, false
	}
	allowance := lacebalancer.Allowance{Total: l.limit}
	if age > MaxStaleness {
		allowance.Rate = l.limit * fallbackFraction / laceunit.Rate(max(members, 1))
		if l.fallbackFrom.IsZero() {
			// A random phase, as instances that lose the store at the same time must not start sending at the same time.
			l.fallbackFrom = now.Add(time.Duration(a.random(int(requestInterval(allowance.Rate)))))
		}
		allowance.From = l.fallbackFrom
		return allowance, true
	}
	l.fallbackFrom = time.Time{}
	n, earliest := l.usableParts(now)
	if n == 0 {
		return allowance, true
	}
	allowance.Rate = l.limit * laceunit.Rate(n) / laceunit.Rate(len(l.record.Parts))
	allowance.From = earliest.Add(requestInterval(allowance.Rate))
	allowance.Until = now.Add(MaxStaleness - age)
	return allowance, true
}

// usableParts returns the number of usable parts and since when the first of them is usable. After a limit was lowered,
// parts beyond the count of the new limit are ignored.
func (l *limitState) usableParts(now time.Time) (n int, earliest time.Time) {
	for i, from := range l.usableFrom {
		if from.IsZero() || now.Before(from) || i >= partCount(l.limit) {
			continue
		}
		if n == 0 || from.Before(earliest) {
			earliest = from
		}
		n++
	}
	return n, earliest
}

// requestInterval returns the time between two requests at a rate.
func requestInterval(r laceunit.Rate) time.Duration {
	return time.Duration(float64(time.Second) / float64(r))
}
