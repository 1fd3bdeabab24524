package lacedirectory

import (
	"time"

	"lacewingcove/lib/lacelog"
)

const (
	// singleLines is how many changes within a notePeriod have a line of their own. Each instance lists all others, so
	// that without a bound the lines of a start grow with the square of the fleet.
	singleLines = 3
	// notePeriod is the time that one summary covers.
	notePeriod = time.Second
)

// The states of members in lines; several stands for all changes of a period.
const (
	stateListed  = "listed"
	stateGone    = "gone"
	stateLapsed  = "lapsed"
	stateSeveral = "several"
)

// period counts changes from the first one on.
type period struct {
	since   time.Time
	changes int
}

// over reports whether a period with changes has ended.
func (p *period) over(now time.Time) bool { return p.changes > 0 && now.Sub(p.since) >= notePeriod }

// add counts a change and reports whether it has a line of its own.
func (p *period) add(now time.Time) bool {
	if p.changes == 0 {
		p.since = now
	}
	p.changes++
	return p.changes <= singleLines
}

// note writes a line about a member, or counts it for the summary; the lock must be held.
func (b *Directory) note(m Member, state string) {
	now := b.now()
	b.summarize(now)
	b.states[state]++
	if b.noted.add(now) {
		b.log.Write(lacelog.Member, lacelog.P("member", m.Holder.String()), lacelog.P("zone", m.Place.Zone),
			lacelog.P("address", m.CallerAddress), lacelog.P("state", state), lacelog.P("members", len(b.members)))
	}
}

// noteActive writes how many instances take callers when that has changed; the lock must be held.
func (b *Directory) noteActive(now time.Time) {
	if b.chosen.over(now) {
		b.chosen = period{}
	}
	if len(b.order) == b.told || !b.chosen.add(now) {
		return
	}
	b.told = len(b.order)
	b.log.Write(lacelog.Active, lacelog.P("active", b.told), lacelog.P("members", b.candidates),
		lacelog.P("self", b.active[b.self.Holder.Instance]))
}

// summarize ends a period: changes beyond those with a line of their own get one line together. The lock must be held.
func (b *Directory) summarize(now time.Time) {
	if b.noted.over(now) {
		if b.noted.changes > singleLines {
			b.log.Write(lacelog.Member, lacelog.P("state", stateSeveral), lacelog.P(stateListed, b.states[stateListed]),
				lacelog.P(stateGone, b.states[stateGone]), lacelog.P(stateLapsed, b.states[stateLapsed]),
				lacelog.P("members", len(b.members)))
		}
		b.noted = period{}
		clear(b.states)
	}
	if b.active != nil {
		b.noteActive(now)
	}
}
