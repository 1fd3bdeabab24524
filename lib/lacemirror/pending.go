package lacemirror

import (
	"slices"
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// pendingTTL is how long a pending revision counts after a peer last reported one. The peers that have it may be
// unreachable for long.
const pendingTTL = 5 * time.Second

// maxPending bounds the pending revisions that are kept; above it only the oldest matter.
const maxPending = 64

// pendingRevisions are the revisions that peers have and this copy does not, with the time of each report. The zero
// value is empty.
type pendingRevisions []pendingRevision

type pendingRevision struct {
	revision   laceplatform.Revision
	reportedAt laceunit.Uptime
}

// add records a revision that a peer has.
func (p *pendingRevisions) add(revision laceplatform.Revision, at laceunit.Uptime) {
	n := len(*p)
	if n > 0 && (*p)[n-1].revision >= revision || n >= maxPending {
		return
	}
	*p = append(*p, pendingRevision{
		revision:   revision,
		reportedAt: at,
	})
}

// dropUpTo removes the revisions that a copy complete at a revision has.
func (p *pendingRevisions) dropUpTo(revision laceplatform.Revision) {
	for len(*p) > 0 && (*p)[0].revision <= revision {
		*p = (*p)[1:]
	}
}

// dropReportedBy removes what was reported up to a time at which the copy was current: the copy has those revisions,
// or the reports were wrong.
func (p *pendingRevisions) dropReportedBy(at laceunit.Uptime) {
	*p = slices.DeleteFunc(*p, func(r pendingRevision) bool { return r.reportedAt <= at })
}

// AddPending records that a peer has a revision whose delta is too large to be sent along with other updates.
func (f *Follower) AddPending(revision laceplatform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision > f.mirror.Revision() {
		f.pendingReportedAt = f.tracker.Now()
		f.pending.add(revision, f.pendingReportedAt)
	}
}

// upToDate reports whether there is a copy and no newer revision is known.
func (f *Follower) upToDate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Revision() > 0 && len(f.pending) == 0
}
