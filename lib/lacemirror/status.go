package lacemirror

import (
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// maxWatchSilence is the longest time without an event during which a watch counts as alive. Rounds take up to 2.5 s
// and pauses 0.4 s; a longer silence means that the machine was suspended, and its connections may be dead although
// its timers have not expired. The copy is then as old as its last event, as after a failed watch.
const maxWatchSilence = 3 * time.Second

// Status describes how current a copy is.
type Status struct {
	Revision laceplatform.Revision
	// SyncedAt is the latest time at which the copy was current, as confirmed by the store or a peer; zero means never.
	// While a watch is active, each call that the store answers advances it.
	SyncedAt laceunit.Uptime
	// Failing is true while the last call to the store has failed.
	Failing bool
	// PendingSince is since when a newer revision is known to exist; zero if none is.
	PendingSince laceunit.Uptime
	// LastChange is the revision at which the normalized content of the copy last changed.
	LastChange laceplatform.Revision
}

// Status returns how current the copy is.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Status{
		Revision:   f.mirror.Revision(),
		SyncedAt:   f.lastSynced(),
		Failing:    f.failing,
		LastChange: f.mirror.LastChange(),
	}
	if len(f.pending) > 0 && f.tracker.Now().Sub(f.pendingReportedAt) <= pendingTTL {
		s.PendingSince = f.pending[0].reportedAt
	}
	return s
}

// lastSynced returns the latest time at which the copy is known to have been current; the lock must be held.
func (f *Follower) lastSynced() laceunit.Uptime {
	c := f.tracker.Connectivity()
	at := c.LastReachable
	if c.Era != f.mirror.Revision().Era() {
		// The responses are those of a store that was restored since.
		return f.syncedAt
	}
	if f.watchingSince > 0 && at >= f.watchingSince && at.Sub(f.lastEvent) <= maxWatchSilence {
		return max(f.syncedAt, at)
	}
	return f.syncedAt
}

// markSynced records that the copy was current at a time; the lock must be held.
func (f *Follower) markSynced(at laceunit.Uptime) {
	f.syncedAt = max(f.syncedAt, at)
	f.pending.dropReportedBy(at)
}

// endWatch records that a watch has ended. A watch that has failed may have been dead since its last event, so that
// responses to other calls since then do not prove that the copy is current.
func (f *Follower) endWatch(clean bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if clean {
		f.syncedAt = f.lastSynced()
	}
	f.watchingSince, f.receiving = 0, false
}

// recordProgress records an event of a watch. A progress event carries the time up to which all changes were
// delivered, and whether the watch pauses until the next event; the lock must be held.
func (f *Follower) recordProgress(e laceplatform.Event) {
	f.syncedAt = f.lastSynced()
	f.markSynced(e.RequestedAt)
	f.lastEvent = f.tracker.Now()
	if !e.Progress {
		return
	}
	f.receiving = false
	switch {
	case e.Paused:
		f.watchingSince = 0
	case f.watchingSince == 0:
		f.watchingSince = f.tracker.Now()
	}
}

// markReceiving records the first byte of a response to the watch. Until the response is complete, responses to other
// calls do not prove that the copy is current: on a saturated link they overtake the events of the watch.
func (f *Follower) markReceiving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncedAt = f.lastSynced()
	f.watchingSince, f.receiving = 0, true
}

// Receiving reports whether a response of the store is being received.
func (f *Follower) Receiving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.receiving
}

// Confirm records that the copy of a peer, complete at a revision, was known to be current at a time. It reports
// whether this copy is now known to have been current at that time too.
func (f *Follower) Confirm(revision laceplatform.Revision, at laceunit.Uptime) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.mirror.Revision()
	if current < revision || current.Era() != revision.Era() || current.Era() < f.tracker.Connectivity().Era {
		return false
	}
	f.markSynced(at)
	if confirmed := time.Now().Add(-f.tracker.Now().Sub(at)); confirmed.After(f.lastContact) {
		f.lastContact = confirmed
	}
	return true
}
