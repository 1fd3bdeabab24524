package lacequarantine

import (
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

// VerdictID identifies a verdict; it is derived from the parts that the verdict began with.
type VerdictID string

// State is what a verdict says about its combination of parts.
type State string

// The states.
const (
	// Blocked means that requests with all parts of the combination are refused.
	Blocked State = "blocked"
	// Lifted means that the combination proved harmless; the crashes until then do not count against it.
	Lifted State = "lifted"
	// Allowed means that the operator exempted the combination: no crash counts against it.
	Allowed State = "allowed"
)

// Operator is the origin of a verdict that only the operator changes.
const Operator laceunit.InstanceID = "operator"

// Verdict is a decision about a combination of parts. A single part can't be blamed as long as it has only been seen
// together with others that may be the cause as well.
type Verdict struct {
	ID    VerdictID
	State State
	Parts []Part
	// At is when the verdict was last changed, by the wall clock of its origin.
	At time.Time
	// Since is the time from which an answer of a server exonerates a part: that at which the combination was last
	// lifted, or zero.
	Since time.Time
	// Origin is the instance that reached the verdict, or Operator.
	Origin laceunit.InstanceID
	// Servers are those whose crashes led to the verdict.
	Servers []laceunit.ServerID
	// EnforcedAt is when the verdict came into force at this instance.
	EnforcedAt time.Time
}

// provisionalAge is the age until which other instances may still relax a verdict.
const provisionalAge = 2 * time.Second

// Provisional reports whether other instances may still relax the verdict because they know that parts are harmless.
func (v Verdict) Provisional(now time.Time) bool { return now.Sub(v.EnforcedAt) < provisionalAge }

// newVerdict returns a verdict on a sorted combination.
func newVerdict(now time.Time, combination []Part, servers []laceunit.ServerID) Verdict {
	return Verdict{
		ID:      combinationID(combination),
		State:   Blocked,
		Parts:   combination,
		At:      now,
		Servers: servers,
	}
}

// sameIDs reports whether two sorted combinations have the same content, possibly for different models.
func sameIDs(a, b []Part) bool {
	return slices.EqualFunc(a, b, func(x, y Part) bool { return x.ID == y.ID })
}

// blockIndex finds the verdict that blocks a request. It is immutable, so that requests read it without a lock. Each
// verdict is indexed by its first part.
type blockIndex map[Part][]Verdict

func newBlockIndex(verdicts map[VerdictID]Verdict) blockIndex {
	index := blockIndex{}
	for _, v := range verdicts {
		if v.State == Blocked && len(v.Parts) > 0 {
			index[v.Parts[0]] = append(index[v.Parts[0]], v)
		}
	}
	return index
}

// match returns a verdict that blocks a prompt.
func (x blockIndex) match(prompt []Part) (Verdict, bool) {
	if len(x) == 0 {
		return Verdict{}, false
	}
	for _, p := range prompt {
		for _, v := range x[p] {
			if containsAll(prompt, v.Parts) {
				return v, true
			}
		}
	}
	return Verdict{}, false
}
