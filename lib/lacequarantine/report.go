package lacequarantine

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceunit"
)

// Suspects returns the parts of a prompt on which no server is known to have written an answer, for the report on the
// crash of a server, and whether one of them was in the reports on an earlier crash. A report may have room for the
// hashes of most of them only, so that those come first that were in earlier crashes. The order of the others differs
// from crash to crash.
func (t *Tracker) Suspects(prompt []Part, server laceunit.ServerID, startTime int64) (suspects []Part, accused bool) {
	seen := make(map[Part]bool, len(prompt))
	for _, p := range prompt {
		if !seen[p] && !t.history.harmless(p) {
			suspects = append(suspects, p.clone())
		}
		seen[p] = true
	}
	accusedParts := t.accusedBefore(suspects, server, startTime)
	crash := string(server) + "\n" + strconv.FormatInt(startTime, 10) + "\n"
	ranks := make(map[Part]uint64, len(suspects))
	for _, p := range suspects {
		ranks[p] = xxhash.Sum64String(crash + p.String())
	}
	slices.SortFunc(suspects, func(a, b Part) int {
		if accusedParts[a] != accusedParts[b] {
			if accusedParts[a] {
				return -1
			}
			return 1
		}
		return cmp.Compare(ranks[a], ranks[b])
	})
	return suspects, len(accusedParts) > 0
}

// accusedBefore returns which parts were in the reports on other crashes than that of a server.
func (t *Tracker) accusedBefore(parts []Part, server laceunit.ServerID, startTime int64) map[Part]bool {
	accused := map[Part]bool{}
	if len(parts) == 0 {
		return accused
	}
	candidates := make(map[Part]struct{}, len(parts))
	for _, p := range parts {
		candidates[p] = struct{}{}
	}
	for _, c := range t.crashes {
		if c.server == server && c.startTime == startTime {
			continue
		}
		for _, prompts := range c.prompts {
			for _, p := range slices.Concat(prompts...) {
				if _, ok := candidates[p]; ok {
					accused[p] = true
				}
			}
		}
		if len(c.others) == 0 {
			continue
		}
		for p := range candidates {
			if c.hashed(p) {
				accused[p] = true
			}
		}
	}
	return accused
}

// AddRequest adds the prompt of a request that ran on a crashed server to the report of this instance. It reports whether
// a suspect part was in the reports on an earlier crash.
func (t *Tracker) AddRequest(c *Crash, prompt []Part) bool {
	suspects, accused := t.Suspects(prompt, c.Server, c.StartTime)
	c.addPrompt(suspects, accused)
	c.addAnswered(slices.DeleteFunc(slices.Clone(prompt), func(p Part) bool { return !t.history.harmless(p) }))
	return accused
}

// addPrompt adds the parts of a request to a report. The hashes of suspect parts for which it has no room remain. If
// the report is full, a request whose first parts were in an earlier crash takes the place of another.
func (c *Crash) addPrompt(suspects []Part, accused bool) {
	if len(suspects) == 0 {
		return
	}
	prompts := append(slices.Clone(c.Prompts), suspects[:min(len(suspects), MaxRecordParts)])
	if last := len(prompts) - 1; last >= maxPrompts {
		if accused {
			prompts[0], prompts[last] = prompts[last], prompts[0]
		}
		c.Others = c.Others.with(maxReportHashes, prompts[last]...)
		prompts = prompts[:last]
	}
	c.Others = c.Others.with(maxReportHashes, slices.Concat(append(prompts, suspects)...)...)
	c.Prompts = fitPrompts(prompts, maxReportParts)
	c.Others = c.Others.without(slices.Concat(c.Prompts...))
}

// addAnswered adds the parts of a request on which servers have written answers.
func (c *Crash) addAnswered(parts []Part) {
	c.Answered = c.Answered.with(maxReportHashes-len(c.Others), parts...)
}

// countParts returns the number of parts in all prompts.
func countParts(prompts [][]Part) int {
	n := 0
	for _, p := range prompts {
		n += len(p)
	}
	return n
}

// fitPrompts returns prompts with at most limit parts in all. If they have more, each keeps the same number of its first
// parts, or all if it has fewer.
func fitPrompts(prompts [][]Part, limit int) [][]Part {
	if countParts(prompts) <= limit {
		return prompts
	}
	share, rest := 0, limit
	for open := len(prompts); open > 0 && rest >= open; open = countLonger(prompts, share) {
		share++
		rest -= open
	}
	fitted := make([][]Part, 0, len(prompts))
	for _, p := range prompts {
		if n := min(len(p), share); n > 0 {
			fitted = append(fitted, p[:n:n])
		}
	}
	return fitted
}

// countLonger returns how many prompts have more parts than a number.
func countLonger(prompts [][]Part, length int) int {
	n := 0
	for _, p := range prompts {
		if len(p) > length {
			n++
		}
	}
	return n
}
