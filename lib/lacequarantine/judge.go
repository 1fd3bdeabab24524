package lacequarantine

import (
	"maps"
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

// Judge applies and returns the verdicts that follow from the crashes so far.
func (t *Tracker) Judge(now time.Time) []Verdict {
	t.judgeAt, t.lacksSuccess = time.Time{}, false
	t.crashes = slices.DeleteFunc(t.crashes, func(c *serverCrash) bool { return now.Sub(c.receivedAt) > evidenceAge })
	var reached []Verdict
	for len(t.verdicts) < maxVerdicts && len(reached) < maxCrashes {
		open := t.openCrashes(now)
		combination, crashes := t.blockedElsewhere(open)
		if combination == nil {
			combination, crashes = t.mostSpecific(open)
		}
		if combination == nil {
			break
		}
		v := newVerdict(now, combination, servers(crashes))
		if former, ok := t.verdicts[v.ID]; ok {
			v.Since = former.At
		}
		v, _ = t.Apply(now, v)
		reached = append(reached, v)
	}
	t.scheduleJudge(now)
	return reached
}

// scheduleJudge sets when the crashes that were too recent to be judged are to be judged.
func (t *Tracker) scheduleJudge(now time.Time) {
	for _, c := range t.crashes {
		if at := c.receivedAt.Add(reportDelay); at.After(now) && (t.judgeAt.IsZero() || at.Before(t.judgeAt)) {
			t.judgeAt = at
		}
	}
}

// openCrashes returns the crashes on which all reports should have arrived and that no verdict explains.
func (t *Tracker) openCrashes(now time.Time) []*serverCrash {
	var open []*serverCrash
	for _, c := range t.crashes {
		if now.Sub(c.receivedAt) >= reportDelay && t.unexplained(c) {
			open = append(open, c)
		}
	}
	return open
}

// unexplained reports whether a crash has a suspect request and none that a verdict blocks.
func (t *Tracker) unexplained(c *serverCrash) bool {
	for _, v := range t.verdicts {
		if v.State == Blocked {
			if c.explainedBy(v.Parts) {
				return false
			}
		}
	}
	return !c.empty()
}

// blockedElsewhere returns a combination that was blocked before, or is blocked for another model, and a crash with it.
func (t *Tracker) blockedElsewhere(open []*serverCrash) ([]Part, []*serverCrash) {
	for _, c := range open {
		for _, reporter := range slices.Sorted(maps.Keys(c.prompts)) {
			for _, p := range c.prompts[reporter] {
				if combination := t.knownCombination(p); combination != nil {
					return combination, []*serverCrash{c}
				}
			}
		}
	}
	return nil, nil
}

// knownCombination returns the parts of a prompt whose content is, or was, blocked for any model.
func (t *Tracker) knownCombination(prompt []Part) []Part {
	for _, known := range []map[VerdictID]Verdict{t.verdicts, t.former} {
		for _, id := range slices.Sorted(maps.Keys(known)) {
			v := known[id]
			if v.State != Blocked {
				continue
			}
			same := sortParts(slices.DeleteFunc(slices.Clone(prompt), func(p Part) bool {
				return t.history.harmless(p) ||
					!slices.ContainsFunc(v.Parts, func(x Part) bool { return x.ID == p.ID })
			}))
			if sameIDs(same, v.Parts) {
				return same
			}
		}
	}
	return nil
}

// mostSpecific returns the largest combination that enough crashes have in common, and these crashes.
func (t *Tracker) mostSpecific(open []*serverCrash) ([]Part, []*serverCrash) {
	var best []Part
	var bestCrashes []*serverCrash
	for _, p := range t.candidates(open) {
		combination, crashes := t.inCommon(open, p)
		if !t.sufficient(crashes) {
			continue
		}
		if len(combination) > len(best) || len(combination) == len(best) && len(crashes) > len(bestCrashes) {
			best, bestCrashes = combination, crashes
		}
	}
	return best, bestCrashes
}

// candidates returns the parts in the reports that are not known to be harmless, in a fixed order.
func (t *Tracker) candidates(open []*serverCrash) []Part {
	var parts []Part
	for _, c := range open {
		for _, prompts := range c.prompts {
			for _, p := range prompts {
				parts = append(parts, p...)
			}
		}
	}
	return slices.DeleteFunc(sortParts(parts), t.history.harmless)
}

// inCommon returns the crashes with a part, and the suspect parts that all of them have in common with it. Crashes that
// have it by its hash only follow the others, since it is not known which of their parts were in one request.
func (t *Tracker) inCommon(open []*serverCrash, part Part) ([]Part, []*serverCrash) {
	var combination []Part
	var crashes []*serverCrash
	for _, c := range open {
		shared, ok := c.shared(part, t.history.harmless)
		if !ok {
			continue
		}
		if crashes != nil {
			shared = intersect(combination, shared)
		}
		combination, crashes = shared, append(crashes, c)
	}
	for _, c := range open {
		if slices.Contains(crashes, c) || !c.mayHave(part) {
			continue
		}
		combination = slices.DeleteFunc(slices.Clone(combination), func(p Part) bool { return !c.mayHave(p) })
		crashes = append(crashes, c)
	}
	slices.SortStableFunc(crashes, func(a, b *serverCrash) int { return a.at.Compare(b.at) })
	return sortParts(combination), crashes
}

// sufficient reports whether crashes with something in common are evidence against it.
func (t *Tracker) sufficient(crashes []*serverCrash) bool {
	var last time.Time
	count := 0
	for _, c := range crashes {
		if count == 0 || c.at.Sub(last) >= minCrashGap {
			count, last = count+1, c.at
		}
	}
	earliest := crashes[0]
	if len(servers(crashes)) < minServers {
		if count < minLoneCrashes {
			return false
		}
		// A server that has answered nothing since it was started again crashes whatever it is sent.
		earliest = crashes[len(crashes)-2]
	}
	if count < minCrashes {
		return false
	}
	if t.successAt.After(earliest.receivedAt) {
		return true
	}
	// Servers on which nothing succeeds crash for another reason.
	t.lacksSuccess = true
	return false
}

// servers returns the distinct servers of crashes.
func servers(crashes []*serverCrash) []laceunit.ServerID {
	var ids []laceunit.ServerID
	for _, c := range crashes {
		if !slices.Contains(ids, c.server) {
			ids = append(ids, c.server)
		}
	}
	return ids
}
