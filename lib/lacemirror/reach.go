package lacemirror

import (
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// watchSilence is how long a watch may be without an event. Rounds take up to 2.5 s and pauses 0.4 s; a longer silence is that of a
// machine that was suspended, whose connections may be dead without its timers knowing. The copy is then as old as at the last
// event, as after a watch that failed.
const watchSilence = 3 * time.Second

// Status tells how current a copy is.
type Status struct {
	Revision laceplatform.Revision
	// Reached is the newest moment at which the copy is known to have been current, whoever told; zero means never. While
	// a watch is in place, each call that the store answers moves it.
	SyncedAt laceunit.Uptime
	// Failing is true while the last call to the store has failed.
	Failing bool
	// Lacking is since when a newer copy is known to exist; zero while none is.
	PendingSince laceunit.Uptime
	// Newest is the revision at which the copy last changed in what it says.
	LastChange laceplatform.Revision
}

// Status returns how current the copy is.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Status{
		Revision:   f.mirror.Revision(),
		SyncedAt:   f.reach(),
		Failing:    f.failing,
		LastChange: f.mirror.LastChange(),
	}
	if len(f.lacking) > 0 && f.pulse.Now().Sub(f.told) <= forgetTime {
		s.PendingSince = f.lacking[0].at
	}
	return s
}

// reach returns the newest moment at which the copy is known to have been current; the lock must be held.
func (f *Follower) reach() laceunit.Uptime {
	at := f.pulse.Contact().Answered
	if f.watched > 0 && at >= f.watched && at.Sub(f.heard) <= watchSilence {
		return max(f.reached, at)
	}
	return f.reached
}

// advance takes in that the copy was current at a moment; the lock must be held.
func (f *Follower) advance(at laceunit.Uptime) {
	f.reached = max(f.reached, at)
	f.lacking.settle(at)
}

// unwatch tells that a watch has ended. One that has failed may have been silent since its last event, so that what the store
// answered elsewhere meanwhile says nothing about the copy.
func (f *Follower) unwatch(sound bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sound {
		f.reached = f.reach()
	}
	f.watched, f.arriving = 0, false
}

// progress takes in that a watch has told something. A progress event tells since when nothing is missing, and whether the store
// is asked until the next event.
func (f *Follower) progress(e laceplatform.Event) {
	f.reached = f.reach()
	f.advance(e.Sent)
	f.heard = f.pulse.Now()
	if !e.Progress {
		return
	}
	f.arriving = false
	switch {
	case e.Idle:
		f.watched = 0
	case f.watched == 0:
		f.watched = f.pulse.Now()
	}
}

// arrive takes in the first byte of an answer to the watch. Until the rest is here, calls that are answered meanwhile say nothing
// about the copy: on a full link they overtake what the watch brings.
func (f *Follower) arrive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reached = f.reach()
	f.watched, f.arriving = 0, true
}

// Arriving reports whether an answer of the store is on its way.
func (f *Follower) Receiving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.arriving
}

// Confirm takes in that the copy of another instance, complete at a revision, was known to be current at a moment. It
// reports whether this copy is now known to be as current.
func (f *Follower) Confirm(revision laceplatform.Revision, at laceunit.Uptime) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mirror.Revision() < revision {
		return false
	}
	f.advance(at)
	if told := time.Now().Add(-f.pulse.Now().Sub(at)); told.After(f.contact) {
		f.contact = told
	}
	return true
}
