package lacedirectory

import (
	"time"

	"lacewingcove/lib/lacelog"
)

const (
	// maxSingleLines is how many changes within a summaryInterval have a log line of their own. Each instance logs
	// all others, so that without a bound the number of lines at the start of a fleet grows with the square of its
	// size.
	maxSingleLines = 3
	// summaryInterval is the time that one summary covers.
	summaryInterval = time.Second
)

// The states of members in log lines; stateSeveral marks the summary of an interval.
const (
	stateListed  = "listed"
	stateGone    = "gone"
	stateLapsed  = "lapsed"
	stateSeveral = "several"
)

// logPeriod counts changes since the first one of a summary interval.
type logPeriod struct {
	since   time.Time
	changes int
}

// ended reports whether the interval has ended and had changes.
func (p *logPeriod) ended(now time.Time) bool {
	return p.changes > 0 && now.Sub(p.since) >= summaryInterval
}

// add counts a change and reports whether it has a log line of its own.
func (p *logPeriod) add(now time.Time) bool {
	if p.changes == 0 {
		p.since = now
	}
	p.changes++
	return p.changes <= maxSingleLines
}

// logMember logs a change of a member, or counts it for the summary; the lock must be held.
func (d *Directory) logMember(m Member, state string) {
	now := d.now()
	d.summarize(now)
	d.stateCounts[state]++
	if d.memberChanges.add(now) {
		d.log.Write(lacelog.MemberState, lacelog.P("member", m.Holder.String()), lacelog.P("zone", m.Place.Zone),
			lacelog.P("address", m.CallerAddress), lacelog.P("state", state), lacelog.P("members", len(d.members)))
	}
}

// logActive logs the number of active instances if it has changed; the lock must be held.
func (d *Directory) logActive(now time.Time) {
	if d.activeChanges.ended(now) {
		d.activeChanges = logPeriod{}
	}
	if len(d.activeList) == d.loggedActive || !d.activeChanges.add(now) {
		return
	}
	d.loggedActive = len(d.activeList)
	d.log.Write(lacelog.ActiveCount, lacelog.P("active", d.loggedActive), lacelog.P("members", d.candidateCount),
		lacelog.P("self", d.active[d.self.Holder.Instance]))
}

// summarize ends an interval and logs one summary if some changes had no line of their own. The lock must be held.
func (d *Directory) summarize(now time.Time) {
	if d.memberChanges.ended(now) {
		if d.memberChanges.changes > maxSingleLines {
			d.log.Write(lacelog.MemberState, lacelog.P("state", stateSeveral),
				lacelog.P(stateListed, d.stateCounts[stateListed]), lacelog.P(stateGone, d.stateCounts[stateGone]),
				lacelog.P(stateLapsed, d.stateCounts[stateLapsed]), lacelog.P("members", len(d.members)))
		}
		d.memberChanges = logPeriod{}
		clear(d.stateCounts)
	}
	if d.active != nil {
		d.logActive(now)
	}
}
