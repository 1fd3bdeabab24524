package lacewriter

import (
	"context"
	"slices"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// Sizes and limits of the log ring.
const (
	// RingSlots is the number of slots in a shard's log ring.
	RingSlots = 512
	// snapshotInterval is the number of entries after which a snapshot is due.
	snapshotInterval = RingSlots / 4
	// maxEntriesSinceSnapshot bounds the entries after the last snapshot. Further appends are rejected, so that a load
	// always finds these entries in the ring.
	maxEntriesSinceSnapshot = RingSlots / 2
	// maxCatchUpReads is the number of reads of single slots after which a catch-up lists the whole ring instead.
	maxCatchUpReads = 8
	// maxLoadAttempts bounds the retries of a load whose snapshot is replaced concurrently. It also bounds the retries
	// of other reads and compare-and-swaps of this package.
	maxLoadAttempts = 8
)

// ErrDamaged means that the log on the platform is corrupted: its contents are invalid or inconsistent.
var ErrDamaged = errors.New("writer: log is damaged")

// errRingGap means that entries after the loaded snapshot have already been overwritten in the ring.
var errRingGap = errors.New("writer: ring is ahead of the snapshot")

// Log is the log of one shard on the platform, with a local copy of the state that results from its entries.
type Log struct {
	options
	store  laceplatform.Store
	shard  laceunit.ShardID
	holder laceunit.Holder

	// appendLock serializes loads, catch-ups and appends; snapshotLock serializes snapshots.
	appendLock   chan struct{}
	snapshotLock chan struct{}
	// partCache holds the snapshot parts that unfinished loads have read, so that a load after a timeout resumes
	// instead of starting over. It is guarded by appendLock.
	partCache map[string][]byte

	// mu guards the fields below. It is never held during a call to the platform.
	mu        sync.Mutex
	state     *laceledger.State
	revisions [RingSlots]laceplatform.Revision
	head      snapshotHead
}

// snapshotHead is the latest known head of a snapshot.
type snapshotHead struct {
	revision laceplatform.Revision
	message  *lacewire.LedgerHead
}

func (h snapshotHead) sequence() laceunit.Sequence {
	return laceunit.Sequence(h.message.GetSequence())
}

// NewLog returns the log of a shard. The first call that needs the state loads it.
func NewLog(store laceplatform.Store, shard laceunit.ShardID, holder laceunit.Holder, opts ...Option) *Log {
	return &Log{
		options:      newOptions(opts),
		store:        store,
		shard:        shard,
		holder:       holder,
		appendLock:   make(chan struct{}, 1),
		snapshotLock: make(chan struct{}, 1),
	}
}

func slotIndex(n laceunit.Sequence) int { return int(n % RingSlots) }

func (l *Log) keyPrefix(kind string) laceplatform.Key {
	return laceplatform.Key(kind + "/" + strconv.Itoa(int(l.shard)) + "/")
}

func (l *Log) slotKey(n laceunit.Sequence) laceplatform.Key {
	return l.keyPrefix("log") + laceplatform.Key(strconv.Itoa(slotIndex(n)))
}

func (l *Log) headKey() laceplatform.Key {
	return laceplatform.Key("snap/" + strconv.Itoa(int(l.shard)))
}

func acquire(ctx context.Context, lock chan struct{}) error {
	select {
	case lock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrap(laceplatform.ErrUnavailable, ctx.Err().Error())
	}
}

// View calls f with the local state, which may be stale. f must not retain it.
func (l *Log) View(f func(*laceledger.State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.state
	if state == nil {
		state = &laceledger.State{}
	}
	f(state)
}

// Refresh updates the local state, so that it includes every entry that was committed before the call.
func (l *Log) Refresh(ctx context.Context) error {
	if err := acquire(ctx, l.appendLock); err != nil {
		return err
	}
	defer func() { <-l.appendLock }()
	loaded, err := l.ensureLoaded(ctx)
	if err != nil || loaded {
		return err
	}
	_, err = l.catchUp(ctx, nil)
	return err
}

// Load loads the log unless it is already loaded; it reports whether this call loaded it.
func (l *Log) Load(ctx context.Context) (bool, error) {
	if err := acquire(ctx, l.appendLock); err != nil {
		return false, err
	}
	defer func() { <-l.appendLock }()
	return l.ensureLoaded(ctx)
}

// ensureLoaded is Load for callers that hold appendLock.
func (l *Log) ensureLoaded(ctx context.Context) (bool, error) {
	l.mu.Lock()
	loaded := l.state != nil
	l.mu.Unlock()
	if loaded {
		return false, nil
	}
	return true, l.load(ctx)
}

// load restores the state from the latest snapshot and the entries in the ring.
func (l *Log) load(ctx context.Context) error {
	if l.partCache == nil {
		l.partCache = map[string][]byte{}
	}
	for range maxLoadAttempts {
		head, state, err := l.loadSnapshot(ctx)
		if errors.Is(err, laceplatform.ErrMissing) {
			// A newer snapshot has been written and the parts of this one were deleted.
			continue
		}
		if err != nil {
			return err
		}
		var revisions [RingSlots]laceplatform.Revision
		err = l.replay(ctx, state, &revisions)
		if errors.Is(err, errRingGap) {
			continue
		}
		if err != nil {
			return err
		}
		if err = state.Check(); err != nil {
			return err
		}
		l.mu.Lock()
		l.state, l.revisions, l.head = state, revisions, head
		l.mu.Unlock()
		l.partCache = nil
		return nil
	}
	return errors.Wrapf(
		laceplatform.ErrUnavailable, "shard %d: snapshot kept moving during %d loads", l.shard, maxLoadAttempts)
}

// replay applies the entries of the ring that follow the state, and records the revisions of all slots.
func (l *Log) replay(ctx context.Context, state *laceledger.State, revisions *[RingSlots]laceplatform.Revision) error {
	slots, _, err := l.store.List(ctx, l.keyPrefix("log"))
	if err != nil {
		return err
	}
	var entries []laceledger.Entry
	for _, kv := range slots {
		e, err := l.decode(kv)
		if err != nil {
			return err
		}
		revisions[slotIndex(e.Sequence)] = kv.Revision
		if e.Sequence > state.Sequence() {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b laceledger.Entry) int { return int(int64(a.Sequence) - int64(b.Sequence)) })
	for _, e := range entries {
		if e.Sequence != state.Sequence()+1 {
			return errRingGap
		}
		if err := state.Apply(e); err != nil {
			return errors.Wrap(ErrDamaged, err.Error())
		}
	}
	return nil
}

// decode decodes the entry of a slot and verifies that its sequence number maps to this slot.
func (l *Log) decode(kv laceplatform.Entry) (laceledger.Entry, error) {
	e, err := lacewire.DecodeEntry(kv.Value)
	if err != nil {
		return laceledger.Entry{}, errors.Wrapf(ErrDamaged, "%s: %v", kv.Key, err)
	}
	if l.slotKey(e.Sequence) != kv.Key {
		return laceledger.Entry{}, errors.Wrapf(ErrDamaged, "%s holds entry %d", kv.Key, e.Sequence)
	}
	return e, nil
}

// catchUpResult is the outcome of a catch-up.
type catchUpResult struct {
	// applied means that new entries were applied.
	applied bool
	// ownApplied means that the caller's entry is one of them.
	ownApplied bool
	// overwritten means that the ring wrapped around, so that the caller's entry may have been applied and overwritten.
	overwritten bool
}

// catchUp applies the entries that were committed since the last update of the state. own is an entry of this log whose
// outcome is unknown, or nil.
func (l *Log) catchUp(ctx context.Context, own *laceledger.Entry) (catchUpResult, error) {
	var result catchUpResult
	for range maxCatchUpReads {
		sequence, expected := l.nextSlot()
		kv, err := l.store.Get(ctx, l.slotKey(sequence))
		if errors.Is(err, laceplatform.ErrMissing) {
			kv.Revision = 0
		} else if err != nil {
			return result, err
		}
		if kv.Revision == expected {
			return result, nil
		}
		e, err := l.decode(kv)
		if err != nil {
			return result, err
		}
		if e.Sequence != sequence {
			result.overwritten = true
			result.applied = true
			return result, l.load(ctx)
		}
		if err = l.applyEntry(e, kv.Revision); err != nil {
			return result, err
		}
		result.record(e, own)
	}
	return l.catchUpFromRing(ctx, own, result)
}

func (r *catchUpResult) record(e laceledger.Entry, own *laceledger.Entry) {
	r.applied = true
	if own != nil && e.Sequence == own.Sequence && e.Appender == own.Appender && e.Tag == own.Tag {
		r.ownApplied = true
	}
}

// catchUpFromRing applies the missing entries from a list of the whole ring, which is a single call for many entries.
func (l *Log) catchUpFromRing(
	ctx context.Context, own *laceledger.Entry, result catchUpResult,
) (catchUpResult, error) {
	slots, _, err := l.store.List(ctx, l.keyPrefix("log"))
	if err != nil {
		return result, err
	}
	stored := map[laceunit.Sequence]laceplatform.Entry{}
	var newest laceunit.Sequence
	entries := map[laceunit.Sequence]laceledger.Entry{}
	for _, kv := range slots {
		e, err := l.decode(kv)
		if err != nil {
			return result, err
		}
		stored[e.Sequence], entries[e.Sequence] = kv, e
		newest = max(newest, e.Sequence)
	}
	for {
		sequence, _ := l.nextSlot()
		if sequence > newest {
			return result, nil
		}
		e, ok := entries[sequence]
		if !ok {
			result.overwritten, result.applied = true, true
			return result, l.load(ctx)
		}
		if err := l.applyEntry(e, stored[sequence].Revision); err != nil {
			return result, err
		}
		result.record(e, own)
	}
}

// nextSlot returns the sequence number of the next entry and the expected revision of its slot.
func (l *Log) nextSlot() (laceunit.Sequence, laceplatform.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sequence := l.state.Sequence() + 1
	return sequence, l.revisions[slotIndex(sequence)]
}

// applyEntry applies an entry that is committed on the platform.
func (l *Log) applyEntry(e laceledger.Entry, revision laceplatform.Revision) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.state.Apply(e); err != nil {
		return errors.Wrap(ErrDamaged, err.Error())
	}
	l.revisions[slotIndex(e.Sequence)] = revision
	return nil
}
