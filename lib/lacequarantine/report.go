package lacequarantine

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceunit"
)

// Suspects returns the parts of a prompt on which no server is known to have written an answer, for the report on the
// crash of a server, and whether one of them was in the reports on an earlier crash. A report may have no room for all
// of them, so that those come first that were in earlier crashes. The order of the others differs from crash to crash,
// so that no number or position of other parts keeps one out of all reports.
func (t *Tracker) Suspects(prompt []Part, server laceunit.ServerID, startTime int64) (suspects []Part, accused bool) {
	for _, p := range prompt {
		if !t.history.harmless(p) && !slices.Contains(suspects, p) && len(suspects) < MaxParts {
			suspects = append(suspects, p.clone())
		}
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
	}
	return accused
}

// addPrompt adds the suspect parts of a request to a report, as far as the report has room for them.
func (c *Crash) addPrompt(suspects []Part) {
	if len(c.Prompts) < maxPrompts {
		c.Prompts = fitPrompts(append(slices.Clone(c.Prompts), suspects), maxReportParts)
	}
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
