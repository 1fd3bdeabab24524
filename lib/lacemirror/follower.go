package lacemirror

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	// minBackoff and maxBackoff bound the exponential backoff after a failed call. Changes have to arrive within 2 s.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// listTimeout bounds the wait for the first byte of a list. A list that is being received is not cancelled.
	listTimeout = 3 * time.Second
	// listHedgeInterval is the interval at which further list calls are sent while none has been answered: a call
	// that was sent during an outage of the store may never be answered. Each call still has the full listTimeout
	// with a slow store.
	listHedgeInterval = 300 * time.Millisecond
	// recoveryGrace is how long after the recovery of the store entries that expired during the outage may take to be
	// registered again, if their owners are alive. It is a little less than two seconds, the time within which a
	// server that has really left must be out of use.
	recoveryGrace = 1800 * time.Millisecond
	// restoreGrace is how long after the first list of a restored store its entries may take to be written again that the
	// backup did not have: servers write each 1.2 s.
	restoreGrace = 1400 * time.Millisecond
	// DefaultRemovalGrace is the grace of the removals in a delta of an instance that does not say whether they are
	// final.
	DefaultRemovalGrace = time.Second
	// minOutage is the minimum time without contact that counts as an outage of the store.
	minOutage = 1500 * time.Millisecond
)

// Source describes where changes come from.
type Source struct {
	// FromPeer is true if another instance sent the changes.
	FromPeer bool
	// RemovalsFinalAt is when the removals among the changes become final unless the entries are registered again;
	// zero means at once. Entries may have expired during an outage of the store.
	RemovalsFinalAt time.Time
	Revision        laceplatform.Revision
}

// Handler processes changes in the order of their revisions; calls do not overlap.
type Handler func(changes []Change, source Source)

// Follower keeps a mirror up to date with the store or its peers.
type Follower struct {
	prefix  laceplatform.Key
	store   laceplatform.Store
	handler Handler
	log     *lacelog.Logger
	tracker *laceplatform.ConnectivityTracker

	// logFields returns additional fields for the log line of a lost contact; nil for none.
	logFields func() []lacelog.Pair
	// predecessor is the follower whose first copy this one waits for; nil for none.
	predecessor *Follower
	// loaded is closed when the first copy is complete.
	loaded chan struct{}

	mu     sync.Mutex
	mirror *Mirror
	// lastContact is when the store last responded, directly or as confirmed by a peer.
	lastContact time.Time
	failing     bool
	// syncedAt is the latest time at which the copy is known to have had every change in the store. While
	// watchingSince is set, calls that the store answers advance it too; watchingSince is zero while there is no
	// watch, the watch pauses, or it has failed and the store has not answered it since.
	syncedAt      laceunit.Uptime
	watchingSince laceunit.Uptime
	// receiving is true while a response of the store is being received.
	receiving bool
	// lastEvent is when the watch was opened or last had an event.
	lastEvent laceunit.Uptime
	// viaPeers is true while peers supply updates and the store is not watched.
	viaPeers bool
	// modeChanged is closed and replaced when viaPeers changes.
	modeChanged chan struct{}
	// removalsFinalAt is the time before which no removal is final, neither those in the copy nor further ones.
	removalsFinalAt time.Time
	// restoredUntil is until when owners may register entries again that were lost when the store was restored.
	restoredUntil time.Time
	// pending are newer revisions that peers are known to have, pendingReportedAt is when one was last reported.
	pending           pendingRevisions
	pendingReportedAt laceunit.Uptime
}

// NewFollower returns a follower of a prefix. The tracker records the connectivity to the store.
func NewFollower(
	prefix laceplatform.Key, store laceplatform.Store, tracker *laceplatform.ConnectivityTracker, log *lacelog.Logger,
	handler Handler,
) *Follower {
	return &Follower{
		prefix:      prefix,
		store:       store,
		handler:     handler,
		log:         log,
		tracker:     tracker,
		mirror:      NewMirror(prefix),
		modeChanged: make(chan struct{}),
		loaded:      make(chan struct{}),
	}
}

// StartAfter delays the start of the follower until another follower of the same store has its first copy. When many
// instances start during an outage of the store, each of them then calls it for one prefix only. It must be called
// before Serve.
func (f *Follower) StartAfter(predecessor *Follower) { f.predecessor = predecessor }

// AddLogFields sets a function that returns additional fields for the log line of a lost contact. It must be called
// before Serve.
func (f *Follower) AddLogFields(fields func() []lacelog.Pair) { f.logFields = fields }

// SetViaPeers sets whether peers supply updates, so that the store need not be watched.
func (f *Follower) SetViaPeers(viaPeers bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.viaPeers == viaPeers {
		return
	}
	f.viaPeers, f.failing = viaPeers, false
	close(f.modeChanged)
	f.modeChanged = make(chan struct{})
}

// signalLoaded wakes those that wait for the first copy, if it is complete; the lock must be held.
func (f *Follower) signalLoaded() {
	select {
	case <-f.loaded:
	default:
		if f.mirror.Revision() > 0 {
			close(f.loaded)
		}
	}
}

// mode returns whether peers supply updates, and a channel that is closed when that changes.
func (f *Follower) mode() (viaPeers bool, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.viaPeers, f.modeChanged
}

// Prefix returns the prefix that is mirrored.
func (f *Follower) Prefix() laceplatform.Key { return f.prefix }

// DeltaSince returns the changes that a copy at a revision does not have, and the value that its base identifies, nil
// if it is not available here. The last result is false if there are no changes.
func (f *Follower) DeltaSince(revision laceplatform.Revision, base Base) (Delta, []byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.mirror.DeltaSince(revision)
	if !ok {
		return d, nil, false
	}
	d.RemovalGrace = max(time.Until(f.removalsFinalAt), 0)
	if revision.Era() < d.Revision.Era() {
		d.RemovalGrace = max(time.Until(f.restoredUntil), d.RemovalGrace)
	}
	value, _ := f.mirror.BaseValue(base)
	return d, value, true
}

// Base returns the base that peers can encode this copy's next delta against, and its value.
func (f *Follower) Base() (Base, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Base()
}

// SetNormalizer sets a function that returns the content of an entry as a comparable value, or nil if the entry can't
// be parsed. A write that does not change the normalized content is neither handled nor propagated. SetNormalizer
// must be called before Serve.
func (f *Follower) SetNormalizer(normalize func(laceplatform.Entry) any) {
	f.mirror.normalize = normalize
}

// SetSequencer sets a function that returns the position of an entry among all that its writer has written, and false if
// it has none. When the store is restored from a backup, contents that are known to be newer than the backup are kept.
// SetSequencer must be called before Serve.
func (f *Follower) SetSequencer(sequence func(laceplatform.Entry) (Sequence, bool)) {
	f.mirror.sequence = sequence
}

// Merge applies a delta from another instance.
func (f *Follower) Merge(d Delta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// An older delta than the copy is not applied; its grace does not hold for the removals of the copy.
	previous := f.mirror.Revision()
	changes := f.mirror.Merge(d)
	if f.recordEra(previous, len(changes), d.RemovalGrace) {
		f.notifyUntil(changes, true, f.restoredUntil)
		return
	}
	if d.Revision > previous && d.RemovalGrace > 0 {
		f.deferRemovals(time.Now().Add(d.RemovalGrace))
	}
	f.notify(changes, true)
}

// deferRemovals records that no removal is final before a time; the lock must be held.
func (f *Follower) deferRemovals(until time.Time) {
	if until.After(f.removalsFinalAt) {
		f.removalsFinalAt = until
	}
}

// recordEra records that the copy may have moved to a later era of the store since a revision, and reports whether it
// has. Owners may register lost entries again within a grace period. The lock must be held.
func (f *Follower) recordEra(previous laceplatform.Revision, changes int, grace time.Duration) bool {
	current := f.mirror.Revision()
	if previous == 0 || current.Era() == previous.Era() {
		return false
	}
	f.restoredUntil = time.Now().Add(grace)
	f.log.Write(lacelog.StoreRestored, lacelog.P("prefix", f.prefix), lacelog.P("era", current.Era()),
		lacelog.P(lacelog.Revision, current.Number()), lacelog.P("previous_era", previous.Era()),
		lacelog.P("previous_revision", previous.Number()), lacelog.P("changes", changes))
	return true
}

// Serve implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		viaPeers, changed := f.mode()
		inner, cancel := context.WithCancel(ctx)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			defer cancel()
			select {
			case <-changed:
			case <-inner.Done():
			}
		}()
		if viaPeers {
			<-inner.Done()
		} else {
			f.followStore(inner)
		}
		cancel()
		<-stopped
	}
	return ctx.Err()
}

// followStore lists and watches the store until the context ends.
func (f *Follower) followStore(ctx context.Context) {
	if f.predecessor != nil {
		select {
		case <-f.predecessor.loaded:
		case <-ctx.Done():
			return
		}
	}
	backoff := minBackoff
	// A copy received from peers is as good as a list, unless newer revisions are pending: a watch delivers every
	// version since, a list only the newest.
	listed := f.upToDate()
	for ctx.Err() == nil {
		var err error
		if !listed {
			_, err = f.list(ctx)
		}
		if err == nil {
			listed = true
			err = f.watch(ctx, func() { backoff = minBackoff })
		}
		if errors.Is(err, laceplatform.ErrWatchLagging) {
			err = f.catchUp(ctx)
		}
		if errors.Is(err, laceplatform.ErrCompacted) {
			listed = false
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			continue
		}
		f.recordFailure(err)
		lacekernel.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

func (f *Follower) watch(ctx context.Context, onEvent func()) error {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	s := f.Status()
	tracedCtx := httptrace.WithClientTrace(inner, &httptrace.ClientTrace{GotFirstResponseByte: f.markReceiving})
	w, err := f.store.Watch(tracedCtx, f.prefix, s.Revision)
	if err != nil {
		return err
	}
	defer func() { f.endWatch(ctx.Err() != nil) }()
	for e := range w.Events() {
		onEvent()
		f.applyEvent(e)
	}
	err = w.Err()
	if closeErr := w.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = laceplatform.ErrUnavailable
	}
	return err
}

func (f *Follower) applyEvent(e laceplatform.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordContact()
	f.recordProgress(e)
	if c, ok := f.mirror.ApplyEvent(e); ok {
		f.notify([]Change{c}, false)
	}
	f.pending.dropUpTo(f.mirror.Revision())
}

func (f *Follower) recordContact() {
	now := time.Now()
	silence := now.Sub(f.lastContact)
	if !f.lastContact.IsZero() && silence > minOutage && f.failing {
		f.deferRemovals(now.Add(recoveryGrace))
	}
	if f.failing {
		f.log.Write(lacelog.SyncRestored, lacelog.P("prefix", f.prefix),
			lacelog.P(lacelog.Revision, f.mirror.Revision()), lacelog.P("silence_ms", silence.Milliseconds()))
	}
	f.lastContact, f.failing = now, false
}

func (f *Follower) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing {
		fields := []lacelog.Pair{
			lacelog.P("prefix", f.prefix), lacelog.P(lacelog.Reason, err.Error()),
			lacelog.P(lacelog.Revision, f.mirror.Revision()),
			lacelog.P(lacelog.Age, time.Since(f.lastContact).Milliseconds()),
		}
		if f.logFields != nil {
			fields = append(fields, f.logFields()...)
		}
		f.log.Write(lacelog.SyncLost, fields...)
	}
	f.failing = true
}

// notify passes changes on; the lock must be held.
func (f *Follower) notify(changes []Change, fromPeer bool) {
	f.notifyUntil(changes, fromPeer, time.Time{})
}

// notifyUntil is notify with removals that are not final before a time.
func (f *Follower) notifyUntil(changes []Change, fromPeer bool, finalAt time.Time) {
	f.signalLoaded()
	f.pending.dropUpTo(f.mirror.Revision())
	if len(changes) == 0 {
		return
	}
	source := Source{
		FromPeer: fromPeer,
		Revision: f.mirror.Revision(),
	}
	if f.removalsFinalAt.After(finalAt) {
		finalAt = f.removalsFinalAt
	}
	if time.Now().Before(finalAt) {
		source.RemovalsFinalAt = finalAt
	}
	f.handler(changes, source)
}
