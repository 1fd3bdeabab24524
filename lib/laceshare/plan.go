package laceshare

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	// jitterPerMember, times the number of members, bounds the random delay before a write, so that most instances that
	// would write for the same reason observe the first one's write.
	jitterPerMember = 10 * time.Millisecond
	// writeInterval is the minimum time between two writes of a record by an instance.
	writeInterval = time.Second
	// demandWindow is how recently a request must have been held back by the allowance for the instance to claim parts.
	demandWindow = time.Second
	// idleTimeout is how long parts stay unused before they are released.
	idleTimeout = 5 * time.Second
	// limitChangeFactor is the factor by which a limit has to change before the record is updated; below it, the instances
	// follow the limit in each response.
	limitChangeFactor = 1.25
	// unlistedRetention is how long the record of a server that is not listed is kept.
	unlistedRetention = time.Minute
)

// PlanInput is the state of the fleet and its demand on which a plan is based.
type PlanInput struct {
	// Age is the upper bound of the age of this instance's copy of the records.
	Age time.Duration
	// Members are the instances that accept callers, including this one.
	Members []laceunit.Holder
	// Live reports whether a process is a member.
	Live func(laceunit.Holder) bool
	// Listed reports whether a server is in the list of backend servers.
	Listed func(Server) bool
	// Demand returns the recent demand for a server.
	Demand func(Server) lacebalancer.Demand
}

// Cause is the reason for writing a record.
type Cause string

// Causes of writes.
const (
	// CauseNamed creates the record of a server that has announced a limit.
	CauseNamed Cause = "named"
	// CauseChanged updates the record to a new limit.
	CauseChanged Cause = "changed"
	// CauseClaim claims parts that no other instance holds, CauseTake takes over parts of other instances.
	CauseClaim Cause = "claim"
	CauseTake  Cause = "take"
	// CauseIdle releases unused parts, CauseStop those of an instance that stops.
	CauseIdle Cause = "idle"
	CauseStop Cause = "stop"
	// CauseEnded removes the record of a server that no longer announces a limit, CauseGone that of one that is not
	// listed.
	CauseEnded Cause = "ended"
	CauseGone  Cause = "gone"
)

// Write is a compare-and-swap of a record, or its removal, with the expected revision.
type Write struct {
	Server Server
	Cause  Cause
	Record Record
	Remove bool
	Expect laceplatform.Revision
}

// Plan returns the writes that are due. It returns none if the copy of the records is too stale.
func (a *Allocator) Plan(now time.Time, in PlanInput) []Write {
	for s, at := range a.removedAt {
		if now.Sub(at) >= takeoverDelay {
			delete(a.removedAt, s)
		}
	}
	if in.Age > MaxStaleness || a.stopped {
		return nil
	}
	var writes []Write
	for _, s := range a.Servers() {
		l := a.limits[s]
		w, ok := a.nextChange(now, s, l, in)
		switch {
		case !ok:
			l.writeDueAt = time.Time{}
		case l.writeDueAt.IsZero():
			l.writeDueAt = now.Add(time.Duration(a.random(int(jitterPerMember) * max(len(in.Members), 1))))
		case !now.Before(l.writeDueAt):
			l.writeDueAt = now.Add(writeInterval)
			writes = append(writes, a.prepare(s, l, w))
		}
	}
	return writes
}

// prepare completes a write. Parts that it releases are no longer used from here on, even if the write fails.
func (a *Allocator) prepare(s Server, l *limitState, w Write) Write {
	w.Server, w.Expect = s, l.revision
	for i := range l.usableFrom {
		if w.Remove || i >= len(w.Record.Parts) || w.Record.Parts[i] != a.self {
			l.usableFrom[i] = time.Time{}
		}
	}
	return w
}

// nextChange returns the most important change of a record, and false if none is needed.
func (a *Allocator) nextChange(now time.Time, s Server, l *limitState, in PlanInput) (Write, bool) {
	if in.Listed(s) {
		l.unlistedSince = time.Time{}
	} else if l.unlistedSince.IsZero() {
		l.unlistedSince = now
	}
	unlisted := !l.unlistedSince.IsZero() && now.Sub(l.unlistedSince) > unlistedRetention
	switch {
	case l.record == nil && (unlisted || !l.endedAt.IsZero()):
		delete(a.limits, s)
		return Write{}, false
	case l.record == nil:
		return Write{
			Cause:  CauseNamed,
			Record: a.allocate(s, l.limit, in.Members),
		}, true
	case !l.endedAt.IsZero():
		return Write{
			Cause:  CauseEnded,
			Remove: true,
		}, true
	case unlisted:
		return Write{
			Cause:  CauseGone,
			Remove: true,
		}, true
	case l.limit >= limitChangeFactor*l.record.Limit || l.record.Limit >= limitChangeFactor*l.limit:
		return Write{
			Cause:  CauseChanged,
			Record: l.record.resize(l.limit),
		}, true
	}
	return a.rebalance(now, l, in, in.Demand(s))
}

// allocate returns a new record, with the parts dealt out round-robin. This instance has just sent a request, so that
// it comes first; the others follow in rendezvous-hash order, which differs between servers.
func (a *Allocator) allocate(s Server, limit laceunit.Rate, members []laceunit.Holder) Record {
	others := slices.DeleteFunc(slices.Clone(members), func(h laceunit.Holder) bool { return h == a.self })
	weight := func(h laceunit.Holder) uint64 { return xxhash.Sum64String(string(s.ID) + "\n" + h.String()) }
	slices.SortFunc(others, func(x, y laceunit.Holder) int {
		if weight(x) < weight(y) {
			return -1
		}
		return 1
	})
	order := append([]laceunit.Holder{a.self}, others...)
	r := Record{Limit: limit}
	for i := range partCount(limit) {
		r.Parts = append(r.Parts, order[i%len(order)])
	}
	return r
}

// rebalance returns the change that moves parts to instances with demand for the server, or releases those that are
// idle.
func (a *Allocator) rebalance(now time.Time, l *limitState, in PlanInput, d lacebalancer.Demand) (Write, bool) {
	held := slices.ContainsFunc(l.usableFrom, func(from time.Time) bool { return !from.IsZero() })
	if !d.LastThrottled.IsZero() && now.Sub(d.LastThrottled) <= demandWindow {
		if w, ok := a.claimUnused(*l.record, in.Live); ok || held {
			return w, ok
		}
		return a.claimOne(*l.record)
	}
	if held && now.Sub(latest(l.heldChangedAt, d.LastSent, d.LastThrottled)) > idleTimeout {
		return a.release(*l.record, CauseIdle), true
	}
	return Write{}, false
}

// claimUnused returns the change that claims parts which nobody uses: all those of an earlier process of this instance,
// or else half of those that are free or whose holder is no longer live. The other half is left to other instances.
func (a *Allocator) claimUnused(r Record, live func(laceunit.Holder) bool) (Write, bool) {
	cause := CauseClaim
	var own, unused []int
	for i, h := range r.Parts {
		switch {
		case h == a.self:
		case h.Instance == a.self.Instance:
			own = append(own, i)
		case h.IsZero():
			unused = append(unused, i)
		case !live(h):
			unused = append(unused, i)
			cause = CauseTake
		}
	}
	if len(own) > 0 {
		return a.assign(r, own, CauseClaim), true
	}
	if len(unused) == 0 {
		return Write{}, false
	}
	return a.assign(r, unused[:(len(unused)+1)/2], cause), true
}

// claimOne returns the change by which an instance without usable parts gets one: a part that it still holds but has
// stopped using, or one of the instance with the most parts, if that keeps at least one.
func (a *Allocator) claimOne(r Record) (Write, bool) {
	maxHeld, index := 1, -1
	for i, h := range r.Parts {
		if h == a.self {
			return a.assign(r, []int{i}, CauseClaim), true
		}
		if n := r.count(h); n > maxHeld {
			maxHeld, index = n, i
		}
	}
	if index < 0 {
		return Write{}, false
	}
	return a.assign(r, []int{index}, CauseTake), true
}

// assign returns the change that assigns parts to this instance.
func (a *Allocator) assign(r Record, indexes []int, cause Cause) Write {
	r = r.clone()
	for _, i := range indexes {
		r.Parts[i] = a.self
	}
	return Write{
		Cause:  cause,
		Record: r,
	}
}

// release returns the change that releases all parts of this instance.
func (a *Allocator) release(r Record, cause Cause) Write {
	r = r.clone()
	for i, h := range r.Parts {
		if h == a.self {
			r.Parts[i] = laceunit.Holder{}
		}
	}
	return Write{
		Cause:  cause,
		Record: r,
	}
}

// Stop returns the writes that release all parts of this instance, which uses none from here on. Further calls return
// the writes that are still outstanding.
func (a *Allocator) Stop() []Write {
	a.stopped = true
	var writes []Write
	for _, s := range a.Servers() {
		if l := a.limits[s]; l.record != nil && l.record.count(a.self) > 0 {
			writes = append(writes, a.prepare(s, l, a.release(*l.record, CauseStop)))
		}
	}
	return writes
}

// ApplyWrite applies a write that the store has accepted at a revision.
func (a *Allocator) ApplyWrite(now time.Time, w Write, revision laceplatform.Revision) {
	if w.Remove {
		a.ApplyRemoval(now, w.Server, w.Expect)
		return
	}
	a.ApplyRecord(now, w.Server, w.Record, revision)
}

// ApplyUnreadable processes a record that can't be decoded: all its parts count as free, and it may be overwritten.
func (a *Allocator) ApplyUnreadable(now time.Time, s Server, revision laceplatform.Revision) {
	l := a.limits[s]
	if l == nil {
		return
	}
	a.ApplyRecord(now, s, Record{}.resize(l.limit), revision)
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}
