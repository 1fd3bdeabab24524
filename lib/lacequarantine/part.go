package lacequarantine

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceunit"
)

const (
	// MaxParts bounds how many parts of a request are considered: more than fit into a header of 16 KB with ids of eight
	// characters and sizes of three. Callers choose the header that lists them.
	MaxParts = 2048
	// MaxRecordParts bounds the parts of a request or a verdict in a record or a line of the log.
	MaxRecordParts = 64
	// MaxIDBytes bounds the length of the id of a part.
	MaxIDBytes = 64
)

// Part is a part of a prompt that several requests share.
type Part struct {
	Model laceunit.ModelID
	// ID identifies the content of the part.
	ID string
}

// String returns the part as it appears in logs.
func (p Part) String() string { return string(p.Model) + "/" + p.ID }

// clone returns a copy that does not keep the header alive that the part was parsed from.
func (p Part) clone() Part {
	return Part{
		Model: laceunit.ModelID(strings.Clone(string(p.Model))),
		ID:    strings.Clone(p.ID),
	}
}

// Format returns parts as they appear in logs, at most MaxRecordParts of them.
func Format(parts []Part) []string {
	parts = parts[:min(len(parts), MaxRecordParts)]
	list := make([]string, 0, len(parts))
	for _, p := range parts {
		list = append(list, p.String())
	}
	return list
}

// sortParts returns a sorted copy without duplicates.
func sortParts(parts []Part) []Part {
	sorted := slices.Clone(parts)
	slices.SortFunc(sorted, func(a, b Part) int { return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.ID, b.ID)) })
	return slices.Compact(sorted)
}

// containsAll reports whether a prompt has all parts of a combination.
func containsAll(prompt, combination []Part) bool {
	for _, p := range combination {
		if !slices.Contains(prompt, p) {
			return false
		}
	}
	return true
}

// intersect returns the parts of a that are also in b.
func intersect(a, b []Part) []Part {
	var common []Part
	for _, p := range a {
		if slices.Contains(b, p) {
			common = append(common, p)
		}
	}
	return common
}

// combinationID returns the id of the verdict on a sorted combination of parts.
func combinationID(combination []Part) VerdictID {
	return VerdictID(strconv.FormatUint(xxhash.Sum64String(strings.Join(Format(combination), "\n")), 16))
}
