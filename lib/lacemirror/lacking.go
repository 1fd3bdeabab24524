package lacemirror

import (
	"slices"
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// forgetTime is how long after the last word of a newer copy it counts. Those that hold it may be out of reach for long.
const forgetTime = 5 * time.Second

// lackingMost bounds the newer copies that are remembered; beyond it only the oldest matter.
const lackingMost = 64

// lacking are the revisions of copies that others hold and this one lacks, with when each was heard of. The zero value is empty.
type lacking []told

type told struct {
	revision laceplatform.Revision
	at       laceunit.Uptime
}

// add takes in that a copy at a revision exists.
func (l *lacking) add(revision laceplatform.Revision, at laceunit.Uptime) {
	n := len(*l)
	if n > 0 && (*l)[n-1].revision >= revision || n >= lackingMost {
		return
	}
	*l = append(*l, told{
		revision: revision,
		at:       at,
	})
}

// drop takes in that the copy is complete at a revision.
func (l *lacking) drop(revision laceplatform.Revision) {
	for len(*l) > 0 && (*l)[0].revision <= revision {
		*l = (*l)[1:]
	}
}

// settle takes in that the copy was current at a moment: what was heard of before then is in it, or was never true.
func (l *lacking) settle(at laceunit.Uptime) {
	*l = slices.DeleteFunc(*l, func(t told) bool { return t.at <= at })
}

// Lacks takes in that others hold a copy at a revision that is too large to be told beside other news.
func (f *Follower) AddPending(revision laceplatform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision > f.mirror.Revision() {
		f.told = f.pulse.Now()
		f.lacking.add(revision, f.told)
	}
}

// current reports whether there is a copy and nothing newer is known.
func (f *Follower) current() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Revision() > 0 && len(f.lacking) == 0
}
