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
	// CopyTime is the age of the copy of the records up to which an instance uses its parts.
	MaxStaleness = 3 * time.Second
	// copySlack is how much older a copy may be than it is taken for: a watch that went silent is noticed after that time.
	copySlack = 3 * time.Second
	// takeTime is how long a part rests that was taken from another holder, which by then has heard of it or uses none of its
	// parts any more.
	takeTime = MaxStaleness + copySlack
	// cutShare is the part of a limit that all instances together use whose copies are old. With the parts of those whose
	// copies are not, it stays within the margin that servers leave.
	cutShare = 0.5
)

// Random returns a number in [0, n).
type Random func(n int) int

// Book is what one instance knows of servers that have named a limit, and decides what it may send there.
type Allocator struct {
	self   laceunit.Holder
	random Random
	began  time.Time
	marks  map[Server]*mark
	// stopped is true once this instance gives all parts back.
	stopped bool
	// gone is when records were removed lately; others may not have heard of it.
	gone map[Server]time.Time
}

// mark is one server with a limit.
type mark struct {
	limit laceunit.Rate
	// known is the moment up to which requests were sent whose answers may not know of the limit yet.
	known time.Time
	// ended is when the request was sent whose answer named no limit any more; zero while the limit holds.
	ended time.Time

	// record is nil while the store is not known to have one; revision is that of the newest one seen.
	record   *Record
	revision laceplatform.Revision
	// usable is from when each part may be used, zero for parts that this instance does not hold.
	usable []time.Time
	// claimed is when the set of held parts last changed.
	claimed time.Time

	// cut is when requests without parts may begin; zero while the copy is fresh.
	cut time.Time
	// due is when the record may be written; zero while nothing is to be written.
	due time.Time
	// missing is since when the server has no entry.
	missing time.Time
}

// NewBook returns an empty book.
func NewAllocator(now time.Time, self laceunit.Holder, random Random) *Allocator {
	return &Allocator{
		self:   self,
		random: random,
		began:  now,
		marks:  map[Server]*mark{},
		gone:   map[Server]time.Time{},
	}
}

// Servers returns the servers with a limit, in order.
func (b *Allocator) Servers() []Server {
	return slices.SortedFunc(maps.Keys(b.marks), func(x, y Server) int {
		return cmp.Or(cmp.Compare(x.ID, y.ID), cmp.Compare(x.Born, y.Born))
	})
}

// Recorded returns the servers that have a record as far as this instance knows.
func (b *Allocator) Recorded() []Server {
	return slices.DeleteFunc(b.Servers(), func(s Server) bool { return b.marks[s].record == nil })
}

// Knows reports whether a server has a limit.
func (b *Allocator) HasLimit(s Server) bool {
	_, ok := b.marks[s]
	return ok
}

// Named takes in that the answer to a request that was sent at a moment named a limit, negative for one that can't be read.
// Answers may overtake each other: one to a request from before the end of a limit says nothing about the time after it. It
// reports whether the server had no limit.
func (b *Allocator) ObserveLimit(now time.Time, s Server, sent time.Time, limit laceunit.Rate) bool {
	m, known := b.marks[s]
	if !known && limit < 0 || sent.Before(b.gone[s]) || known && sent.Before(m.ended) {
		return false
	}
	if !known {
		m = &mark{}
		b.marks[s] = m
	}
	m.known, m.ended = now, time.Time{}
	if limit >= 0 {
		m.limit = max(limit, leastRate)
	}
	return !known
}

// Unnamed takes in that the answer to a request that was sent at a moment named no limit. It reports whether that ends one.
func (b *Allocator) ObserveNoLimit(now time.Time, s Server, sent time.Time) bool {
	m := b.marks[s]
	if m == nil || !m.ended.IsZero() || !sent.After(m.known) {
		return false
	}
	m.ended, m.due = sent, now
	return true
}

// Seen takes in a record as it stands in the store at a revision.
func (b *Allocator) ApplyRecord(now time.Time, s Server, r Record, revision laceplatform.Revision) {
	m := b.marks[s]
	if m == nil {
		m = &mark{
			limit: r.Limit,
			known: now,
		}
		b.marks[s] = m
	}
	if revision <= m.revision {
		return
	}
	if m.record != nil && m.record.Limit != r.Limit {
		// Another instance has heard of a new limit.
		m.limit = r.Limit
	}
	if !m.ended.IsZero() {
		// The record was written since; it takes another answer to end the limit.
		m.ended, m.known = time.Time{}, now
	}
	b.hold(now, s, m, r)
	m.record, m.revision = &r, revision
}

// hold sets from when this instance may use its parts of a record that replaces the one before.
func (b *Allocator) hold(now time.Time, s Server, m *mark, r Record) {
	usable := make([]time.Time, len(r.Parts))
	changed := false
	for i, h := range r.Parts {
		if h != b.self || b.stopped {
			changed = changed || i < len(m.usable) && !m.usable[i].IsZero()
			continue
		}
		usable[i] = b.usableFrom(now, s, m, i)
		changed = changed || i >= len(m.usable) || m.usable[i].IsZero()
	}
	if changed {
		m.claimed = now
	}
	m.usable = usable
}

// usableFrom returns from when a part may be used that this instance holds now.
func (b *Allocator) usableFrom(now time.Time, s Server, m *mark, i int) time.Time {
	var before laceunit.Holder
	if m.record != nil && i < len(m.record.Parts) {
		before = m.record.Parts[i]
	}
	switch {
	case before == b.self && !m.usable[i].IsZero():
		return m.usable[i]
	case before.Instance == b.self.Instance:
		// No other process of this instance runs beside this one.
		return now
	case before.IsZero() && b.settled(now, s):
		return now
	default:
		return now.Add(takeTime)
	}
}

// settled reports whether no instance can still use parts of an earlier record of a server.
func (b *Allocator) settled(now time.Time, s Server) bool {
	gone, ok := b.gone[s]
	return now.Sub(b.began) >= takeTime && (!ok || now.Sub(gone) >= takeTime)
}

// Removed takes in that the store has no record of a server at a revision: an instance has found that its limit has ended.
func (b *Allocator) ApplyRemoval(now time.Time, s Server, revision laceplatform.Revision) {
	if m := b.marks[s]; m != nil && m.revision > revision {
		return
	}
	b.gone[s] = now
	delete(b.marks, s)
}

// Allowance returns what this instance may send to a server by a copy of the records of an age, in a fleet of a number of
// members. It reports false while the server has no limit.
func (b *Allocator) Allowance(now time.Time, s Server, age time.Duration, members int) (lacebalancer.Allowance, bool) {
	m := b.marks[s]
	if m == nil || !m.ended.IsZero() {
		return lacebalancer.Allowance{}, false
	}
	a := lacebalancer.Allowance{Total: m.limit}
	if age > MaxStaleness {
		a.Rate = m.limit * cutShare / laceunit.Rate(max(members, 1))
		if m.cut.IsZero() {
			// Instances that lose the store together must not begin together.
			m.cut = now.Add(time.Duration(b.random(int(interval(a.Rate)))))
		}
		a.From = m.cut
		return a, true
	}
	m.cut = time.Time{}
	n, first := m.held(now)
	if n == 0 {
		return a, true
	}
	a.Rate = m.limit * laceunit.Rate(n) / laceunit.Rate(len(m.record.Parts))
	a.From = first.Add(interval(a.Rate))
	a.Until = now.Add(MaxStaleness - age)
	return a, true
}

// held returns how many parts may be used, and from when the first of them. After a limit has fallen, only as many parts
// count as the new one has.
func (m *mark) held(now time.Time) (n int, first time.Time) {
	for i, from := range m.usable {
		if from.IsZero() || now.Before(from) || i >= parts(m.limit) {
			continue
		}
		if n == 0 || from.Before(first) {
			first = from
		}
		n++
	}
	return n, first
}

// interval returns the time between two requests at a rate.
func interval(r laceunit.Rate) time.Duration {
	return time.Duration(float64(time.Second) / float64(r))
}
