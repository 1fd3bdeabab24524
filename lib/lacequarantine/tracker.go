package lacequarantine

import (
	"maps"
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// minCrashes is how many crashes a combination of parts must have in common until it is blocked, if at least
	// minServers servers have crashed. Crashes of one server, which starts again under its id, may have a cause of its
	// own: it takes minLoneCrashes of them. A service may have no other server.
	minCrashes     = 3
	minServers     = 2
	minLoneCrashes = 4
	// minCrashGap is the time between two crashes from which they count separately. Servers that lose power together
	// crash at the same moment, with whatever runs on them.
	minCrashGap = 100 * time.Millisecond
	// reportDelay is how long a crash is not judged, so that the reports on the other requests of the server arrive: an
	// innocent request alone would look guilty.
	reportDelay = 150 * time.Millisecond
	// evidenceAge is how long a crash counts.
	evidenceAge = 10 * time.Minute
	// maxCrashes, maxCrashPrompts, maxPrompts and maxVerdicts bound the state: the crashes that are remembered, the
	// requests on one crash in all reports and in each, and the verdicts. maxCrashParts and maxReportParts bound the parts
	// of these requests that are kept by their ids.
	maxCrashes      = 64
	maxCrashPrompts = 128
	maxPrompts      = 16
	maxCrashParts   = 1024
	maxReportParts  = 128
	maxVerdicts     = 256
)

// Tracker turns the crashes of servers into verdicts on parts. The zero value is empty.
//
// The evidence is the same for and against a part: whether the server was there after it had written an answer on it. A
// combination of parts is blocked when minCrashes servers crashed, one after the other, each with a request that had
// all its parts and no answer yet, and no server has written an answer on any of them, while other requests got
// theirs. Of the combinations that explain the same crashes the largest one is blocked, which is the narrowest: a part
// that only occurs together with the cause stays usable without it.
type Tracker struct {
	history  history
	crashes  []*serverCrash
	verdicts map[VerdictID]Verdict
	// former are combinations that were blocked until their verdict lapsed; one more crash blocks them again.
	former map[VerdictID]Verdict
	// successAt is when a server last wrote an answer.
	successAt time.Time
	// judgeAt is when the crashes are to be judged, zero if nothing has changed since they were. lacksSuccess is true
	// when they are evidence apart from the condition that other requests succeed.
	judgeAt      time.Time
	lacksSuccess bool
}

// RecordSuccess records that a server has written an answer to a request. It returns the verdicts that change by that:
// a part on which servers write answers leaves its combination, and a combination of which no part is left is lifted.
func (t *Tracker) RecordSuccess(now time.Time, prompt []Part) []Verdict {
	t.successAt = now
	if t.lacksSuccess {
		t.judgeAt = now
	}
	t.history.recordSuccess(now, prompt)
	if len(t.verdicts) == 0 {
		return nil
	}
	var changed []Verdict
	for _, id := range slices.Sorted(maps.Keys(t.verdicts)) {
		v := t.verdicts[id]
		if len(intersect(v.Parts, prompt)) == 0 {
			continue
		}
		if relaxed, ok := t.relax(now, v); ok {
			t.verdicts[id] = relaxed
			changed = append(changed, relaxed)
		}
	}
	return changed
}

// relax returns a verdict without the parts on which servers are known to have written answers, and whether there are
// such parts. Without any part left, it is lifted.
func (t *Tracker) relax(now time.Time, v Verdict) (Verdict, bool) {
	if v.State != Blocked || v.Origin == Operator {
		return v, false
	}
	rest := slices.DeleteFunc(slices.Clone(v.Parts), func(p Part) bool {
		return t.history.harmless(p) && t.history.answeredSince(p, v.Since)
	})
	if len(rest) == len(v.Parts) {
		return v, false
	}
	v.At = now
	if len(rest) > 0 {
		v.Parts = rest
	} else {
		v.State = Lifted
	}
	return v, true
}

// RecordCrash adds the report of an instance on a crash, in place of its earlier report on the same one.
func (t *Tracker) RecordCrash(now time.Time, reporter laceunit.InstanceID, report Crash) {
	c := t.findCrash(report.Server, report.StartTime)
	if c == nil {
		c = &serverCrash{
			server:     report.Server,
			startTime:  report.StartTime,
			at:         now,
			receivedAt: now,
			prompts:    map[laceunit.InstanceID][][]Part{},
		}
		t.crashes = append(t.crashes, c)
	}
	// The clock of the reporter may be ahead.
	if report.At.Before(c.at) {
		c.at = report.At
	}
	if t.judgeAt.IsZero() {
		t.judgeAt = now.Add(reportDelay)
	}
	if !c.add(reporter, report) {
		parts := slices.Concat(report.Prompts...)
		c.keepAccused(report.Prompts, t.accusedBefore(parts, report.Server, report.StartTime))
	}
	t.countAnswered(c, report.Answered)
	for _, v := range t.verdicts {
		t.exempt(v, c)
	}
	slices.SortStableFunc(t.crashes, func(a, b *serverCrash) int { return a.at.Compare(b.at) })
	for len(t.crashes) > maxCrashes {
		// Crashes without a suspect part give way first.
		i := max(slices.IndexFunc(t.crashes, (*serverCrash).empty), 0)
		t.crashes = slices.Delete(t.crashes, i, i+1)
	}
}

// countAnswered counts a crash against the parts in a report that were harmless so far, once for each part whoever
// reports it.
func (t *Tracker) countAnswered(c *serverCrash, answered hashSet) {
	before := c.answered
	c.answered = before.union(maxCrashHashes, answered)
	for _, h := range c.answered {
		if !before.has(h) {
			t.history.recordCrash(c.at, h)
		}
	}
}

func (t *Tracker) findCrash(server laceunit.ServerID, startTime int64) *serverCrash {
	for _, c := range t.crashes {
		if c.server == server && c.startTime == startTime {
			return c
		}
	}
	return nil
}

// Apply adds or replaces a verdict. It returns the verdict as it is in force here, and whether that differs because
// this instance knows better: servers have written answers on some of the parts.
func (t *Tracker) Apply(now time.Time, v Verdict) (Verdict, bool) {
	if t.verdicts == nil {
		t.verdicts, t.former = map[VerdictID]Verdict{}, map[VerdictID]Verdict{}
	}
	delete(t.former, v.ID)
	v, relaxed := t.relax(now, v)
	t.verdicts[v.ID] = v
	for _, c := range t.crashes {
		t.exempt(v, c)
	}
	return v, relaxed
}

// exempt removes the requests from a crash that a verdict exonerates.
func (t *Tracker) exempt(v Verdict, c *serverCrash) {
	if v.State == Allowed || v.State == Lifted && !c.at.After(v.At) {
		c.dropPrompts(v.Parts)
	}
}

// Remove removes a verdict that lapsed.
func (t *Tracker) Remove(id VerdictID) {
	v, ok := t.verdicts[id]
	if !ok {
		return
	}
	delete(t.verdicts, id)
	for _, c := range t.crashes {
		c.dropPrompts(v.Parts)
	}
	if v.State == Blocked && len(t.former) < maxVerdicts {
		t.former[id] = v
	}
}

// Verdicts returns the verdicts; the caller must not change the map.
func (t *Tracker) Verdicts() map[VerdictID]Verdict { return t.verdicts }

// JudgeAt returns when the crashes are to be judged, and zero if they need not be.
func (t *Tracker) JudgeAt() time.Time { return t.judgeAt }

// HistorySize returns how many parts are known to be harmless.
func (t *Tracker) HistorySize() int { return t.history.size() }
