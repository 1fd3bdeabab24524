package lacenode

import (
	"strings"
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacewire"
)

// maxAge bounds the ages in messages of peers. Larger values are implausible, and much larger ones overflow.
const maxAge = 365 * 24 * time.Hour

// maxRemovalGrace bounds the grace of removals in messages of peers: a removed server stays in use for as long.
const maxRemovalGrace = 10 * time.Second

// validate returns why the answer of a peer is malformed, or an empty string if it is valid.
func (r *replicator) validate(answer *lacewire.MirrorNews) string {
	for _, d := range answer.GetDeltas() {
		switch {
		case r.follower(laceplatform.Key(d.GetPrefix())) == nil:
			return "delta of an unknown prefix"
		case lacewire.ToRevision(d.GetEra(), d.GetRevision()) == 0 || d.GetFrom() < 0:
			return "delta with an invalid revision"
		case d.GetRemovalGraceMs() < 0 || d.GetRemovalGraceMs() > maxRemovalGrace.Milliseconds():
			return "delta with a removal grace out of range"
		case hasInvalidEntry(d):
			return "delta with an invalid entry"
		}
	}
	seen := map[string]bool{}
	for _, c := range answer.GetConfirmed() {
		switch prefix := c.GetPrefix(); {
		case r.follower(laceplatform.Key(prefix)) == nil || seen[prefix]:
			return "confirmation of an unknown or repeated prefix"
		case lacewire.ToRevision(c.GetEra(), c.GetRevision()) == 0:
			return "confirmation without a revision"
		case c.GetNewest() < 0 || c.GetNewest() > c.GetRevision():
			return "confirmation with an invalid newest revision"
		case c.GetAgeMs() < 0 || c.GetAgeMs() > maxAge.Milliseconds():
			return "confirmation with an age out of range"
		default:
			seen[prefix] = true
		}
	}
	return ""
}

// hasInvalidEntry reports whether a delta has a key outside its prefix or an entry without a revision.
func hasInvalidEntry(d *lacewire.MirrorDelta) bool {
	for _, e := range d.GetEntries() {
		if !strings.HasPrefix(e.GetKey(), d.GetPrefix()) || lacewire.ToRevision(d.GetEra(), e.GetRevision()) == 0 {
			return true
		}
	}
	for _, r := range d.GetRemoved() {
		if !strings.HasPrefix(r.GetKey(), d.GetPrefix()) || lacewire.ToRevision(d.GetEra(), r.GetRevision()) == 0 {
			return true
		}
	}
	return false
}
