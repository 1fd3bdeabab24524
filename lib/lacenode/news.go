package lacenode

import (
	"strings"
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacewire"
)

// mostAge bounds the ages in the messages of other instances. Above it they can't be meant, and far above it they overflow.
const mostAge = 365 * 24 * time.Hour

// fault names what in an answer of another instance can't be meant; empty means nothing.
func (x *exchange) fault(news *lacewire.MirrorNews) string {
	for _, d := range news.GetDeltas() {
		switch {
		case x.follower(laceplatform.Key(d.GetPrefix())) == nil:
			return "news of an unknown prefix"
		case d.GetRevision() <= 0 || d.GetFrom() < 0:
			return "news without a revision"
		case strays(d):
			return "news with a foreign key"
		}
	}
	seen := map[string]bool{}
	for _, c := range news.GetConfirmed() {
		switch prefix := c.GetPrefix(); {
		case x.follower(laceplatform.Key(prefix)) == nil || seen[prefix]:
			return "age of an unknown or repeated prefix"
		case c.GetRevision() <= 0:
			return "age without a revision"
		case c.GetNewest() < 0 || c.GetNewest() > c.GetRevision():
			return "age with a foreign revision"
		case c.GetAgeMs() < 0 || c.GetAgeMs() > mostAge.Milliseconds():
			return "age out of bounds"
		default:
			seen[prefix] = true
		}
	}
	return ""
}

// strays reports whether a delta holds a key that is not of its prefix, or an entry without a revision.
func strays(d *lacewire.MirrorDelta) bool {
	for _, e := range d.GetEntries() {
		if !strings.HasPrefix(e.GetKey(), d.GetPrefix()) || e.GetRevision() <= 0 {
			return true
		}
	}
	for _, r := range d.GetRemoved() {
		if !strings.HasPrefix(r.GetKey(), d.GetPrefix()) || r.GetRevision() <= 0 {
			return true
		}
	}
	return false
}
