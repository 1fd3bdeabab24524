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
	// spread is the time for each member over which instances wait before they write for the same reason, so that most of
	// them hear of the first one's write.
	spread = 10 * time.Millisecond
	// writeInterval is how often an instance writes one record.
	writeInterval = time.Second
	// wantTime is how recent a request is that could have used more than its instance may send.
	wantTime = time.Second
	// idleTime is how long a part is not used before it is given back.
	idleTime = 5 * time.Second
	// limitStep is by what factor a limit has to change before the record does; in between, the instances follow what each
	// answer names.
	limitStep = 1.25
	// leftTime is how long the record of a server without an entry stays.
	leftTime = time.Minute
)

// View is what the decisions of a moment rest on.
type PlanInput struct {
	// Age is how old the copy of the records may be.
	Age time.Duration
	// Members are the instances that take callers, this one included.
	Members []laceunit.Holder
	// Live reports whether an incarnation is a member.
	Live func(laceunit.Holder) bool
	// Listed reports whether a server has an entry.
	Listed func(Server) bool
	// Demand tells what requests lately asked of a server.
	Demand func(Server) lacebalancer.Demand
}

// Cause tells why a record is written.
type Cause string

// The causes.
const (
	// CauseNamed makes the record of a server that has named a limit.
	CauseNamed Cause = "named"
	// CauseChanged follows a new limit.
	CauseChanged Cause = "changed"
	// CauseClaim takes a part that nobody holds, CauseTake one of another instance.
	CauseClaim Cause = "claim"
	CauseTake  Cause = "take"
	// CauseIdle gives parts back that are not used, CauseStop those of an instance that stops.
	CauseIdle Cause = "idle"
	CauseStop Cause = "stop"
	// CauseEnded removes the record of a server that names no limit any more, CauseGone that of one without an entry.
	CauseEnded Cause = "ended"
	CauseGone  Cause = "gone"
)

// Write is a change of a record that was read at a revision.
type Write struct {
	Server Server
	Cause  Cause
	Record Record
	Remove bool
	Expect laceplatform.Revision
}

// Plan returns what is to be written now. Nothing is written from a copy that is too old.
func (b *Allocator) Plan(now time.Time, v PlanInput) []Write {
	for s, at := range b.gone {
		if now.Sub(at) >= takeTime {
			delete(b.gone, s)
		}
	}
	if v.Age > MaxStaleness || b.stopped {
		return nil
	}
	var writes []Write
	for _, s := range b.Servers() {
		m := b.marks[s]
		w, ok := b.need(now, s, m, v)
		switch {
		case !ok:
			m.due = time.Time{}
		case m.due.IsZero():
			m.due = now.Add(time.Duration(b.random(int(spread) * max(len(v.Members), 1))))
		case !now.Before(m.due):
			m.due = now.Add(writeInterval)
			writes = append(writes, b.prepare(s, m, w))
		}
	}
	return writes
}

// prepare completes a write. Parts that it gives away are not used from here on, whatever becomes of it.
func (b *Allocator) prepare(s Server, m *mark, w Write) Write {
	w.Server, w.Expect = s, m.revision
	for i := range m.usable {
		if w.Remove || i >= len(w.Record.Parts) || w.Record.Parts[i] != b.self {
			m.usable[i] = time.Time{}
		}
	}
	return w
}

// need returns the change that a record needs most.
func (b *Allocator) need(now time.Time, s Server, m *mark, v PlanInput) (Write, bool) {
	if v.Listed(s) {
		m.missing = time.Time{}
	} else if m.missing.IsZero() {
		m.missing = now
	}
	gone := !m.missing.IsZero() && now.Sub(m.missing) > leftTime
	switch {
	case m.record == nil && (gone || !m.ended.IsZero()):
		delete(b.marks, s)
		return Write{}, false
	case m.record == nil:
		return Write{
			Cause:  CauseNamed,
			Record: b.divide(s, m.limit, v.Members),
		}, true
	case !m.ended.IsZero():
		return Write{
			Cause:  CauseEnded,
			Remove: true,
		}, true
	case gone:
		return Write{
			Cause:  CauseGone,
			Remove: true,
		}, true
	case m.limit >= limitStep*m.record.Limit || m.record.Limit >= limitStep*m.limit:
		return Write{
			Cause:  CauseChanged,
			Record: m.record.resize(m.limit),
		}, true
	}
	return b.move(now, m, v, v.Demand(s))
}

// divide returns a new record. This instance has just sent a request, so that it gets the first part; the others follow in
// an order of their own for each server.
func (b *Allocator) divide(s Server, limit laceunit.Rate, members []laceunit.Holder) Record {
	others := slices.DeleteFunc(slices.Clone(members), func(h laceunit.Holder) bool { return h == b.self })
	rank := func(h laceunit.Holder) uint64 { return xxhash.Sum64String(string(s.ID) + "\n" + h.String()) }
	slices.SortFunc(others, func(x, y laceunit.Holder) int {
		if rank(x) < rank(y) {
			return -1
		}
		return 1
	})
	order := append([]laceunit.Holder{b.self}, others...)
	r := Record{Limit: limit}
	for i := range parts(limit) {
		r.Parts = append(r.Parts, order[i%len(order)])
	}
	return r
}

// move returns the change of who holds what: parts go to instances with requests for the server.
func (b *Allocator) move(now time.Time, m *mark, v PlanInput, d lacebalancer.Demand) (Write, bool) {
	held := slices.ContainsFunc(m.usable, func(from time.Time) bool { return !from.IsZero() })
	if !d.LastThrottled.IsZero() && now.Sub(d.LastThrottled) <= wantTime {
		if w, ok := b.claim(*m.record, v.Live); ok || held {
			return w, ok
		}
		return b.share(*m.record)
	}
	if held && now.Sub(latest(m.claimed, d.LastSent, d.LastThrottled)) > idleTime {
		return b.back(*m.record, CauseIdle), true
	}
	return Write{}, false
}

// claim returns the change that takes parts which nobody uses: all of this instance that it had given up, those of a process
// before it included, or half of those that are free or whose holder has ended. The others are left to other instances.
func (b *Allocator) claim(r Record, live func(laceunit.Holder) bool) (Write, bool) {
	cause := CauseClaim
	var own, spare []int
	for i, h := range r.Parts {
		switch {
		case h == b.self:
		case h.Instance == b.self.Instance:
			own = append(own, i)
		case h.IsZero():
			spare = append(spare, i)
		case !live(h):
			spare = append(spare, i)
			cause = CauseTake
		}
	}
	if len(own) > 0 {
		return b.give(r, own, CauseClaim), true
	}
	if len(spare) == 0 {
		return Write{}, false
	}
	return b.give(r, spare[:(len(spare)+1)/2], cause), true
}

// share returns the change by which an instance without parts gets one: its own one that it has stopped using, or one of the
// instance that holds most, if that keeps another.
func (b *Allocator) share(r Record) (Write, bool) {
	most, part := 1, -1
	for i, h := range r.Parts {
		if h == b.self {
			return b.give(r, []int{i}, CauseClaim), true
		}
		if n := r.count(h); n > most {
			most, part = n, i
		}
	}
	if part < 0 {
		return Write{}, false
	}
	return b.give(r, []int{part}, CauseTake), true
}

// give returns the change by which some parts become this instance's.
func (b *Allocator) give(r Record, parts []int, cause Cause) Write {
	r = r.clone()
	for _, i := range parts {
		r.Parts[i] = b.self
	}
	return Write{
		Cause:  cause,
		Record: r,
	}
}

// back returns the change that frees this instance's parts.
func (b *Allocator) back(r Record, cause Cause) Write {
	r = r.clone()
	for i, h := range r.Parts {
		if h == b.self {
			r.Parts[i] = laceunit.Holder{}
		}
	}
	return Write{
		Cause:  cause,
		Record: r,
	}
}

// Stop returns the changes that free all parts of an instance that stops, and that are still to be made when it is called
// again.
func (b *Allocator) Stop() []Write {
	b.stopped = true
	var writes []Write
	for _, s := range b.Servers() {
		if m := b.marks[s]; m.record != nil && m.record.count(b.self) > 0 {
			writes = append(writes, b.prepare(s, m, b.back(*m.record, CauseStop)))
		}
	}
	return writes
}

// Written takes in that the store has carried out a write.
func (b *Allocator) ApplyWrite(now time.Time, w Write, revision laceplatform.Revision) {
	if w.Remove {
		b.ApplyRemoval(now, w.Server, w.Expect)
		return
	}
	b.ApplyRecord(now, w.Server, w.Record, revision)
}

// Unread takes in that the record of a server can't be read. Nobody holds parts by it, and it may be written over.
func (b *Allocator) ApplyUnreadable(now time.Time, s Server, revision laceplatform.Revision) {
	m := b.marks[s]
	if m == nil {
		return
	}
	b.ApplyRecord(now, s, Record{}.resize(m.limit), revision)
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}
